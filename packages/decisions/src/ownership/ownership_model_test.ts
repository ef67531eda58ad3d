/**
 * Model tests of key ownership: random interleavings chosen by fast-check, and
 * a table with one interleaving for each safeguard of the design.
 */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import * as ownership from "./mod.ts";
import {
  END_MS,
  type Fault,
  type Overrides,
  type Scenario,
  SERVERS,
  SETTINGS,
  SLICES,
  VOTERS,
} from "./simulated_processes_test.ts";
import { SimulatedCluster } from "./simulated_cluster_test.ts";

const atMs = fc.integer({ min: 500, max: 6_000 });
const forMs = fc.integer({ min: 50, max: 3_000 });
const voter = fc.integer({ min: 0, max: VOTERS - 1 });
const server = fc.integer({ min: 0, max: SERVERS - 1 });
const slice = fc.integer({ min: 0, max: SLICES - 1 });
const move = fc.record({
  kind: fc.constant("move" as const),
  atMs,
  keeper: voter,
  slice,
  to: server,
});

function faultOf<Kind extends Fault["kind"], Fields>(
  kind: Kind,
  fields: { [Name in keyof Fields]: fc.Arbitrary<Fields[Name]> },
) {
  return fc.record({ kind: fc.constant(kind), atMs, ...fields });
}

const anyFault: fc.Arbitrary<Fault> = fc.oneof(
  { weight: 4, arbitrary: move },
  faultOf("restart-keeper", { keeper: voter }),
  faultOf("pause-keeper", { keeper: voter, forMs }),
  faultOf("restart-server", { server }),
  faultOf("pause-server", { server, forMs }),
  faultOf("cut-store", { keeper: voter, forMs }),
  faultOf("lose-store-replies", { forMs }),
  faultOf("cut-peers", { keeper: voter, forMs }),
  faultOf("cut-server", { keeper: voter, server, forMs }),
  faultOf("split", {
    forMs,
    side: fc.uniqueArray(fc.integer({ min: 0, max: 4 }), { maxLength: 4 }),
  }),
  faultOf("slow", { forMs, delayMs: fc.integer({ min: 50, max: 1_500 }) }),
  faultOf("timings", { keeper: voter }),
  faultOf("keepers", { keeper: voter, set: fc.integer({ min: 0, max: 4 }) }),
) as fc.Arbitrary<Fault>;

const anyScenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer(),
  voters: fc.constantFrom(3, 5),
  leasesMs: fc.array(fc.constantFrom(600, SETTINGS.leaseMs, 2_500), {
    maxLength: 5,
  }),
  faults: fc.array(anyFault, { minLength: 2, maxLength: 14 }),
});

function violationsOf(scenario: Scenario): string[] {
  return new SimulatedCluster(scenario).runUntil(END_MS).violations;
}

// Processes are paused, restarted and disconnected in any order while keys
// move. If a key had two owners, two clients could book the same booth.
test("should never have two owners under any interleaving", () => {
  const runs = Number(process.env.OWNERSHIP_MODEL_RUNS ?? 80);
  fc.assert(
    fc.property(anyScenario, (scenario) => {
      expect(violationsOf(scenario)).toEqual([]);
    }),
    { numRuns: runs, seed: Number(process.env.OWNERSHIP_MODEL_SEED ?? 7) },
  );
});

class AlwaysVotingTracker extends ownership.AssignmentTracker {
  override get mayVote(): boolean {
    return true;
  }
}

/** Grants to a server's new incarnation on a confirmation from before it. */
class StaleConfirmationScheduler extends ownership.LeaseCommandScheduler {
  protected override mayGrant(
    _state: { readonly instanceSeenAtMs: number },
    ctx: ownership.LeaseCommandContext,
  ): boolean {
    return ctx.nowMs < ctx.confirmedAtMs + ctx.timings.evidenceMs;
  }
}

/**
 * Finishes a handover that was redirected, without waiting for the first owner.
 */
class NoSecondWaitController extends ownership.AssignmentController {
  readonly #redirected = new Set<string>();
  override request(change: ownership.ChangeRequest): void {
    const isVacating = this.assignment?.slices.some((slice) =>
      slice.state === "vacating"
    );
    if (isVacating) this.#redirected.add(change.slice);
    super.request(change);
  }
  protected override mayFinishHandover(
    slice: contracts.Slice,
    tick: ownership.AssignmentTick,
  ): boolean {
    return this.#redirected.size > 0 || super.mayFinishHandover(slice, tick);
  }
}

