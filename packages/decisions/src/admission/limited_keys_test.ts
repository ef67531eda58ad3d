/** Load of one owner by a key that asks for more than the owner can serve. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as admission from "./mod.ts";

const SERVER: admission.SlotServer = {
  service: "keyed" as contracts.ServiceId,
  server: "s1" as contracts.ServerId,
  bornMs: 1,
  slots: 4,
};
const WORK_MS = 220;
const ROUTE = { name: "lookup", priority: 0, targetLatencyMs: 834 };
const TIMEOUT_MS = 5_200;
const HOT_KEY = 1;
const OTHER_KEYS = 60;
const OTHERS_PART = 0.4;
/** Capacity in requests per millisecond. */
const CAPACITY_PER_MS = SERVER.slots / WORK_MS;
/** One way between a VM and the coordinator. */
const DELAY_MS = 2;
/** The hot key is requested from here on, and measured a little later. */
const HOT_FROM_MS = 3_000;
const MEASURED_FROM_MS = 4_000;
const END_MS = 24_000;
const VM = "vm" as contracts.VmId;

interface Call {
  readonly key: number;
  readonly atMs: number;
  answeredMs?: number;
  refusal?: admission.Refusal;
  refusedMs?: number;
}

/** Runs the load; `hasKeys` is false for VMs that name no keys. */
function run(hotPart: number, { hasKeys = true, otherKeys = OTHER_KEYS } = {}) {
  const random = xoroshiro128plus(17);
  const next = () => uniformFloat64(random);
  const events: { readonly atMs: number; run(): void }[] = [];
  const calls: Call[] = [];
  const limited: number[] = [];
  let nowMs = 0;
  let busyMs = 0;
  const at = (atMs: number, run: () => void) => {
    let index = events.length;
    while (index > 0 && events[index - 1]!.atMs < atMs) index--;
    events.splice(index, 0, { atMs, run });
  };
  /** The server runs as many requests as it has slots, in order. */
  const freeAtMs = Array.from({ length: SERVER.slots }, () => 0);
  const serve = (id: number) => {
    const slot = freeAtMs.indexOf(Math.min(...freeAtMs));
    const startMs = Math.max(nowMs, freeAtMs[slot]!);
    const workMs = WORK_MS * (0.5 + next());
    freeAtMs[slot] = startMs + workMs;
    if (startMs >= MEASURED_FROM_MS && startMs < END_MS) busyMs += workMs;
    const sentMs = nowMs;
    at(startMs + workMs, () => {
      calls[id]!.answeredMs = nowMs;
      const tookMs = nowMs - sentMs;
      at(
        nowMs + DELAY_MS,
        () => coordinator.release(VM, id, { tookMs, nowMs }),
      );
    });
  };
  const coordinator = new admission.SlotCoordinator({
    zone: "z1" as contracts.ZoneId,
    random: { next },
    onDecision: ({ id, kind, refusal }) => {
      if (kind === "queued") return;
      at(nowMs + DELAY_MS, () => {
        if (kind === "given") return serve(id);
        calls[id]!.refusal = refusal!;
        calls[id]!.refusedMs = nowMs;
      });
    },
    onKeyLimited: (_server, key) => limited.push(key),
  });
  const request = (key: number) => {
    const id = calls.push({ key, atMs: nowMs }) - 1;
    const targetMs = nowMs + ROUTE.targetLatencyMs;
    const answerByMs = nowMs + TIMEOUT_MS;
    const named = hasKeys ? { key } : {};
    at(nowMs + DELAY_MS, () =>
      coordinator.request({
        ...{ ...SERVER, ...named, id, vm: VM, route: ROUTE },
        targetMs,
        answerByMs,
      }, nowMs));
  };
  const arrive = (perMs: number, keyOf: () => number, fromMs: number) => {
    if (perMs === 0) return;
    const step = () => {
      request(keyOf());
      at(nowMs - Math.log(1 - next()) / perMs, step);
    };
    at(fromMs, step);
  };
  arrive(CAPACITY_PER_MS * hotPart, () => HOT_KEY, HOT_FROM_MS);
  const othersPerMs = otherKeys === 0 ? 0 : CAPACITY_PER_MS * OTHERS_PART;
  arrive(othersPerMs, () => 100 + Math.floor(next() * otherKeys), 0);
  const sweep = () => {
    coordinator.sweep(nowMs);
    at(nowMs + 25, sweep);
  };
  at(0, sweep);
  while (events.at(-1)!.atMs < END_MS) {
    const event = events.pop()!;
    nowMs = event.atMs;
    event.run();
  }
  const measured = calls.filter(({ atMs }) =>
    atMs >= MEASURED_FROM_MS && atMs < END_MS - TIMEOUT_MS
  );
  const early = calls.filter(({ key, atMs }) =>
    key === HOT_KEY && atMs < MEASURED_FROM_MS
  );
  const hot = measured.filter(({ key }) => key === HOT_KEY);
  const others = measured.filter(({ key }) => key !== HOT_KEY);
  const usedPart = busyMs / (END_MS - MEASURED_FROM_MS) / SERVER.slots;
  const earlyRetryMs = statsOf(early).meanRetryMs;
  return {
    ...{ hot: statsOf(hot), others: statsOf(others), usedPart, limited },
    earlyRetryMs,
  };
}

