/**
 * Keys too hot for their server: a key can't be split, so it goes to the server
 * that can serve most of its requests.
 */
import type * as contracts from "@guavatide/contracts";
import type { RangeMove } from "./range_edit.ts";
import {
  type KeyRate,
  type RangePlanInput,
  ratesWithin,
  type Utilization,
} from "./range_load.ts";

/** Busy part of its owner that a key alone takes when it is too hot for it. */
const HOT_KEY_UTILIZATION = 0.8;
/**
 * How much more the next owner must carry: a full server measures slower than
 * an idle one, and a key would wander.
 */
const MIN_CAPACITY_RATIO = 1.6;

interface HotKey extends KeyRate {
  readonly owner: contracts.ServerId;
}

/** Moves of the hottest keys to servers that can carry more of their requests. */
export function planHotKeys(
  input: RangePlanInput,
  use: Utilization,
): RangeMove[] {
  const hottest = hottestKeys(input);
  const moves: RangeMove[] = [];
  const lone = [...hottest.values()]
    .filter((it) => isTooHot(it, input))
    .sort((a, b) => b.perSecond - a.perSecond);
  const taken = new Set(lone.map(({ owner }) => owner));
  for (const { key, perSecond, owner } of lone) {
    const to = fastest(input, taken);
    if (to === undefined) break;
    const gain = capacityOf(input, to) / capacityOf(input, owner);
    if (gain < MIN_CAPACITY_RATIO) continue;
    taken.add(to);
    use.add(owner, -perSecond);
    use.add(to, perSecond);
    moves.push({
      fromKey: key,
      toKey: key,
      to: input.servers.get(to)!.owner,
    });
  }
  return moves;
}

/** The key of each server that is asked for most. */
function hottestKeys(
  { ranges, rates, servers }: RangePlanInput,
): Map<contracts.ServerId, HotKey> {
  const hottest = new Map<contracts.ServerId, HotKey>();
  for (const range of ranges) {
    const owner = range.owner.server;
    if (!servers.has(owner) || range.vacating !== undefined) continue;
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

/** The server that carries most, of those without such a key. */
function fastest(
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
