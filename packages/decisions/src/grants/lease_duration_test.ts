import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const LIMITS = { leastMs: 1_500, mostMs: 10_000 };

/** Guards against work that ends after its grant, which its server then fails. */
test("should grant for twice the longest target latency", () => {
  expect(grants.desiredLeaseMs([300, 2_535], LIMITS)).toEqual(5_070);
});

test("should keep grants short where work is short", () => {
  expect(grants.desiredLeaseMs([300, 400], LIMITS)).toEqual(1_500);
  expect(grants.desiredLeaseMs([], LIMITS)).toEqual(1_500);
});

/** Guards against keys that wait for minutes when their server is lost. */
test("should bound a grant whatever routes and servers allow", () => {
  expect(grants.desiredLeaseMs([60_000], LIMITS)).toEqual(6_000);
  const limits = { leastMs: 1_500, mostMs: 4_000 };
  expect(grants.desiredLeaseMs([60_000], limits)).toEqual(4_000);
});
