/**
 * Plans moves of hot keys off overloaded servers. A key can't be split, so each
 * goes to the server that is least utilized with it; keys that share a server
 * are placed apart in one plan.
 */
import type * as contracts from "@guavatide/contracts";
import {
  coveredPart,
  type KeyRate,
  rateDeviation,
} from "./key_rate_tracker.ts";
import type { RangeMove } from "./range_edit.ts";
import {
  type RangePlanInput,
  ratesWithin,
  type Utilization,
} from "./range_load.ts";

/**
 * Utilization above which hot keys leave a server, and down to which they do.
 * Keys of servers with less load are not worth the pause of a handover.
 */
const OVERLOAD_UTILIZATION = 0.95;
const RELIEVED_UTILIZATION = 0.8;
/** Standard deviations by which an overload must exceed the level. */
const OVERLOAD_DEVIATIONS = 1;
/**
 * Least rate of a hot key, a standard deviation off, as a fraction of the mean
 * capacity. The moves of colder keys cost more than they relieve.
 */
const MIN_HOT_PART = 0.05;
/** A key with fewer recent requests may look hot by chance. */
const MIN_HOT_PER_SECOND = 2;
/** Utilization from which keys with few requests may move as well. */
const HEAVY_UTILIZATION = 2.5;
/** The same of counted requests alone, before those are extrapolated. */
const MIN_RISING_UTILIZATION = 1.5;
/** Their requests are counted for this long before they move. */
const MIN_RISE_MS = 200;
/** Part of a server's demand that is no older than the age of its rise. */
const RISE_AGE_PART = 0.5;
/**
 * Utilization up to which a server may be filled, and the same relative to the
 * overloaded server: a loaded server measures slower than an idle one, so with
 * a smaller difference the key would move to and fro.
 */
const FULL_UTILIZATION = 0.95;
const FULL_GAIN_RATIO = 0.8;
/** A fuller server is used if it is that much less utilized. */
const OVERFULL_GAIN_RATIO = 0.6;
/**
 * Neighbouring keys move together up to this fraction of the mean capacity:
 * each range is renewed by itself.
 */
const GROUP_PART = 0.25;
/** Keys that may lie between neighbours: they hardly add to those that move. */
const MAX_GAP_KEYS = 8;
/**
 * Ranges of the map that a plan may change: an update of more doesn't fit into
 * a datagram, and all VMs would read the map from the store.
 */
const MAX_CHANGED_RANGES = 140;

/** Hot keys next to each other in one range. */
interface HotKeyGroup extends contracts.KeyRange {
  readonly perSecond: number;
  readonly range: contracts.RangeState;
}

/** Options of {@link planHotKeys}. */
export interface HotKeyPlanOptions {
  /** Ranges that may be added to the map. */
  readonly maxAddedRanges: number;
}

/** Moves of hot keys. */
export interface HotKeyPlan {
  readonly moves: RangeMove[];
  /** Whether keys have become so hot that their rates are not known yet. */
  readonly isRising: boolean;
}

/** Plans moves of hot keys. Adds the demand of keys that are rising. */
export function planHotKeys(
  input: RangePlanInput,
  utilization: Utilization,
  { maxAddedRanges }: HotKeyPlanOptions,
): HotKeyPlan {
  const meanCapacity = utilization.capacityPerSecond / input.servers.size;
  const ranges = input.ranges.filter((range) => mayLeave(range, input));
  for (const range of ranges) {
    for (const rate of ratesWithin(input.rates, range)) {
      if (!isHot(rate, meanCapacity)) continue;
      utilization.add(range.owner.server, demandOf(rate) - rate.perSecond);
    }
  }
  const overloaded = overloadedServers(input, utilization, ranges);
  const movable: HotKeyGroup[] = [];
  let isRising = false;
  for (const [server, { ageMs, isHeavy }] of overloaded) {
    // Of what was counted in a shorter time, no rate of a key is known.
    if (!isHeavy || ageMs >= MIN_RISE_MS) continue;
    isRising = true;
    overloaded.delete(server);
  }
  for (const range of ranges) {
    const owner = overloaded.get(range.owner.server);
    if (owner === undefined) continue;
    const keys = ratesWithin(input.rates, range)
      .filter((rate) => isMovable(rate, owner, meanCapacity))
      .map((rate) => ({ key: rate.key, perSecond: owner.demandOf(rate) }));
    movable.push(...groupsOf(range, keys, GROUP_PART * meanCapacity));
  }
  movable.sort((a, b) => b.perSecond - a.perSecond);
  const moves: RangeMove[] = [];
  const pieces = new PieceCount();
  for (const group of movable) {
    const from = group.range.owner.server;
    if (utilization.of(from) <= RELIEVED_UTILIZATION) continue;
    const to = bestServer(group, input, utilization);
    if (to === undefined) continue;
    pieces.add(group);
    const isTooMany = pieces.changed > MAX_CHANGED_RANGES ||
      pieces.added > maxAddedRanges;
    if (isTooMany) break;
    const { fromKey, toKey, perSecond } = group;
    utilization.move(perSecond, { from, to });
    moves.push({ fromKey, toKey, to: input.servers.get(to)!.owner });
  }
  return { moves, isRising };
}

