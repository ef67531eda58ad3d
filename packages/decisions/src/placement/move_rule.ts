/** Moves slices off lost and leaving servers, and rebalances live ones. */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { PlacementSettings } from "./placement_settings.ts";
import { ServerHeap } from "./server_heap.ts";
import { percent } from "./split_rule.ts";
import type { WorkingServer, WorkingSet, WorkingSlice } from "./working_set.ts";

/** Moves every slice off servers that are lost or leaving, without a limit. */
export function evacuateServers(set: WorkingSet): ChangeRequest[] {
  if (set.live.length === 0) return [];
  const evacuated = [...set.servers.values()]
    .filter((server) => server.state !== "live")
    .flatMap((server) => [...server.slices])
    .sort((a, b) => b.weight - a.weight);
  const leastLoaded = new ServerHeap(
    set.live,
    (server) => set.zoneAwareLoad(server),
  );
  return evacuated.map((slice) => {
    const from = slice.server;
    const to = leastLoaded.pop()!;
    set.move(slice, to);
    leastLoaded.push(to);
    return describeMove(slice, to, `server ${from.id} is ${from.state}`);
  });
}

/** Options of {@link rebalance}. */
export interface RebalanceOptions {
  readonly settings: PlacementSettings;
  readonly maxMoves: number;
  /**
   * Difference between two servers' relative loads that may be due to chance.
   */
  readonly noise: number;
}

/**
 * Moves slices from the most to the least loaded server while the gain exceeds
 * the cost. For a move of relative weight `d` from a server with relative load
 * `a` to one with `b`:
 *
 *     gain = imbalanceWeight * d * (a - b - d)
 *     cost = churnWeight * keyMoveCost * keys + imbalanceWeight * gapCost * d
 *
 * The gain is half the decrease of the sum of squared loads. Keys are counted
 * in units of an average server's keys, so that a hot key, which is one key
 * with much load, is cheap to move and a wide slice is expensive. The noise is
 * subtracted from `a - b`; otherwise a high weight of imbalance would move keys
 * for random differences, which is churn without any gain.
 */
export function rebalance(
  set: WorkingSet,
  { settings, maxMoves, noise }: RebalanceOptions,
): ChangeRequest[] {
  const changes: ChangeRequest[] = [];
  const mostLoaded = new ServerHeap(
    set.live,
    (server) => -set.relativeLoad(server),
  );
  const leastLoaded = new ServerHeap(
    set.live,
    (server) => set.zoneAwareLoad(server),
  );
  while (changes.length < maxMoves) {
    const from = mostLoaded.pop();
    const to = leastLoaded.pop();
    if (from === undefined || to === undefined || from === to) break;
    const best = bestSliceToMove(set, { from, to, settings, noise });
    if (best === undefined) {
      leastLoaded.push(to);
      if (isBalanced(set, from, to)) break;
      continue;
    }
    const reason = `load ${percent(set.relativeLoad(from))} of fair, ` +
      `target ${percent(set.relativeLoad(to))}`;
    set.move(best, to);
    changes.push(describeMove(best, to, reason));
    mostLoaded.push(from);
    mostLoaded.push(to);
    leastLoaded.push(to);
    leastLoaded.push(from);
  }
  return changes;
}

/** Whether the loads are so even that no further move can be worth its cost. */
function isBalanced(
  set: WorkingSet,
  from: WorkingServer,
  to: WorkingServer,
): boolean {
  return set.relativeLoad(from) <= set.relativeLoad(to) + 0.01;
}

interface ServerPair {
  readonly from: WorkingServer;
  readonly to: WorkingServer;
  readonly settings: PlacementSettings;
  readonly noise: number;
}

function bestSliceToMove(
  set: WorkingSet,
  pair: ServerPair,
): WorkingSlice | undefined {
  let best: WorkingSlice | undefined;
  let bestScore = 0;
  for (const slice of pair.from.slices) {
    if (slice.isCoolingDown) continue;
    const score = scoreOf(set, slice, pair);
    if (score <= bestScore) continue;
    best = slice;
    bestScore = score;
  }
  return best;
}

function scoreOf(
  set: WorkingSet,
  slice: WorkingSlice,
  { from, to, settings, noise }: ServerPair,
): number {
  const {
    imbalanceWeight,
    churnWeight,
    keyMoveCost,
    gapCost,
  } = settings;
  const gap = set.relativeLoad(from) - set.relativeLoad(to) - noise;
  const decrease = slice.weight / from.capacityShare;
  const increase = slice.weight / to.capacityShare;
  const load = set.relativeWeight(slice);
  const keys = slice.keyShare * set.live.length;
  const gain = load * (gap - (decrease + increase) / 2);
  const cost = churnWeight * keyMoveCost * keys;
  return imbalanceWeight * (gain - gapCost * load) - cost;
}

function describeMove(
  slice: WorkingSlice,
  to: WorkingServer,
  reason: string,
): ChangeRequest {
  return {
    kind: "move",
    slice: contracts.sliceIdOf(slice),
    toServer: to.id,
    reason,
  };
}
