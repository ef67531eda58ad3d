/**
 * Checks that the simulated cluster serves keys at all, also while the store is
 * unavailable.
 */
import { expect } from "earl";
import { test } from "node:test";
import { type Fault, SLICES } from "./simulated_processes_test.ts";
import { SimulatedCluster } from "./simulated_cluster_test.ts";

test("should serve every slice and finish a handover when nothing fails", () => {
  const cluster = new SimulatedCluster({
    seed: 1,
    faults: [{ kind: "move", atMs: 2_000, keeper: 0, slice: 0, to: 1 }],
  });
  cluster.runUntil(1_500);
  expect(cluster.leasedSliceCount()).toEqual(SLICES);
  cluster.runUntil(3_000);
  expect(cluster.violations).toEqual([]);
  expect(cluster.leasedSliceCount()).toEqual(SLICES);
  const moved = cluster.assignment.slices[0]!;
  expect([moved.state, moved.server as string]).toEqual(["owned", "server-1"]);
});

// The store stays unavailable and one of three voters stops with it. Keys must
// be served for as long as the outage lasts.
test("should keep serving while the store is unavailable", () => {
  const cluster = new SimulatedCluster({
    seed: 2,
    faults: [
      ...[0, 1, 2].map((voter) => ({
        kind: "cut-store" as const,
        atMs: 1_500,
        keeper: voter,
        forMs: 60_000,
      })),
      { kind: "pause-keeper", atMs: 2_000, keeper: 0, forMs: 60_000 },
    ],
  });
  cluster.runUntil(30_000);
  expect(cluster.violations).toEqual([]);
  expect(cluster.leasedSliceCount()).toEqual(SLICES);
});

// Every entry VM restarts in turn during a long outage of the store. Each has
// lost its state, learns it from the others, and keys stay served.
test("should keep serving while voters restart with the store unavailable", () => {
  const cuts = [0, 1, 2].map((voter): Fault => ({
    kind: "cut-store",
    atMs: 1_500,
    keeper: voter,
    forMs: 60_000,
  }));
  const restarts = [0, 1, 2, 0, 1, 2].map((voter, index): Fault => ({
    kind: "restart-keeper",
    atMs: 2_000 + index * 1_000,
    keeper: voter,
  }));
  const cluster = new SimulatedCluster({
    seed: 3,
    faults: [...cuts, ...restarts],
  });
  cluster.runUntil(20_000);
  expect(cluster.violations).toEqual([]);
  expect(cluster.leasedSliceCount()).toEqual(SLICES);
});