/** Whether single keys of a range may move. */
function mayLeave(
  { owner, vacating }: contracts.RangeState,
  { servers }: RangePlanInput,
): boolean {
  const server = servers.get(owner.server);
  // Each range that remains around the key would be renewed by itself.
  return vacating === undefined && server !== undefined &&
    server.maxRanges === undefined && server.backoff === undefined &&
    !server.keepsRanges;
}

/** A key's rate, also if its requests have only just begun. */
function demandOf({ perSecond, rise }: KeyRate): number {
  return Math.max(perSecond, rise?.perSecond ?? 0);
}

function isHot({ perSecond }: KeyRate, meanCapacity: number): boolean {
  return perSecond >= MIN_HOT_PER_SECOND &&
    perSecond - rateDeviation(perSecond) >= MIN_HOT_PART * meanCapacity;
}

/** An overloaded server. */
interface OverloadedServer {
  /** With the demand of keys that are rising. */
  readonly utilization: number;
  readonly isHeavy: boolean;
  /** Age of most of its demand. */
  readonly ageMs: number;
  demandOf(rate: KeyRate): number;
}

function overloadedServers(
  input: RangePlanInput,
  utilization: Utilization,
  ranges: readonly contracts.RangeState[],
): Map<contracts.ServerId, OverloadedServer> {
  const overloaded = new Map<contracts.ServerId, OverloadedServer>();
  for (const server of input.servers.keys()) {
    const bound = utilization.lowerBound(server, OVERLOAD_DEVIATIONS);
    if (bound <= OVERLOAD_UTILIZATION) continue;
    const rates = ranges.filter(({ owner }) => owner.server === server)
      .flatMap((range) => ratesWithin(input.rates, range));
    const ageMs = riseAgeMs(rates);
    const covered = coveredPart(Math.max(MIN_RISE_MS, ageMs));
    const risenDemandOf = risenDemand(rates, covered);
    const extra = rates.reduce(
      (sum, rate) => sum + risenDemandOf(rate) - demandOf(rate),
      0,
    );
    const heavy = utilization.of(server) +
      extra / input.servers.get(server)!.capacityPerSecond;
    const isHeavy = heavy >= HEAVY_UTILIZATION &&
      utilization.of(server) >= MIN_RISING_UTILIZATION;
    if (isHeavy) utilization.add(server, extra);
    overloaded.set(server, {
      utilization: utilization.of(server),
      isHeavy,
      ageMs,
      demandOf: isHeavy ? risenDemandOf : demandOf,
    });
  }
  return overloaded;
}

/**
 * Demand of the keys of a server whose load has risen by several times. In a
 * short time, the counts of keys with equal rates differ by chance: each rate
 * is moved towards the mean as far as chance explains the variance.
 */
function risenDemand(
  rates: readonly KeyRate[],
  covered: number,
): (rate: KeyRate) => number {
  const scaled = rates.map(({ perSecond }) => perSecond / covered);
  const mean = scaled.reduce((sum, it) => sum + it, 0) / scaled.length;
  const variance = scaled.reduce((sum, it) => sum + (it - mean) ** 2, 0) /
    scaled.length;
  // Of a decayed count of Poisson arrivals that began a while ago.
  const byChance = mean * (2 - covered) / (2 * covered);
  const ownWeight = Math.max(0, 1 - byChance / Math.max(1e-9, variance));
  return ({ perSecond }) => mean + ownWeight * (perSecond / covered - mean);
}

