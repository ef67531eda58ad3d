/**
 * Plans which server owns which slice of one keyed service. Weighs the gain of
 * balanced load against the cost of moved keys and of the time without an owner
 * during a move, by the service's own weights. The leader runs it at a fixed
 * interval and when a server is lost or leaves. Two planners at once are safe,
 * as changes are applied by conditional updates.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { LoadEstimate } from "./load_aggregator.ts";
import * as mergeRule from "./merge_rule.ts";
import * as moveRule from "./move_rule.ts";
import type { PlacementSettings } from "./placement_settings.ts";
import * as splitRule from "./split_rule.ts";
import { type PlacementInput, WorkingSet } from "./working_set.ts";

/** Changes to apply, and the imbalance before and after. */
export interface Plan {
  /** To be applied in this order; each depends on those before it. */
  readonly changes: readonly ChangeRequest[];
  /** Highest relative load of a server before the plan; 1 is balanced. */
  readonly imbalance: number;
  /** The same expected after the plan. */
  readonly plannedImbalance: number;
  readonly sliceCount: number;
}

/** Lower limit of the splits in one plan, and of the merges. */
const MIN_RESHARDS = 8;
/** Lower limit of the rebalancing moves in one plan. */
const MIN_MOVES = 2;
/** Standard deviations of a server's measured load that count as noise. */
const NOISE_DEVIATIONS = 2;
/** Cold slices of at most this many hashes move to the owner of a neighbour. */
const NARROW_WIDTH = 16;

/** Planner of one service. */
export class Planner {
  readonly #settings: PlacementSettings;
  /** When a slice was last changed, by first hash. */
  readonly #changedAtMs = new Map<number, number>();
  /** Previous owners of slices moved off a lost server, by first hash. */
  readonly #oldOwners = new Map<number, contracts.ServerId>();
  #firstPlanMs: number | undefined;

  constructor(settings: PlacementSettings) {
    this.#settings = settings;
  }

  /** Number of slices in the initial assignment. */
  initialSliceCount(servers: number): number {
    return Math.max(1, servers) * this.#settings.slicesPerServer;
  }

  /**
   * Plans only urgent changes: moves slices off lost and leaving servers, and
   * returns slices in handover to a server that is back.
   */
  planEvacuations(input: PlacementInput): Plan {
    const set = this.#workingSet(input);
    const before = imbalanceOf(set);
    const changes = this.#evacuate(input, set);
    return this.#finish(input.nowMs, { set, before, changes });
  }

  /** Plans all changes: evacuations first, then merges, splits and moves. */
  plan(input: PlacementInput): Plan {
    const set = this.#workingSet(input);
    const before = imbalanceOf(set);
    const changes = this.#evacuate(input, set);
    if (set.live.length > 0 && this.#knowsLoad(input)) {
      changes.push(...this.#planMerges(set));
      changes.push(...this.#planSplits(set, input));
      changes.push(...this.#planMoves(set, input.load));
    }
    return this.#finish(input.nowMs, { set, before, changes });
  }

  /**
   * Whether the load is known well enough to rebalance. A planner that has just
   * started has few reports, and an idle service has almost no load.
   * Rebalancing by such figures would move keys back and forth at each change
   * of leadership and in each quiet period, which is churn without any gain.
   */
  #knowsLoad({ nowMs, load }: PlacementInput): boolean {
    const { startupDelayMs, minRequestsPerSecond } = this.#settings;
    this.#firstPlanMs ??= nowMs;
    const isReady = nowMs - this.#firstPlanMs >= startupDelayMs;
    return isReady && load.requestsPerSecond >= minRequestsPerSecond;
  }

  #workingSet(input: PlacementInput): WorkingSet {
    const { cooldownMs } = this.#settings;
    for (const [fromHash, atMs] of this.#changedAtMs) {
      if (input.nowMs - atMs >= cooldownMs) this.#changedAtMs.delete(fromHash);
    }
    return new WorkingSet(
      input,
      this.#settings,
      (fromHash) => this.#changedAtMs.has(fromHash),
    );
  }

  #evacuate(input: PlacementInput, set: WorkingSet): ChangeRequest[] {
    const changes = this.#planReturns(set);
    this.#rememberOldOwners(input, set);
    changes.push(...moveRule.evacuateServers(set));
    return changes;
  }