/** Does not wait for a quorum's acknowledgement. */
class NoQuorumController extends ownership.AssignmentController {
  protected override hasQuorum(): boolean {
    return true;
  }
}

/** Needs a quorum of the newest voter set only. */
class NewestVoterSetController extends ownership.AssignmentController {
  protected override hasQuorum(revision: number): boolean {
    const sets = this.assignment?.keeperSets.slice(-1) ?? [];
    return this.acks.hasQuorum(sets, revision);
  }
}

const LONG_MS = 60_000;

/** Counts acknowledgements of earlier incarnations. */
class AcksAcrossRestarts extends ownership.RevisionAckTracker {
  readonly #highest = new Map<contracts.VmId, number>();
  override noteAck(ack: ownership.RevisionAck): void {
    super.noteAck(ack);
    const { vm, revision } = ack;
    this.#highest.set(vm, Math.max(revision, this.#highest.get(vm) ?? 0));
  }
  protected override isAckedAt(
    vm: contracts.VmId,
    revision: number,
  ): boolean {
    return (this.#highest.get(vm) ?? 0) >= revision;
  }
}

class AcksAcrossRestartsController extends ownership.AssignmentController {
  protected override readonly acks = new AcksAcrossRestarts();
}

interface Safeguard {
  readonly name: string;
  readonly withoutSafeguard: Overrides;
  readonly voters?: number;
  readonly leasesMs?: readonly number[];
  readonly faults: readonly Fault[];
}

const startMove: Fault = {
  kind: "move",
  atMs: 2_000,
  keeper: 0,
  slice: 0,
  to: 1,
};

/** Voter `voterIndex` can't reach these servers from `atMs` on. */
function cutFromServers(
  voterIndex: number,
  atMs: number,
  servers: number[],
): Fault[] {
  return servers.map((server) => ({
    kind: "cut-server",
    atMs,
    keeper: voterIndex,
    server,
    forMs: LONG_MS,
  }));
}

const SAFEGUARDS: readonly Safeguard[] = [
  {
    // The voter acknowledged the newer revision and forgot it.
    name: "a restarted voter does not vote before it has read the store",
    withoutSafeguard: { trackerClass: AlwaysVotingTracker },
    faults: [
      { kind: "cut-store", atMs: 1_950, keeper: 1, forMs: LONG_MS },
      { kind: "cut-peers", atMs: 1_950, keeper: 1, forMs: 450 },
      ...cutFromServers(0, 1_950, [0]),
      ...cutFromServers(2, 1_950, [0]),
      startMove,
      { kind: "cut-store", atMs: 2_380, keeper: 2, forMs: LONG_MS },
      { kind: "cut-peers", atMs: 2_380, keeper: 0, forMs: LONG_MS },
      { kind: "restart-keeper", atMs: 2_390, keeper: 2 },
    ],
  },
  {
    name: "a redirected handover keeps the wait for the first owner",
    withoutSafeguard: { controllerClass: NoSecondWaitController },
    faults: [
      { kind: "pause-server", atMs: 1_990, server: 0, forMs: 5_000 },
      startMove,
      { ...startMove, atMs: 2_200, to: 2 } as Fault,
    ],
  },
  {
    name: "a lease runs from the server's stamp, not from the arrival",
    withoutSafeguard: { isLeaseFromArrival: true },
    faults: [
      { kind: "pause-server", atMs: 1_500, server: 0, forMs: 3_500 },
      ...[0, 1, 2].flatMap((index) => cutFromServers(index, 1_960, [0])),
      startMove,
    ],
  },
  {
    name: "a confirmation counts from when the request was sent",
    withoutSafeguard: { isConfirmedFromReply: true },
    faults: [
      { kind: "slow", atMs: 1_700, forMs: 290, delayMs: 300 },
      { kind: "cut-store", atMs: 1_800, keeper: 1, forMs: LONG_MS },
      { kind: "pause-keeper", atMs: 1_960, keeper: 1, forMs: 3_000 },
      { kind: "cut-peers", atMs: 2_000, keeper: 1, forMs: LONG_MS },
      ...cutFromServers(0, 1_960, [0]),
      ...cutFromServers(2, 1_960, [0]),
      startMove,
    ],
  },
  {
    // Right after its release the server restarts and has no record of it.
    name: "a server's new incarnation needs a newer confirmation",
    withoutSafeguard: { schedulerClass: StaleConfirmationScheduler },
    faults: [
      { kind: "cut-store", atMs: 1_970, keeper: 1, forMs: LONG_MS },
      { kind: "cut-peers", atMs: 1_970, keeper: 1, forMs: LONG_MS },
      startMove,
      ...cutFromServers(0, 2_150, [0]),
      ...cutFromServers(2, 2_150, [0]),
      { kind: "restart-server", atMs: 2_150, server: 0 },
    ],
  },
  {
    name: "a release counts only after a quorum's acknowledgement",
    withoutSafeguard: { controllerClass: NoQuorumController },
    faults: [
      { kind: "cut-store", atMs: 1_970, keeper: 1, forMs: LONG_MS },
      { kind: "cut-store", atMs: 1_970, keeper: 2, forMs: LONG_MS },
      { kind: "cut-peers", atMs: 1_970, keeper: 0, forMs: LONG_MS },
      startMove,
      ...cutFromServers(0, 2_150, [0]),
      { kind: "restart-server", atMs: 2_150, server: 0 },
    ],
  },
  {
    // A voter acknowledged, restarted, and was let vote by peers that had not
    // acknowledged yet.
    name: "a quorum's acknowledgements must overlap in time",
    withoutSafeguard: { controllerClass: AcksAcrossRestartsController },
    voters: 5,
    faults: [
      ...[1, 2, 3, 4].map((index): Fault => ({
        kind: "cut-store",
        atMs: 1_950,
        keeper: index,
        forMs: LONG_MS,
      })),
      ...cutFromServers(0, 1_950, [0]),
      ...cutFromServers(1, 1_950, [0]),
      { kind: "cut-server", atMs: 1_950, keeper: 4, server: 0, forMs: 300 },
      { kind: "split", atMs: 1_960, forMs: 240, side: [0, 4] },
      startMove,
      { kind: "split", atMs: 2_200, forMs: 400, side: [0] },
      { kind: "restart-keeper", atMs: 2_205, keeper: 4 },
      { kind: "split", atMs: 2_600, forMs: LONG_MS, side: [0, 1] },
    ],
  },
  {
    // Longer leases are being rolled out, one entry VM after another.
    name: "leases and waits come from the assignment, not from the settings",
    withoutSafeguard: { isOwnTimings: true },
    leasesMs: [SETTINGS.leaseMs, 3_000, 3_000],
    faults: [
      { kind: "pause-server", atMs: 1_995, server: 0, forMs: 5_000 },
      startMove,
    ],
  },
  {
    name: "a change of voters needs a majority of the earlier set too",
    withoutSafeguard: { controllerClass: NewestVoterSetController },
    faults: [
      { kind: "cut-store", atMs: 1_970, keeper: 1, forMs: LONG_MS },
      { kind: "cut-store", atMs: 1_970, keeper: 2, forMs: LONG_MS },
      { kind: "cut-peers", atMs: 1_970, keeper: 0, forMs: LONG_MS },
      ...cutFromServers(0, 1_970, [0]),
      { kind: "keepers", atMs: 1_990, keeper: 0, set: 4 },
      startMove,
    ],
  },
];

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);

function isBroken(
  safeguard: Safeguard,
  seed: number,
  overrides?: Overrides,
): boolean {
  return violationsOf({ ...safeguard, seed, overrides }).length > 0;
}

// Each row is a way in which two servers could come to own one key. It must
// fail without the safeguard, or the row proves nothing, and never with it.
for (const safeguard of SAFEGUARDS) {
  test(`should hold because ${safeguard.name}`, () => {
    const seed = SEEDS.find((seed) =>
      isBroken(safeguard, seed, safeguard.withoutSafeguard)
    );
    expect(seed).not.toEqual(undefined);
    expect(SEEDS.filter((seed) => isBroken(safeguard, seed))).toEqual([]);
  });
}
