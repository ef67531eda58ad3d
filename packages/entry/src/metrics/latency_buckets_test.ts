import { expect } from "earl";
import { test } from "node:test";
import { LATENCY_BOUNDS_MS, LatencyBuckets } from "./latency_buckets.ts";

function bucketOf(tookMs: number): number {
  return LATENCY_BOUNDS_MS.findIndex((bound) => tookMs <= bound);
}

test("should hand over latencies with their buckets and their sum", () => {
  const tally = new LatencyBuckets();
  const noted = [0.2, 1, 60, 70, 75, 9_000];
  for (const tookMs of noted) tally.record(tookMs);
  const drained: number[] = [];
  tally.drain((tookMs) => drained.push(tookMs));
  expect(drained.map(bucketOf)).toEqual(noted.map(bucketOf));
  const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
  expect(Math.abs(sum(drained) - sum(noted)) < 1e-6).toEqual(true);
  tally.drain(() => drained.push(0));
  expect(drained.length).toEqual(noted.length);
});