/** Age of a server's demand: of keys that make up most of it. */
function riseAgeMs(rates: readonly KeyRate[]): number {
  const byAge = rates
    .map(({ rise, perSecond }) => ({
      ageMs: rise?.ageMs ?? Number.POSITIVE_INFINITY,
      perSecond,
    }))
    .sort((a, b) => a.ageMs - b.ageMs);
  const total = byAge.reduce((sum, { perSecond }) => sum + perSecond, 0);
  let sum = 0;
  for (const { ageMs, perSecond } of byAge) {
    sum += perSecond;
    if (sum >= total * RISE_AGE_PART) return ageMs;
  }
  return Number.POSITIVE_INFINITY;
}

/**
 * Whether a key of an overloaded server may move. The higher the utilization,
 * the likelier a key whose requests have just begun is one of its causes.
 */
function isMovable(
  rate: KeyRate,
  { utilization, isHeavy }: OverloadedServer,
  meanCapacity: number,
): boolean {
  return isHot(rate, meanCapacity) ||
    isHeavy && rate.rise !== undefined &&
      rate.perSecond >= MIN_HOT_PER_SECOND / utilization;
}

/**
 * Joins neighbouring keys of one range up to a rate. Groups close to each other
 * leave no keys between them: those would be ranges to renew, and are often hot
 * keys whose requests have not been counted yet.
 */
function groupsOf(
  range: contracts.RangeState,
  rates: readonly KeyRate[],
  maxPerSecond: number,
): HotKeyGroup[] {
  const groups: HotKeyGroup[] = [];
  for (const { key, perSecond } of rates) {
    const last = groups.at(-1);
    const isClose = last !== undefined && key - last.toKey <= MAX_GAP_KEYS;
    if (isClose && last.perSecond + perSecond <= maxPerSecond) {
      const sum = last.perSecond + perSecond;
      groups[groups.length - 1] = { ...last, toKey: key, perSecond: sum };
      continue;
    }
    if (isClose) groups[groups.length - 1] = { ...last, toKey: key - 1 };
    groups.push({ fromKey: key, toKey: key, perSecond, range });
  }
  return groups;
}

/** The server that is least utilized with the keys; undefined if none gains. */
function bestServer(
  { perSecond, range }: HotKeyGroup,
  { servers }: RangePlanInput,
  utilization: Utilization,
): contracts.ServerId | undefined {
  const from = range.owner.server;
  let best: contracts.ServerId | undefined;
  let bestAfter = Number.POSITIVE_INFINITY;
  for (const [server, it] of servers) {
    const { capacityPerSecond, isCold, maxRanges, backoff } = it;
    const isUnfit = isCold || maxRanges !== undefined || backoff !== undefined;
    if (isUnfit || server === from) continue;
    const after = utilization.of(server) + perSecond / capacityPerSecond;
    if (after >= bestAfter) continue;
    best = server;
    bestAfter = after;
  }
  const limit = bestAfter <= FULL_UTILIZATION
    ? FULL_GAIN_RATIO
    : OVERFULL_GAIN_RATIO;
  return bestAfter <= utilization.of(from) * limit ? best : undefined;
}

/** Counts the ranges of the map that moves of parts of ranges change. */
class PieceCount {
  readonly #moved = new Map<contracts.RangeState, Set<number>>();
  /** Ranges that differ from the earlier map. */
  changed = 0;
  /** Ranges more than in the earlier map. */
  added = 0;

  add({ fromKey, toKey, range }: HotKeyGroup): void {
    // A part's limits are known by the keys at which it begins and ends.
    const cuts = this.#moved.get(range) ??
      new Set([range.fromKey, range.toKey + 1]);
    const isFirst = !this.#moved.has(range);
    this.#moved.set(range, cuts);
    const newCuts = [fromKey, toKey + 1].filter((cut) => !cuts.has(cut));
    for (const cut of newCuts) cuts.add(cut);
    this.added += newCuts.length;
    this.changed += newCuts.length + (isFirst ? 1 : 0);
  }
}
