import type * as contracts from "@guavatide/contracts";
import * as values from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as placement from "./mod.ts";

const QUARTER = values.HASH_SPACE / 4;
const SLICES = [0, 1, 2, 3].map((index) => ({
  fromHash: index * QUARTER,
  toHash: (index + 1) * QUARTER,
}));

function sender(vm: string) {
  return {
    vm: vm as contracts.VmId,
    incarnation: `${vm}-1` as contracts.Incarnation,
    service: "availability" as contracts.ServiceId,
  };
}

/** A tracker that saw 10 requests a second for a minute, 4 of them one key. */
function trackAMinute(): { load: contracts.ServiceLoad; nowMs: number } {
  const tracker = new placement.LoadTracker(placement.DEFAULT_LOAD_TRACKER);
  let nowMs = 0;
  let draw = 1;
  tracker.report(sender("a"), nowMs);
  let load!: contracts.ServiceLoad;
  for (let second = 0; second < 60; second++) {
    for (let i = 0; i < 10; i++) {
      draw = (draw * 48_271) % 2_147_483_647;
      const keyHash = i < 4 ? 7 : draw * 2;
      const slice = SLICES[Math.floor(keyHash / QUARTER)]!;
      tracker.record({ ...slice, keyHash });
    }
    nowMs += 1000;
    load = tracker.report(sender("a"), nowMs);
  }
  return { load, nowMs };
}

test("should report rates and the hottest key within its bounds", () => {
  const { load } = trackAMinute();
  values.serviceLoadSchema.parse(load);
  expect(Math.abs(load.requestsPerSecond - 10) < 1).toEqual(true);
  expect(load.keys[0]?.hash).toEqual(7);
  expect(Math.abs(load.keys[0]!.requestsPerSecond - 4) < 0.5).toEqual(true);
});

test("should add reports up, also over slices that were split since", () => {
  const { load, nowMs } = trackAMinute();
  const book = new placement.LoadAggregator(60_000);
  book.record(load, nowMs);
  book.record({ ...load, ...sender("b") }, nowMs);
  const split = [
    { fromHash: 0, toHash: 7 },
    { fromHash: 7, toHash: 8 },
    { fromHash: 8, toHash: QUARTER },
    ...SLICES.slice(1),
  ];
  const estimate = book.estimate(split, nowMs);
  const sum = estimate.slices.reduce((a, b) => a + b, 0);
  expect(Math.abs(sum - estimate.requestsPerSecond) < 1e-6).toEqual(true);
  expect(Math.abs(estimate.slices[1]! - 8) < 1).toEqual(true);
  expect(estimate.keys[0]?.hash).toEqual(7);
});

test("should drop the report of a VM that has gone", () => {
  const { load, nowMs } = trackAMinute();
  const book = new placement.LoadAggregator(60_000);
  book.record(load, nowMs);
  expect(book.estimate(SLICES, nowMs + 61_000).requestsPerSecond).toEqual(0);
});

test("should tell a slow server by its work time", () => {
  const book = new placement.LoadAggregator(60_000);
  const servers = ["s0", "s1", "s2"].map((server, index) => ({
    server: server as contracts.ServerId,
    workMs: index === 2 ? 50 : 20,
  }));
  const load = {
    ...sender("a"),
    requestsPerSecond: 1,
    slices: [],
    keys: [],
    servers,
  };
  book.record(load, 0);
  expect(book.speeds(0).get("s2" as contracts.ServerId)).toEqual(0.4);
});

test("should keep heavy keys in a sketch much smaller than the key set", () => {
  const sketch = new placement.HotKeySketch(64);
  let draw = 1;
  for (let i = 0; i < 50_000; i++) {
    draw = (draw * 48_271) % 2_147_483_647;
    sketch.record(i % 10 === 0 ? 5 : i % 10 === 1 ? 6 : draw);
  }
  const top = sketch.top(2).map(({ hash }) => hash);
  expect(new Set(top)).toEqual(new Set([5, 6]));
});
