import * as contracts from "@guavatide/contracts";
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

const SERVER = "s1" as contracts.ServerId;

function rangeOf(
  owner: contracts.ServerId,
  vacating?: contracts.ServerId,
): contracts.RangeState {
  return {
    fromKey: 0,
    toKey: contracts.KEY_COUNT - 1,
    owner: { server: owner, bornMs: 1 },
    fence: 2,
    ...(vacating === undefined ? {} : {
      vacating: { server: vacating, bornMs: 1, fence: 1, revision: 1 },
    }),
  };
}

/** Guards against an owner that still holds a lease longer than the next waits. */
test("should keep a server's longer lease until it owns and vacates no range", () => {
  const other = "s2" as contracts.ServerId;
  const needed = new Map([[SERVER, 6_000]]);
  const none = new Map<contracts.ServerId, number>();
  const first = grants.nextServerLeases({}, [rangeOf(SERVER)], needed);
  expect(first).toEqual({ s1: 6_000 });
  const map = { serverHoldMs: first };
  expect(grants.nextServerLeases(map, [rangeOf(SERVER)], none)).toEqual(first);
  expect(grants.nextServerLeases(map, [rangeOf(other, SERVER)], none))
    .toEqual(first);
  expect(grants.nextServerLeases(map, [rangeOf(other)], none))
    .toEqual(undefined);
  const timings = grants.DEFAULT_GRANT_TIMINGS;
  expect(grants.leaseDurationMs(map, timings, SERVER)).toEqual(6_000);
  expect(grants.leaseDurationMs(map, timings, other)).toEqual(timings.holdMs);
});
