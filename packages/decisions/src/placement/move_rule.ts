/** Moves of slices: off servers that go, and from full to empty servers. */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { PlacementSettings } from "./placement_settings.ts";
import { ServerHeap } from "./server_heap.ts";
import { percent } from "./split_rule.ts";
import type { WorkingServer, WorkingSet, WorkingSlice } from "./working_set.ts";

/** Takes every slice off servers that are lost or leaving. Unlimited. */
export function evacuateServers(set: WorkingSet): ChangeRequest[] {
  if (set.live.length === 0) return [];
  const homeless = [...set.servers.values()]
    .filter((server) => server.state !== "live")
    .flatMap((server) => [...server.slices])
    .sort((a, b) => b.weight - a.weight);
  const emptiest = new ServerHeap(
    set.live,
    (server) => set.zoneAwareLoad(server),
  );
  return homeless.map((slice) => {
    const from = slice.server;
    const to = emptiest.pop()!;
    set.move(slice, to);
    emptiest.push(to);
    return describeMove(slice, to, `server ${from.id} is ${from.state}`);
  });
}

/** Options of {@link rebalance}. */
export interface RebalanceOptions {
  readonly settings: PlacementSettings;
  readonly maxMoves: number;
  /** Gap between two servers' loads that chance alone may show. */
  readonly noise: number;
}

/**
 * Moves slices from the fullest to the emptiest server for as long as that is
 * worth its price. Gain and price of a move of relative weight `d` from a
 * server at `a` to one at `b`:
 *
 *     gain  = imbalanceWeight * d * (a - b - d)
 *     price = churnWeight * keyPrice * keys + imbalanceWeight * gapPrice * d
 *
 * The gain is what the move takes off the sum of squared loads, halved. Keys
 * are counted in those of an average server, so that a hot key, which is one
 * key with much load, is cheap to move and a broad slice is dear. `a - b` is
 * taken less the noise: without that, a high weight of imbalance moves keys
 * after chance, and operators see churn that evens out nothing.
 */
export function rebalance(
  set: WorkingSet,
  { settings, maxMoves, noise }: RebalanceOptions,
): ChangeRequest[] {
  const changes: ChangeRequest[] = [];
  const fullest = new ServerHeap(
    set.live,
    (server) => -set.relativeLoad(server),
  );
  const emptiest = new ServerHeap(
    set.live,
    (server) => set.zoneAwareLoad(server),
  );
  while (changes.length < maxMoves) {
    const from = fullest.pop();
    const to = emptiest.pop();
    if (from === undefined || to === undefined || from === to) break;
    const best = bestSliceToMove(set, { from, to, settings, noise });
    if (best === undefined) {
      emptiest.push(to);
      if (isBalanced(set, from, to)) break;
      continue;
    }
    const reason = `load ${percent(set.relativeLoad(from))} of fair, ` +
      `target ${percent(set.relativeLoad(to))}`;
    set.move(best, to);
    changes.push(describeMove(best, to, reason));
    fullest.push(from);
    fullest.push(to);
    emptiest.push(to);
    emptiest.push(from);
  }
  return changes;
}

/** Nothing further down the queue can be worth a move either. */
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
    keyMoveCost: keyPrice,
    gapCost: gapPrice,
  } = settings;
  const gap = set.relativeLoad(from) - set.relativeLoad(to) - noise;
  const lessAtFrom = slice.weight / from.capacityShare;
  const moreAtTo = slice.weight / to.capacityShare;
  const load = set.relativeWeight(slice);
  const keys = slice.keyShare * set.live.length;
  const gain = load * (gap - (lessAtFrom + moreAtTo) / 2);
  const price = churnWeight * keyPrice * keys;
  return imbalanceWeight * (gain - gapPrice * load) - price;
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
