import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as duty from "./leader_lease.ts";

const SETTINGS = duty.DEFAULT_LEADER_LEASE_SETTINGS;
const RANDOM = { next: () => 0.5 };
const SELF = {
  vm: "entry-1" as contracts.VmId,
  incarnation: "run-1" as contracts.Incarnation,
};
const OTHER: duty.LeaderRecord = {
  holder: "entry-2" as contracts.VmId,
  incarnation: "run-9" as contracts.Incarnation,
  renewal: 4,
};

/** A lease that has read the other's record at time 0. */
function leaseOfOther(): duty.LeaderLease {
  const lease = new duty.LeaderLease(SELF, SETTINGS);
  expect(lease.tick(at(0))?.kind).toEqual("read");
  lease.noteRead({ kind: "found", record: OTHER, version: "v4" }, 0, RANDOM);
  return lease;
}

function at(nowMs: number, isLost = false): duty.LeaderLeaseTick {
  return { nowMs, rank: () => 0, isLost: () => isLost };
}

test("should take a duty over at once when its holder is lost", () => {
  const lease = leaseOfOther();
  expect(lease.tick(at(10))).toEqual(undefined);
  const effect = lease.tick(at(20, true));
  expect(effect).toEqual({
    kind: "write",
    record: {
      holder: SELF.vm,
      incarnation: SELF.incarnation,
      renewal: OTHER.renewal + 1,
    },
    condition: { kind: "version", version: "v4" },
  });
  lease.noteWrite({ kind: "acknowledged", version: "v5" }, 30, RANDOM);
  expect(lease.isLeader(30)).toEqual(true);
  expect(lease.isLeader(20 + SETTINGS.leaseMs)).toEqual(false);
});

test("should take a duty over when its object stays unchanged", () => {
  const lease = leaseOfOther();
  lease.tick(at(SETTINGS.pollMs));
  lease.noteRead({ kind: "unavailable" }, SETTINGS.pollMs, RANDOM);
  const effect = lease.tick(at(SETTINGS.leaseMs));
  expect(effect?.kind).toEqual("write");
});

test("should let VMs of lower rank wait, so that one of them writes", () => {
  const lease = leaseOfOther();
  const second = { ...at(20, true), rank: () => 1 };
  expect(lease.tick(second)).toEqual(undefined);
  const laterMs = 20 + SETTINGS.takeoverDelayMs;
  expect(lease.tick({ ...second, nowMs: laterMs })?.kind).toEqual("write");
});

// The reply to a renewal is lost. The holder can't tell whether it still
// holds the duty; were it to go on as if it did, two would plan.
test("should read after a write without a reply and not claim the duty", () => {
  const lease = leaseOfOther();
  lease.tick(at(20, true));
  lease.noteWrite({ kind: "unavailable" }, 30, RANDOM);
  expect(lease.isLeader(30)).toEqual(false);
  const nextMs = 30 + SETTINGS.retryMs;
  expect(lease.tick(at(nextMs))?.kind).toEqual("read");
});

// The store was away for longer than the lease. Lost servers wait for the
// next holder, so that it must not look at its own record and rest.
test("should renew at once when the record read is its own", () => {
  const lease = leaseOfOther();
  lease.tick(at(20, true));
  lease.noteWrite({ kind: "unavailable" }, 30, RANDOM);
  const laterMs = 60_000;
  lease.tick(at(laterMs));
  const record = { ...OTHER, holder: SELF.vm, incarnation: SELF.incarnation };
  lease.noteRead({ kind: "found", record, version: "v5" }, laterMs, RANDOM);
  expect(lease.tick(at(laterMs))?.kind).toEqual("write");
});
