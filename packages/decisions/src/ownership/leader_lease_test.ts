import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as leader from "./leader_lease.ts";

const SETTINGS = leader.DEFAULT_LEADER_LEASE_SETTINGS;
const RANDOM = { next: () => 0.5 };
const SELF = {
  vm: "entry-1" as contracts.VmId,
  incarnation: "run-1" as contracts.Incarnation,
};
const OTHER: leader.LeaderRecord = {
  holder: "entry-2" as contracts.VmId,
  incarnation: "run-9" as contracts.Incarnation,
  renewal: 4,
};

/** A lease that read another VM's record at time 0. */
function leaseWithOtherLeader(): leader.LeaderLease {
  const lease = new leader.LeaderLease(SELF, SETTINGS);
  expect(lease.tick(at(0))?.kind).toEqual("read");
  lease.noteRead({ kind: "found", record: OTHER, version: "v4" }, 0, RANDOM);
  return lease;
}

function at(nowMs: number, isLost = false): leader.LeaderLeaseTick {
  return { nowMs, rank: () => 0, isLost: () => isLost };
}

test("should take over at once when the leader is lost", () => {
  const lease = leaseWithOtherLeader();
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

test("should take over when the leader record stays unchanged", () => {
  const lease = leaseWithOtherLeader();
  lease.tick(at(SETTINGS.pollMs));
  lease.noteRead({ kind: "unavailable" }, SETTINGS.pollMs, RANDOM);
  const effect = lease.tick(at(SETTINGS.leaseMs));
  expect(effect?.kind).toEqual("write");
});

test("should delay VMs of lower rank so that only one of them writes", () => {
  const lease = leaseWithOtherLeader();
  const second = { ...at(20, true), rank: () => 1 };
  expect(lease.tick(second)).toEqual(undefined);
  const laterMs = 20 + SETTINGS.takeoverDelayMs;
  expect(lease.tick({ ...second, nowMs: laterMs })?.kind).toEqual("write");
});

// The reply to the write is lost, so the VM can't tell whether it is the
// leader. If it assumed so, two VMs could plan at once.
test("should read after a write without a reply and not claim leadership", () => {
  const lease = leaseWithOtherLeader();
  lease.tick(at(20, true));
  lease.noteWrite({ kind: "unavailable" }, 30, RANDOM);
  expect(lease.isLeader(30)).toEqual(false);
  const nextMs = 30 + SETTINGS.retryMs;
  expect(lease.tick(at(nextMs))?.kind).toEqual("read");
});

// The store is unavailable for longer than the lease, and the keys of failed
// servers wait for a leader. A VM that finds its own record must renew it and
// not wait for its expiry.
test("should renew at once when the record read is its own", () => {
  const lease = leaseWithOtherLeader();
  lease.tick(at(20, true));
  lease.noteWrite({ kind: "unavailable" }, 30, RANDOM);
  const laterMs = 60_000;
  lease.tick(at(laterMs));
  const record = { ...OTHER, holder: SELF.vm, incarnation: SELF.incarnation };
  lease.noteRead({ kind: "found", record, version: "v5" }, laterMs, RANDOM);
  expect(lease.tick(at(laterMs))?.kind).toEqual("write");
});