  /**
   * Returns slices to a server that restarted and is back before their handover
   * has finished: the lease must expire in any case, and no key changes owner.
   */
  #planReturns(set: WorkingSet): ChangeRequest[] {
    const changes: ChangeRequest[] = [];
    if (this.#oldOwners.size === 0) return changes;
    for (const slice of set.slices) {
      const oldOwner = this.#oldOwners.get(slice.fromHash);
      if (oldOwner === undefined) continue;
      const server = set.servers.get(oldOwner);
      if (slice.state !== "vacating") this.#oldOwners.delete(slice.fromHash);
      const isBack = server?.state === "live" && slice.server !== server;
      if (slice.state !== "vacating" || !isBack) continue;
      this.#oldOwners.delete(slice.fromHash);
      set.move(slice, server);
      changes.push({
        kind: "move",
        slice: contracts.sliceIdOf(slice),
        toServer: server.id,
        reason: `server ${server.id} is back`,
      });
    }
    return changes;
  }

  #rememberOldOwners(input: PlacementInput, set: WorkingSet): void {
    for (const slice of set.slices) {
      if (slice.server.state !== "lost" || slice.state !== "owned") continue;
      this.#oldOwners.set(slice.fromHash, slice.server.id);
    }
    // Not dropped one by one: the update that marks a slice as vacating may not
    // be visible yet.
    if (this.#oldOwners.size > 2 * input.slices.length) this.#oldOwners.clear();
  }

  #planMerges(set: WorkingSet): ChangeRequest[] {
    const { mergeShare, minSlicesPerServer } = this.#settings;
    return mergeRule.mergeColdSlices(set, {
      mergeShare,
      maxMerges: this.#maxReshards(set),
      minSlices: minSlicesPerServer * set.live.length,
      narrowWidth: NARROW_WIDTH,
    });
  }

  #planSplits(set: WorkingSet, input: PlacementInput): ChangeRequest[] {
    const { splitShare, maxSlicesPerServer } = this.#settings;
    return splitRule.splitHotSlices(set, {
      splitShare,
      maxSplits: this.#maxReshards(set),
      maxSlices: maxSlicesPerServer * set.live.length,
      keys: this.#keyWeights(set, input),
    });
  }

  #planMoves(set: WorkingSet, load: LoadEstimate): ChangeRequest[] {
    const { movesPerServer, loadWindowMs } = this.#settings;
    const windowS = loadWindowMs / 1000;
    const counted = load.requestsPerSecond * windowS / set.live.length;
    const maxMoves = Math.ceil(movesPerServer * set.live.length);
    return moveRule.rebalance(set, {
      settings: this.#settings,
      maxMoves: Math.max(MIN_MOVES, maxMoves),
      noise: NOISE_DEVIATIONS / Math.sqrt(Math.max(1, counted)),
    });
  }

  /**
   * Keys hot enough to affect splits, with their fraction of the total weight.
   */
  #keyWeights(
    set: WorkingSet,
    { load }: PlacementInput,
  ): splitRule.KeyWeight[] {
    const { splitShare, widthWeight, minRequestsPerSecond } = this.#settings;
    const sum = load.slices.reduce((total, rate) => total + rate, 0);
    if (sum < minRequestsPerSecond) return [];
    const smallest = splitShare / 4 / set.live.length;
    return load.keys
      .map(({ hash, requestsPerSecond }) => ({
        hash,
        weight: (1 - widthWeight) * requestsPerSecond / sum,
      }))
      .filter(({ weight }) => weight >= smallest);
  }

  #maxReshards(set: WorkingSet): number {
    const { reshardsPerServer } = this.#settings;
    return Math.max(
      MIN_RESHARDS,
      Math.ceil(reshardsPerServer * set.live.length),
    );
  }

  #finish(
    nowMs: number,
    made: { set: WorkingSet; before: number; changes: ChangeRequest[] },
  ): Plan {
    for (const change of made.changes) this.#recordChange(change, nowMs);
    return {
      changes: made.changes,
      imbalance: made.before,
      plannedImbalance: imbalanceOf(made.set),
      sliceCount: made.set.sliceCount,
    };
  }

  #recordChange(change: ChangeRequest, nowMs: number): void {
    const fromHash = Number.parseInt(change.slice, 16);
    // A split has no cooldown: its parts are split off to be moved at once.
    if (change.kind !== "split") this.#changedAtMs.set(fromHash, nowMs);
  }
}

function imbalanceOf(set: WorkingSet): number {
  return set.live.reduce(
    (highest, server) => Math.max(highest, set.relativeLoad(server)),
    0,
  );
}

/** Zero rates, for a service whose load is not known yet. */
export function emptyLoadEstimate(slices: number): LoadEstimate {
  return {
    requestsPerSecond: 0,
    slices: new Float64Array(slices),
    keys: [],
  };
}
