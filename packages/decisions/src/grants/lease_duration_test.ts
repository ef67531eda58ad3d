import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const LIMITS = { leastMs: 1_500, mostMs: 10_000 };

/** Guards against requests that outlive their lease and fail at the server. */
test("should use leases of twice the longest target latency", () => {
  expect(grants.desiredLeaseMs([300, 2_535], LIMITS)).toEqual(5_070);
});

test("should use the minimum lease for short requests", () => {
  expect(grants.desiredLeaseMs([300, 400], LIMITS)).toEqual(1_500);
  expect(grants.desiredLeaseMs([], LIMITS)).toEqual(1_500);
});

/** Guards against keys that are unavailable for minutes after a server loss. */
test("should limit leases whatever routes and servers allow", () => {
  expect(grants.desiredLeaseMs([60_000], LIMITS)).toEqual(6_000);
  const limits = { leastMs: 1_500, mostMs: 4_000 };
  expect(grants.desiredLeaseMs([60_000], limits)).toEqual(4_000);
});
