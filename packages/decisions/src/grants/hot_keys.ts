/**
 * Plans moves of single keys that are too hot for their server. A key can't be
 * split, so it goes to the server with the most capacity.
 */
import type * as contracts from "@guavatide/contracts";
import type { RangeMove } from "./range_edit.ts";
import {
  type KeyRate,
  type RangePlanInput,
  ratesWithin,
  type Utilization,
} from "./range_load.ts";

/**
 * Utilization of its owner by one key above which the key is too hot for it.
 */
const HOT_KEY_UTILIZATION = 0.8;
/**
 * Least ratio of the next owner's capacity to the present one's. A loaded
 * server measures slower than an idle one, so with less the key would move to
 * and fro.
 */
const MIN_CAPACITY_RATIO = 1.6;

interface HotKey extends KeyRate {
  readonly owner: contracts.ServerId;
}

/** Plans moves of the hottest keys to servers with more capacity. */
export function planHotKeys(
  input: RangePlanInput,
  utilization: Utilization,
): RangeMove[] {
  const hottest = hottestKeys(input);
  const moves: RangeMove[] = [];
  const tooHot = [...hottest.values()]
    .filter((key) => isTooHot(key, input))
    .sort((a, b) => b.perSecond - a.perSecond);
  const taken = new Set(tooHot.map(({ owner }) => owner));
  for (const { key, perSecond, owner } of tooHot) {
    const to = largestFreeServer(input, taken);
    if (to === undefined) break;
    const gain = capacityOf(input, to) / capacityOf(input, owner);
    if (gain < MIN_CAPACITY_RATIO) continue;
    taken.add(to);
    utilization.move(perSecond, { from: owner, to });
    moves.push({
      fromKey: key,
      toKey: key,
      to: input.servers.get(to)!.owner,
    });
  }
  return moves;
}

/** The most requested key of each server. */
function hottestKeys(
  { ranges, rates, servers }: RangePlanInput,
): Map<contracts.ServerId, HotKey> {
  const hottest = new Map<contracts.ServerId, HotKey>();
  for (const range of ranges) {
    const owner = range.owner.server;
    if (!servers.has(owner) || range.vacating !== undefined) continue;
    // Each range that remains around the key would be renewed by itself.
    const { maxRanges, backoff } = servers.get(owner)!;
    if (maxRanges !== undefined || backoff !== undefined) continue;
    for (const rate of ratesWithin(rates, range)) {
      const known = hottest.get(owner);
      if (known !== undefined && known.perSecond >= rate.perSecond) continue;
      hottest.set(owner, { ...rate, owner });
    }
  }
  return hottest;
}

function isTooHot(
  { perSecond, owner }: HotKey,
  input: RangePlanInput,
): boolean {
  return perSecond > HOT_KEY_UTILIZATION * capacityOf(input, owner);
}

function capacityOf(
  { servers }: RangePlanInput,
  server: contracts.ServerId,
): number {
  return servers.get(server)!.capacityPerSecond;
}

/** The server with the most capacity, of those not taken by a hot key. */
function largestFreeServer(
  input: RangePlanInput,
  taken: ReadonlySet<contracts.ServerId>,
): contracts.ServerId | undefined {
  let best: contracts.ServerId | undefined;
  for (const server of input.servers.keys()) {
    if (taken.has(server)) continue;
    const isBetter = best === undefined ||
      capacityOf(input, server) > capacityOf(input, best);
    if (isBetter) best = server;
  }
  return best;
}
