import { expect } from "earl";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { KeyHasher } from "../ownership/key_hasher.ts";
import { ServedFractions } from "./served_fractions.ts";
import * as admission from "./mod.ts";

const hasher = await KeyHasher.create();
const hash = (text: string) => hasher.hash(text);
const random = { next: () => 0.5 };

/** Guards against a caller whose rate is seen only by the VM that it asks. */
test("should know a caller's rate from the counts of peers", () => {
  const peer = new admission.CallerShares(random);
  const own = new admission.CallerShares(random);
  peer.recordRefusal(0);
  for (let request = 0; request < 40; request++) {
    peer.recordArrival(1, 0);
    peer.recordArrival(2 + request, 0);
    if (request % 2 === 0) peer.recordRefusal(0);
  }
  own.recordWait(0);
  own.applyPeerCounts(peer.takeCounts(0)!, 0);
  expect(own.standing(1, 1).isAboveShare).toEqual(true);
  expect(own.standing(2, 1).isAboveShare).toEqual(false);
});

/** Guards against messages while there is capacity, and unbounded ones. */
test("should send a bounded message, and none without shortage", () => {
  const shares = new admission.CallerShares(random);
  for (let caller = 0; caller < 10_000; caller++) {
    shares.recordArrival(caller, 0);
  }
  expect(shares.takeCounts(0)).toEqual(undefined);
  shares.recordWait(0);
  expect(shares.takeCounts(0)!.callers.length).toEqual(64);
  expect(shares.takeCounts(0)).toEqual(undefined);
});

/** Guards against time promised twice, and times that no VM recognises. */
test("should promise each time once and recognise it at any VM", () => {
  const schedule = new admission.ReturnSchedule({ hash, random });
  const other = new admission.ReturnSchedule({ hash, random });
  const unixMs = 1_000_000;
  const times: number[] = [];
  for (let index = 0; index < 100; index++) {
    const caller = { caller: `10.0.0.${index}`, route: "filing" };
    const leftMs = schedule.promise(caller, {
      unixMs,
      earliestMs: 60,
      longestMs: 1_500,
      ratePerSecond: 10,
    });
    if (leftMs === undefined) continue;
    times.push(leftMs);
    expect(other.isReturn(caller, unixMs + leftMs)).toEqual(true);
  }
  // 10 a second, and none after the longest time.
  expect(times.length).toBeGreaterThan(5);
  expect(times.length).toBeLessThanOrEqual(15);
});

/** Guards against an urgent route that excludes a less urgent one. */
test("should put a route that is hardly served first", () => {
  const fractions = new ServedFractions();
  const request = (name: string, priority: number) => ({
    route: { name, priority, targetLatencyMs: 100 },
  } as admission.WaitingRequest);
  const urgent = request("lookup", 0);
  const bulk = request("upload", 2);
  for (let index = 0; index < 20; index++) {
    fractions.recordArrival(urgent, 0);
    fractions.recordArrival(bulk, 0);
    if (index > 2) fractions.recordRefusal(bulk, 0);
  }
  expect(fractions.isBehind(bulk.route, 0)).toEqual(true);
  expect(fractions.isBehind(urgent.route, 0)).toEqual(false);
});

const USUAL_CALLERS = 200;
const REQUESTS_PER_SECOND = 100;
const ADMISSION_SECONDS = 30;
/** Seconds from which standings are counted. */
const SETTLED_SECOND = 10;

/**
 * An admission to a service that serves half of its requests. One request in
 * `interval` comes from a single caller, its request number `n` on `routeOf(n)`;
 * returns the fraction of these, by route, that has a standing.
 */
function standingsOf(
  interval: number,
  routeOf: (index: number) => string,
): (route: string, standing: admission.RequestStanding) => number {
  const uniform = xoroshiro128plus(5);
  const perSecond = () => REQUESTS_PER_SECOND / 2;
  const service = new admission.ServiceAdmission({
    hash,
    random: { next: () => uniformFloat64(uniform) },
    capacityPerSecond: perSecond,
    vmPerSecond: perSecond,
  });
  const judged = new Map<string, (admission.RequestStanding | undefined)[]>();
  const count = REQUESTS_PER_SECOND * ADMISSION_SECONDS;
  for (let index = 0; index < count; index++) {
    const nowMs = index * 1_000 / REQUESTS_PER_SECOND;
    const moment = { nowMs, unixMs: nowMs };
    if (index % 2 === 0) service.shares.recordRefusal(nowMs);
    const isUsual = index % interval !== 0;
    const caller = isUsual ? `10.0.0.${index % USUAL_CALLERS}` : "10.1.0.1";
    const route = isUsual ? "first" : routeOf(index / interval);
    const { standing } = service.arrive({ caller, route }, moment);
    if (isUsual || nowMs < SETTLED_SECOND * 1_000) continue;
    const standings = judged.get(route) ?? [];
    judged.set(route, [...standings, standing]);
  }
  return (route, standing) => {
    const standings = judged.get(route)!;
    return standings.filter((it) => it === standing).length / standings.length;
  };
}

/** Guards against a route that is served as seldom as its only caller. */
test("should put a route with few requests first, whatever its caller's share", () => {
  const fraction = standingsOf(
    10,
    (index) => index % 5 === 0 ? "added" : "first",
  );
  expect(fraction("first", "above-share")).toBeGreaterThan(0.5);
  expect(fraction("added", "returning")).toBeGreaterThan(0.9);
});

/** Guards against a caller who evades its share by asking many routes. */
test("should put a caller above its share behind whatever routes it asks", () => {
  const fraction = standingsOf(3, (index) => `added-${index % 20}`);
  expect(fraction("added-0", "above-share")).toBeGreaterThan(0.5);
});
