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

function held(slice: SliceId, fence: number): LeasedSlice {
  return { slice, fence, fromHash: 0, toHash: 1 };
}

function order(
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

interface Case {
  readonly name: string;
  readonly orders: readonly { atMs: number; order: LeaseCommand }[];
  readonly lastAccepted: boolean;
  /** Whether a request for slice A at fence 1 may run at this time. */
  readonly mayRun: readonly { atMs: number; expected: boolean }[];
}

const OWNS_A = [held(SLICE_A, 1)];

const CASES: readonly Case[] = [
  {
    name: "should run within the lease and not after it",
    orders: [{ atMs: 10, order: order(1, OWNS_A) }],
    lastAccepted: true,
    mayRun: [{ atMs: 999, expected: true }, { atMs: 1000, expected: false }],
  },
  {
    name: "should grant nothing without a stamp",
    orders: [{ atMs: 10, order: order(1, OWNS_A, { stampMs: undefined }) }],
    lastAccepted: false,
    mayRun: [{ atMs: 11, expected: false }],
  },
  {
    name: "should grant nothing on a stamp of another run",
    orders: [
      { atMs: 10, order: order(1, OWNS_A, { stampInstance: "run-0" }) },
    ],
    lastAccepted: false,
    mayRun: [{ atMs: 11, expected: false }],
  },
  {
    name: "should grant nothing on a stamp from the future",
    orders: [{ atMs: 10, order: order(1, OWNS_A, { stampMs: 500 }) }],
    lastAccepted: false,
    mayRun: [{ atMs: 600, expected: false }],
  },
  {
    name: "should not extend a lease from the arrival of a delayed order",
    orders: [{ atMs: 5000, order: order(1, OWNS_A, { stampMs: 3900 }) }],
    lastAccepted: false,
    mayRun: [{ atMs: 5001, expected: false }],
  },
  {
    name: "should not shorten a lease by an order that was overtaken",
    orders: [
      { atMs: 600, order: order(1, OWNS_A, { stampMs: 500 }) },
      { atMs: 700, order: order(1, OWNS_A, { stampMs: 100 }) },
    ],
    lastAccepted: true,
    mayRun: [{ atMs: 1499, expected: true }, { atMs: 1500, expected: false }],
  },
  {
    name: "should ignore an order below the highest revision seen",
    orders: [
      { atMs: 10, order: order(2, []) },
      { atMs: 20, order: order(1, OWNS_A) },
    ],
    lastAccepted: false,
    mayRun: [{ atMs: 21, expected: false }],
  },
  {
    name: "should let go by an order that grants nothing for want of a stamp",
    orders: [
      { atMs: 10, order: order(1, OWNS_A) },
      { atMs: 20, order: order(2, [], { stampMs: undefined }) },
    ],
    lastAccepted: false,
    mayRun: [{ atMs: 21, expected: false }],
  },
  {
    name: "should refuse the old fence once a newer one is held",
    orders: [
      { atMs: 10, order: order(1, OWNS_A) },
      { atMs: 20, order: order(3, [held(SLICE_A, 3)]) },
    ],
    lastAccepted: true,
    mayRun: [{ atMs: 21, expected: false }],
  },
];

for (const row of CASES) {
  test(`ownership: ${row.name}`, () => {
    const state = new OwnershipState({
      instance: "run-1",
      checksFences: true,
    });
    let accepted: boolean | undefined;
    for (const step of row.orders) {
      accepted = state.applyLeaseCommand(step.order, step.atMs).accepted;
    }
    expect(accepted).toEqual(row.lastAccepted);
    for (const look of row.mayRun) {
      expect(state.mayStart(SLICE_A, 1, look.atMs)).toEqual(look.expected);
    }
  });
}

test("should report requests that still run in a slice it let go", () => {
  const state = new OwnershipState({ instance: "run-1", checksFences: true });
  state.applyLeaseCommand(order(1, [held(SLICE_A, 1), held(SLICE_B, 1)]), 10);
  state.begin(SLICE_A);
  state.begin(SLICE_A);
  const releasing =
    state.applyLeaseCommand(order(2, [held(SLICE_B, 1)]), 20).releasing;
  expect(releasing).toEqual([{ slice: SLICE_A, inFlight: 2 }]);
  state.end(SLICE_A);
  state.end(SLICE_A);
  const answer = state.applyLeaseCommand(order(2, [held(SLICE_B, 1)]), 30);
  expect(answer.releasing).toEqual([]);
});

test("should let a run end after its slice was let go, within the lease", () => {
  // A planned move takes the slice while a booking is being made. It must not
  // be cut off; nor may it take effect once the mover has waited the lease out.
  const state = new OwnershipState({ instance: "run-1", checksFences: true });
  state.applyLeaseCommand(order(1, OWNS_A), 10);
  state.begin(SLICE_A);
  state.applyLeaseCommand(order(2, []), 20);
  expect(state.mayStart(SLICE_A, 1, 30)).toEqual(false);
  expect(state.mayCommit(SLICE_A, 1, 999)).toEqual(true);
  expect(state.mayCommit(SLICE_A, 1, 1000)).toEqual(false);
  expect(state.mayCommit(SLICE_A, 2, 30)).toEqual(false);
  state.end(SLICE_A);
  expect(state.mayCommit(SLICE_A, 1, 30)).toEqual(false);
});
