import { expect } from "earl";
import { test } from "node:test";
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