function statsOf(calls: readonly Call[]) {
  const answered = calls.filter(({ answeredMs }) => answeredMs !== undefined);
  const refused = calls.filter(({ refusal }) => refusal !== undefined);
  const retries = refused.map(({ refusal }) => refusal!.retryAfterMs);
  return {
    served: answered.length / calls.length,
    inTime:
      answered.filter(({ answeredMs, atMs }) =>
        answeredMs! - atMs <= ROUTE.targetLatencyMs
      ).length / calls.length,
    slowestRefusalMs: Math.max(
      0,
      ...refused.map(({ refusedMs, atMs }) => refusedMs! - atMs),
    ),
    meanRetryMs: retries.reduce((sum, it) => sum + it, 0) / retries.length,
    reasons: [...new Set(refused.map(({ refusal }) => refusal!.reason))],
  };
}

/** Guards against keys that are refused because of one hot key of their owner. */
test("should refuse only the key that asks for more than is left for it", () => {
  for (const hotPart of [1.5, 6]) {
    const { hot, others, usedPart, limited } = run(hotPart);
    if (process.env["SHOW_FIGURES"]) {
      console.log(hotPart, hot, others, usedPart);
    }
    expect(limited.every((key) => key === HOT_KEY)).toEqual(true);
    expect(others.served >= 0.97).toEqual(true);
    expect(others.inTime >= 0.97).toEqual(true);
    expect(others.slowestRefusalMs <= 100).toEqual(true);
    const leftPart = (1 - OTHERS_PART) / hotPart;
    expect(hot.served >= leftPart * 0.85).toEqual(true);
    expect(hot.reasons).toEqual(["hot-key"]);
    expect(hot.slowestRefusalMs <= 100).toEqual(true);
    expect(usedPart >= 0.92).toEqual(true);
  }
});

/** Guards against callers of a hot key that all come back at the same time. */
test("should ask callers to come back later the more a key asks for", () => {
  const moderateMs = run(1.5).earlyRetryMs;
  const heavyMs = run(6).earlyRetryMs;
  if (process.env["SHOW_FIGURES"]) console.log(moderateMs, heavyMs);
  expect(moderateMs < 2_000).toEqual(true);
  expect(heavyMs > moderateMs * 1.5).toEqual(true);
});

test("should let a single key use its whole owner", () => {
  const { hot, usedPart, limited } = run(1.5, { otherKeys: 0 });
  expect(limited).toEqual([]);
  expect(hot.served >= 0.6).toEqual(true);
  expect(usedPart >= 0.92).toEqual(true);
});

/** Guards against a limit at owners that have room for all their keys. */
test("should limit no key while its owner is not overloaded", () => {
  const { limited, hot, others } = run(0.4);
  if (process.env["SHOW_FIGURES"]) console.log(0.4, limited, hot, others);
  expect(limited.length <= 2).toEqual(true);
  expect(hot.served).toEqual(1);
});

/** Guards against requests of earlier versions that are taken for one key. */
test("should limit no key for VMs that name none", () => {
  const { limited, hot, others } = run(1.5, { hasKeys: false });
  if (process.env["SHOW_FIGURES"]) console.log("no keys", hot, others);
  expect(limited).toEqual([]);
});
