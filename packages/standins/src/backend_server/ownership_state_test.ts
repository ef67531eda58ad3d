import type {
  LeaseCommand,
  LeasedSlice,
  ServerId,
  ServiceId,
  SliceId,
} from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { OwnershipState } from "./ownership_state.ts";

const SLICE_A = "0-80000000" as SliceId;
const SLICE_B = "80000000-100000000" as SliceId;

function leased(slice: SliceId, fence: number): LeasedSlice {
  return { slice, fence, fromHash: 0, toHash: 1 };
}

function leaseCommand(
  revision: number,
  slices: LeasedSlice[],
  options: { stampMs?: number; stampInstance?: string } = {},
): LeaseCommand {
  return {
    service: "availability" as ServiceId,
    server: "s1" as ServerId,
    revision,
    stampMs: 0,
    stampInstance: "run-1",
    leaseMs: 1000,
    slices,
    ...options,
  };
}

interface TestCase {
  readonly name: string;
  readonly commands: readonly { atMs: number; command: LeaseCommand }[];
  readonly lastAccepted: boolean;
  /** Whether a request for slice A with fencing token 1 may start then. */
  readonly mayStart: readonly { atMs: number; expected: boolean }[];
}

const OWNS_A = [leased(SLICE_A, 1)];

const TEST_CASES: readonly TestCase[] = [
  {
    name: "should start requests within the lease and not after it",
    commands: [{ atMs: 10, command: leaseCommand(1, OWNS_A) }],
    lastAccepted: true,
    mayStart: [{ atMs: 999, expected: true }, { atMs: 1000, expected: false }],
  },
  {
    name: "should grant nothing without a stamp",
    commands: [{
      atMs: 10,
      command: leaseCommand(1, OWNS_A, { stampMs: undefined }),
    }],
    lastAccepted: false,
    mayStart: [{ atMs: 11, expected: false }],
  },
  {
    name: "should grant nothing on a stamp of another incarnation",
    commands: [
      {
        atMs: 10,
        command: leaseCommand(1, OWNS_A, { stampInstance: "run-0" }),
      },
    ],
    lastAccepted: false,
    mayStart: [{ atMs: 11, expected: false }],
  },
  {
    name: "should grant nothing on a stamp from the future",
    commands: [{
      atMs: 10,
      command: leaseCommand(1, OWNS_A, { stampMs: 500 }),
    }],
    lastAccepted: false,
    mayStart: [{ atMs: 600, expected: false }],
  },
  {
    name: "should not count a lease from the arrival of a delayed command",
    commands: [{
      atMs: 5000,
      command: leaseCommand(1, OWNS_A, { stampMs: 3900 }),
    }],
    lastAccepted: false,
    mayStart: [{ atMs: 5001, expected: false }],
  },
  {
    name: "should not shorten a lease by a command that was overtaken",
    commands: [
      { atMs: 600, command: leaseCommand(1, OWNS_A, { stampMs: 500 }) },
      { atMs: 700, command: leaseCommand(1, OWNS_A, { stampMs: 100 }) },
    ],
    lastAccepted: true,
    mayStart: [{ atMs: 1499, expected: true }, { atMs: 1500, expected: false }],
  },
  {
    name: "should ignore a command below the highest revision seen",
    commands: [
      { atMs: 10, command: leaseCommand(2, []) },
      { atMs: 20, command: leaseCommand(1, OWNS_A) },
    ],
    lastAccepted: false,
    mayStart: [{ atMs: 21, expected: false }],
  },
  {
    name: "should release by a command that grants nothing without a stamp",
    commands: [
      { atMs: 10, command: leaseCommand(1, OWNS_A) },
      { atMs: 20, command: leaseCommand(2, [], { stampMs: undefined }) },
    ],
    lastAccepted: false,
    mayStart: [{ atMs: 21, expected: false }],
  },
  {
    name: "should refuse the old fencing token once a newer one is leased",
    commands: [
      { atMs: 10, command: leaseCommand(1, OWNS_A) },
      { atMs: 20, command: leaseCommand(3, [leased(SLICE_A, 3)]) },
    ],
    lastAccepted: true,
    mayStart: [{ atMs: 21, expected: false }],
  },
];

for (const row of TEST_CASES) {
  test(`ownership: ${row.name}`, () => {
    const state = new OwnershipState({
      instance: "run-1",
      checksFences: true,
    });
    let accepted: boolean | undefined;
    for (const step of row.commands) {
      accepted = state.applyLeaseCommand(step.command, step.atMs).accepted;
    }
    expect(accepted).toEqual(row.lastAccepted);
    for (const check of row.mayStart) {
      expect(state.mayStart(SLICE_A, 1, check.atMs)).toEqual(check.expected);
    }
  });
}

test("should report requests that still run in a released slice", () => {
  const state = new OwnershipState({ instance: "run-1", checksFences: true });
  state.applyLeaseCommand(
    leaseCommand(1, [leased(SLICE_A, 1), leased(SLICE_B, 1)]),
    10,
  );
  state.begin(SLICE_A);
  state.begin(SLICE_A);
  const releasing =
    state.applyLeaseCommand(leaseCommand(2, [leased(SLICE_B, 1)]), 20)
      .releasing;
  expect(releasing).toEqual([{ slice: SLICE_A, inFlight: 2 }]);
  state.end(SLICE_A);
  state.end(SLICE_A);
  const reply = state.applyLeaseCommand(
    leaseCommand(2, [leased(SLICE_B, 1)]),
    30,
  );
  expect(reply.releasing).toEqual([]);
});

test("should let a request commit after its slice was released, within the lease", () => {
  // A planned handover takes the slice while a booking request is running. The
  // request must be able to commit, but not after the lease has expired: the
  // new owner may have started by then.
  const state = new OwnershipState({ instance: "run-1", checksFences: true });
  state.applyLeaseCommand(leaseCommand(1, OWNS_A), 10);
  state.begin(SLICE_A);
  state.applyLeaseCommand(leaseCommand(2, []), 20);
  expect(state.mayStart(SLICE_A, 1, 30)).toEqual(false);
  expect(state.mayCommit(SLICE_A, 1, 999)).toEqual(true);
  expect(state.mayCommit(SLICE_A, 1, 1000)).toEqual(false);
  expect(state.mayCommit(SLICE_A, 2, 30)).toEqual(false);
  state.end(SLICE_A);
  expect(state.mayCommit(SLICE_A, 1, 30)).toEqual(false);
});
