/**
 * Plans which server should own which slice of one keyed service. It weighs
 * the gain of evening out load against the price of moved keys and of the gap
 * of a move, by the service's own weights. Called at a fixed interval and when
 * a server goes, by the VM with control duty. Two planners at once do no harm:
 * changes take effect by conditional updates.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { LoadEstimate } from "./load_aggregator.ts";
import * as mergeRule from "./merge_rule.ts";
import * as moveRule from "./move_rule.ts";
import type { PlacementSettings } from "./placement_settings.ts";
import * as splitRule from "./split_rule.ts";
import { type PlacementInput, WorkingSet } from "./working_set.ts";

/** What to change, and the figures that led to it. */
export interface Plan {
  /** In this order; each builds on those before. */
  readonly changes: readonly ChangeRequest[];
  /** Fullest server's load against the fair one, before the plan. */
  readonly imbalance: number;
  /** The same as expected after the plan. */
  readonly plannedImbalance: number;
  readonly sliceCount: number;
}

/** Splits in one plan, at least; so with merges. */
const MIN_RESHARDS = 8;
/** Moves to even out load in one plan, at least. */
const MIN_MOVES = 2;
/** Standard deviations of a server's counted load that count as noise. */
const NOISE_DEVIATIONS = 2;
/** Slices up to this width are brought back when cold. */
const NARROW_WIDTH = 16;

/** Plans one service. */
export class Planner {
  readonly #settings: PlacementSettings;
  /** When the slice that begins at a hash was last changed. */
  readonly #changedAtMs = new Map<number, number>();
  /** Owners of slices taken from a lost server, by first hash. */
  readonly #homes = new Map<number, contracts.ServerId>();
  #firstPlanMs: number | undefined;

  constructor(settings: PlacementSettings) {
    this.#settings = settings;
  }

  /** Slices for a service that has no assignment yet. */
  initialSliceCount(servers: number): number {
    return Math.max(1, servers) * this.#settings.slicesPerServer;
  }

  /**
   * Only what cannot wait: slices of servers that are lost or leaving, and
   * slices still on their way that a server which is back may keep.
   */
  planEvacuations(input: PlacementInput): Plan {
    const set = this.#workingSet(input);
    const before = imbalanceOf(set);
    const changes = this.#planLosses(input, set);
    return this.#finish(input.nowMs, { set, before, changes });
  }

  /** The whole plan: losses first, then merges, splits and moves. */
  plan(input: PlacementInput): Plan {
    const set = this.#workingSet(input);
    const before = imbalanceOf(set);
    const changes = this.#planLosses(input, set);
    if (set.live.length > 0 && this.#knowsLoad(input)) {
      changes.push(...this.#planMerges(set));
      changes.push(...this.#planSplits(set, input));
      changes.push(...this.#planMoves(set, input.load));
    }
    return this.#finish(input.nowMs, { set, before, changes });
  }

  /**
   * A planner that has just started has few reports, and an idle service has
   * no load to speak of. Evening out by such figures would move keys to and
   * fro at each change of duty and each quiet night; operators would see
   * churn without any gain. Both wait.
   */
  #knowsLoad({ nowMs, load }: PlacementInput): boolean {
    const { startupDelayMs: settleMs, minRequestsPerSecond } = this.#settings;
    this.#firstPlanMs ??= nowMs;
    const hasSettled = nowMs - this.#firstPlanMs >= settleMs;
    return hasSettled && load.requestsPerSecond >= minRequestsPerSecond;
  }

  #workingSet(input: PlacementInput): WorkingSet {
    const { cooldownMs: coolingMs } = this.#settings;
    for (const [fromHash, atMs] of this.#changedAtMs) {
      if (input.nowMs - atMs >= coolingMs) this.#changedAtMs.delete(fromHash);
    }
    return new WorkingSet(
      input,
      this.#settings,
      (fromHash) => this.#changedAtMs.has(fromHash),
    );
  }

  #planLosses(input: PlacementInput, set: WorkingSet): ChangeRequest[] {
    const changes = this.#planReturns(set);
    this.#rememberHomes(input, set);
    changes.push(...moveRule.evacuateServers(set));
    return changes;
  }

  /**
   * A server that restarted and is back before its slices were given on keeps
   * them: the wait goes on as before, and no key changes owner for it.
   */
  #planReturns(set: WorkingSet): ChangeRequest[] {
    const changes: ChangeRequest[] = [];
    if (this.#homes.size === 0) return changes;
    for (const slice of set.slices) {
      const home = this.#homes.get(slice.fromHash);
      if (home === undefined) continue;
      const server = set.servers.get(home);
      if (slice.state !== "vacating") this.#homes.delete(slice.fromHash);
      const isBack = server?.state === "live" && slice.server !== server;
      if (slice.state !== "vacating" || !isBack) continue;
      this.#homes.delete(slice.fromHash);
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

  #rememberHomes(input: PlacementInput, set: WorkingSet): void {
    for (const slice of set.slices) {
      if (slice.server.state !== "lost" || slice.state !== "owned") continue;
      this.#homes.set(slice.fromHash, slice.server.id);
    }
    // The update that marks a slice as vacating may not be seen yet.
    if (this.#homes.size > 2 * input.slices.length) this.#homes.clear();
  }

  #planMerges(set: WorkingSet): ChangeRequest[] {
    const { mergeShare, minSlicesPerServer } = this.#settings;
    return mergeRule.mergeColdSlices(set, {
      mergeShare,
      maxMerges: this.#edits(set),
      minSlices: minSlicesPerServer * set.live.length,
      narrowWidth: NARROW_WIDTH,
    });
  }

  #planSplits(set: WorkingSet, input: PlacementInput): ChangeRequest[] {
    const { splitShare, maxSlicesPerServer } = this.#settings;
    return splitRule.splitHotSlices(set, {
      splitShare,
      maxSplits: this.#edits(set),
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

  /** Keys hot enough to matter, as parts of the service's weight. */
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

  #edits(set: WorkingSet): number {
    const { reshardsPerServer: editsPerServer } = this.#settings;
    return Math.max(MIN_RESHARDS, Math.ceil(editsPerServer * set.live.length));
  }

  #finish(
    nowMs: number,
    made: { set: WorkingSet; before: number; changes: ChangeRequest[] },
  ): Plan {
    for (const change of made.changes) this.#noteChanged(change, nowMs);
    return {
      changes: made.changes,
      imbalance: made.before,
      plannedImbalance: imbalanceOf(made.set),
      sliceCount: made.set.sliceCount,
    };
  }

  #noteChanged(change: ChangeRequest, nowMs: number): void {
    const fromHash = Number.parseInt(change.slice, 16);
    // A split part may be moved at once: that is what it was split for.
    if (change.kind !== "split") this.#changedAtMs.set(fromHash, nowMs);
  }
}

function imbalanceOf(set: WorkingSet): number {
  return set.live.reduce(
    (highest, server) => Math.max(highest, set.relativeLoad(server)),
    0,
  );
}

/** Rates of nothing, for a service whose load is not known yet. */
export function emptyLoadEstimate(slices: number): LoadEstimate {
  return {
    requestsPerSecond: 0,
    slices: new Float64Array(slices),
    keys: [],
  };
}
