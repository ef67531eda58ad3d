import { expect } from "earl";
import { test } from "node:test";
import { LabelledCounts } from "./labelled_counts.ts";

test("should add up by labels and reset after each drain", () => {
  const counts = new LabelledCounts();
  const drain = () => {
    const seen: unknown[] = [];
    counts.drain((count, labels) => seen.push([count, labels]));
    return seen;
  };
  counts.add(1, { kind: "get", result: "ok" });
  counts.add(2, { kind: "get", result: "ok" });
  counts.add(1, { kind: "get", result: "unavailable" });
  expect(drain()).toEqual([
    [3, { kind: "get", result: "ok" }],
    [1, { kind: "get", result: "unavailable" }],
  ]);
  expect(drain()).toEqual([]);
});
