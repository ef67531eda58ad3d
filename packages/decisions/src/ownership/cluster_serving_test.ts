/** That keys are served at all in the model world, and while the store is away. */
import { expect } from "earl";
import { test } from "node:test";
import { type Fault, SLICES } from "./simulated_processes_test.ts";
import { SimulatedCluster } from "./simulated_cluster_test.ts";

test("should serve every slice and finish a move when nothing fails", () => {
  const world = new SimulatedCluster({
    seed: 1,
    faults: [{ kind: "move", atMs: 2_000, keeper: 0, slice: 0, to: 1 }],
  });
  world.runUntil(1_500);
  expect(world.leasedSliceCount()).toEqual(SLICES);
  world.runUntil(3_000);
  expect(world.violations).toEqual([]);
  expect(world.leasedSliceCount()).toEqual(SLICES);
  const moved = world.assignment.slices[0]!;
  expect([moved.state, moved.server as string]).toEqual(["owned", "server-1"]);
});

// The store stays away and one of three keepers with it. Keys must be served
// all the same: hosts would find no open slot for as long as it lasts.
test("should keep serving while the store is away", () => {
  const world = new SimulatedCluster({
    seed: 2,
    faults: [
      ...[0, 1, 2].map((keeper) => ({
        kind: "cut-store" as const,
        atMs: 1_500,
        keeper,
        forMs: 60_000,
      })),
      { kind: "pause-keeper", atMs: 2_000, keeper: 0, forMs: 60_000 },
    ],
  });
  world.runUntil(30_000);
  expect(world.violations).toEqual([]);
  expect(world.leasedSliceCount()).toEqual(SLICES);
});

// Every entry VM is replaced in turn during a long outage of the store. Each
// has forgotten what it knew; the others tell it, and keys stay served.
test("should keep serving while keepers restart with the store away", () => {
  const cuts = [0, 1, 2].map((keeper): Fault => ({
    kind: "cut-store",
    atMs: 1_500,
    keeper,
    forMs: 60_000,
  }));
  const restarts = [0, 1, 2, 0, 1, 2].map((keeper, index): Fault => ({
    kind: "restart-keeper",
    atMs: 2_000 + index * 1_000,
    keeper,
  }));
  const world = new SimulatedCluster({
    seed: 3,
    faults: [...cuts, ...restarts],
  });
  world.runUntil(20_000);
  expect(world.violations).toEqual([]);
  expect(world.leasedSliceCount()).toEqual(SLICES);
});
