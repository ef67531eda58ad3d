/**
 * Plans moves of key ranges between backend servers: away from servers that are
 * lost or leaving, to new servers, and from overloaded to less loaded servers.
 */
import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { planHotKeys } from "./hot_keys.ts";
import { overlaps, type RangeMove } from "./range_edit.ts";
import type { KeyRate } from "./key_rate_tracker.ts";
import {
  type RangePlanInput,
  rangeRate,
  ratesWithin,
  Utilization,
  WIDTH_RATE_PER_KEY,
} from "./range_load.ts";

/**
 * Utilization above which keys are moved off a server. Below it requests rarely
 * queue, while a move delays them.
 */
const HOT_UTILIZATION = 0.5;
/** Keys are moved only off servers above the mean utilization by this ratio. */
const HOT_RATIO = 1.2;
/**
 * Standard deviations by which a load must exceed the level. More to start, as
 * rates over a short window are noisy; fewer to stop, or a hot server would
 * keep part of its excess load.
 */
const START_DEVIATIONS = 2;
const STOP_DEVIATIONS = 1;
/** Moves that any plan may hold; each adds a grant that must be renewed. */
const MIN_MOVES_PER_PLAN = 8;
/** Moves per server in a larger plan: a hot spot is spread over all servers. */
const MOVES_PER_SERVER = 0.25;
/** Pieces that a lost server's keys are split into, at mean load. */
const PIECES_PER_LOST_SERVER = 3;
/** Pieces in which keys leave a server that takes hardly any requests. */
const MOVES_PER_EVACUATION = 2;
/** Ranges per server from which on no range is split any further. */
const MAX_RANGES_PER_SERVER = 10;

/** Plans moves. An empty list means that no range has to move. */
export function planRangeMoves(input: RangePlanInput): RangeMove[] {
  if (input.servers.size === 0) return [];
  const utilization = new Utilization(input.servers);
  for (const range of input.ranges) {
    utilization.add(range.owner.server, rangeRate(input.rates, range));
  }
  const moves = planLostServers(input, utilization);
  if (!input.mayBalance || moves.length > 0) return moves;
  // A move would shift load between limits and cost each of them calls.
  if (areAllLimited(input)) return [];
  const maxAddedRanges = input.servers.size * MAX_RANGES_PER_SERVER -
    input.ranges.length;
  const { moves: hotKeys, isRising } = planHotKeys(input, utilization, {
    maxAddedRanges,
  });
  // While handovers are in progress only single hot keys are moved: they
  // affect one server each.
  const isStable = input.ranges.every(({ vacating }) => vacating === undefined);
  // Ranges cut by rates that are not known would move several hot keys together.
  if (!isStable || isRising) return hotKeys;
  const forNewServers = planNewServers(input, utilization);
  if (forNewServers.length > 0) return forNewServers;
  const relief = planRelief(input, utilization);
  return planRebalance(input, utilization, [...hotKeys, ...relief]);
}

function areAllLimited({ servers }: RangePlanInput): boolean {
  return [...servers.values()].every(({ maxRanges, backoff }) =>
    maxRanges !== undefined || backoff?.isTotal
  );
}

/**
 * Moves ranges off servers that limit their calls and have no room to have them
 * all renewed; the narrowest first, as each key that moves is a cost.
 */
function planRelief(
  input: RangePlanInput,
  utilization: Utilization,
): RangeMove[] {
  const limited = new Map(
    [...input.servers].filter(([, { maxRanges }]) => maxRanges !== undefined),
  );
  if (limited.size === 0) return [];
  const moves: RangeMove[] = [];
  for (const [server, { maxRanges }] of limited) {
    const owned = input.ranges.filter(({ owner, vacating }) =>
      owner.server === server && vacating === undefined
    ).sort((a, b) => widthOf(a) - widthOf(b));
    for (
      const range of owned.slice(0, Math.max(0, owned.length - maxRanges!))
    ) {
      if (moves.length >= movesPerPlan(input)) return moves;
      const to = utilization.leastUtilized(limited)!;
      const perSecond = rangeRate(input.rates, range);
      utilization.move(perSecond, { from: server, to });
      const { fromKey, toKey } = range;
      moves.push({ fromKey, toKey, to: input.servers.get(to)!.owner });
    }
  }
  return moves;
}

function widthOf({ fromKey, toKey }: contracts.KeyRange): number {
  return toKey - fromKey + 1;
}

function planLostServers(
  input: RangePlanInput,
  utilization: Utilization,
): RangeMove[] {
  const moves: RangeMove[] = [];
  const total = rangeRate(input.rates, ALL_KEYS);
  const perPiece = total / input.servers.size / PIECES_PER_LOST_SERVER;
  for (const range of input.ranges) {
    const { owner } = range;
    const server = input.servers.get(owner.server);
    if (server !== undefined && server.owner.bornMs === owner.bornMs) continue;
    // A range that is already in handover changes its next owner as a whole.
    const pieces = range.vacating === undefined
      ? cut(
        input.rates,
        range,
        piecesOf(rangeRate(input.rates, range), perPiece),
      )
      : [range];
    for (const piece of pieces) {
      const to = utilization.leastUtilized()!;
      utilization.add(to, rangeRate(input.rates, piece));
      const { fromKey, toKey } = piece;
      moves.push({ fromKey, toKey, to: input.servers.get(to)!.owner });
    }
  }
  return moves;
}

/** Pieces for a range; few with little load, as each is a grant to renew. */
function piecesOf(perSecond: number, perPiece: number): number {
  const pieces = Math.round(perSecond / perPiece);
  return Math.min(PIECES_PER_LOST_SERVER, Math.max(1, pieces));
}

/** Cuts a range into pieces of about the same load. */
function cut(
  rates: readonly KeyRate[],
  range: contracts.KeyRange,
  count: number,
): contracts.KeyRange[] {
  const perPiece = rangeRate(rates, range) / count;
  const pieces: contracts.KeyRange[] = [];
  let { fromKey } = range;
  let sum = 0;
  let nextKey = range.fromKey;
  const end = { key: range.toKey, perSecond: 0 };
  for (const { key, perSecond } of [...ratesWithin(rates, range), end]) {
    // Between two requested keys, load grows with the width.
    while (pieces.length < count - 1) {
      const missing = perPiece * (pieces.length + 1) - sum;
      const width = Math.ceil(missing / WIDTH_RATE_PER_KEY);
      const atKey = nextKey + Math.max(0, width - 1);
      if (atKey >= key) break;
      pieces.push({ fromKey, toKey: atKey });
      fromKey = atKey + 1;
    }
    sum += (key - nextKey + 1) * WIDTH_RATE_PER_KEY + perSecond;
    nextKey = key + 1;
  }
  pieces.push({ fromKey, toKey: range.toKey });
  return pieces.filter((piece) => piece.fromKey <= piece.toKey);
}

/** Moves a share of the keys to each server that owns none. */
function planNewServers(
  input: RangePlanInput,
  utilization: Utilization,
): RangeMove[] {
  const owners = new Set(input.ranges.map(({ owner }) => owner.server));
  const moves: RangeMove[] = [];
  const limit = movesPerPlan(input);
  const total = rangeRate(input.rates, ALL_KEYS);
  for (const [server, it] of input.servers) {
    const { owner, isCold, maxRanges, backoff } = it;
    const isUnfit = isCold || maxRanges !== undefined || backoff !== undefined;
    if (isUnfit || owners.has(server) || moves.length >= limit) continue;
    const piece = shareOfLargest(input, moves, total / input.servers.size);
    if (piece === undefined) break;
    const rate = rangeRate(input.rates, piece);
    utilization.move(rate, { from: piece.from, to: server });
    moves.push({ fromKey: piece.fromKey, toKey: piece.toKey, to: owner });
  }
  return moves;
}

function movesPerPlan({ servers }: RangePlanInput): number {
  return Math.max(
    MIN_MOVES_PER_PLAN,
    Math.ceil(servers.size * MOVES_PER_SERVER),
  );
}

const ALL_KEYS: contracts.KeyRange = { fromKey: 0, toKey: KEY_COUNT - 1 };

/**
 * The upper end of the range with the most load: a share, at most half. Where
 * that load is one key next to the upper end, which can't be cut off, a whole
 * range of the server with the most load, or the end of another range.
 */
function shareOfLargest(
  input: RangePlanInput,
  moves: readonly RangeMove[],
  sharePerSecond: number,
): (contracts.KeyRange & { readonly from: contracts.ServerId }) | undefined {
  const loads = new Map<contracts.ServerId, number>();
  const movable = [...ownedParts(input, moves)]
    .filter(({ server }) => !keepsRanges(input, server));
  const parts = movable.map((owned) => {
    const perSecond = rangeRate(input.rates, owned.part);
    loads.set(owned.server, (loads.get(owned.server) ?? 0) + perSecond);
    return { ...owned, perSecond };
  }).sort((a, b) => b.perSecond - a.perSecond);
  const ends = parts.flatMap(({ part, server, perSecond }) => {
    const count = Math.max(2, Math.round(perSecond / sharePerSecond));
    const last = cut(input.rates, part, count).at(-1)!;
    return last.fromKey > part.fromKey ? [{ part, last, from: server }] : [];
  });
  const largest = parts.find(({ part }) => part.fromKey !== part.toKey);
  if (ends[0] !== undefined && ends[0].part === largest!.part) {
    return { ...ends[0].last, from: ends[0].from };
  }
  const [whole] = parts
    .filter(({ server, perSecond }) => 2 * perSecond <= loads.get(server)!)
    .sort((a, b) => loads.get(b.server)! - loads.get(a.server)!);
  if (whole !== undefined) return { ...whole.part, from: whole.server };
  return ends[0] && { ...ends[0].last, from: ends[0].from };
}

/** Moves dense pieces from servers above the level to servers below it. */
function planRebalance(
  input: RangePlanInput,
  utilization: Utilization,
  planned: readonly RangeMove[],
): RangeMove[] {
  const moves = [...planned];
  const limit = input.servers.size * MAX_RANGES_PER_SERVER;
  const level = Math.max(HOT_UTILIZATION, utilization.mean * HOT_RATIO);
  if (!utilization.exceeds(level, START_DEVIATIONS)) return moves;
  const exhausted = new Set(
    [...input.servers.keys()].filter((server) => keepsRanges(input, server)),
  );
  // Each range that such a server gets would be renewed in calls that it has
  // asked not to get.
  const backingOff = new Map(
    [...input.servers].filter(([, { backoff }]) => backoff !== undefined),
  );
  // At the limit of ranges, whole ranges still move, or load stays uneven.
  const maySplit = input.ranges.length < limit;
  while (moves.length < movesPerPlan(input)) {
    const hot = utilization.mostUtilized(exhausted);
    const cold = utilization.leastUtilized(backingOff);
    if (hot === undefined || cold === undefined) break;
    if (utilization.lowerBound(hot, STOP_DEVIATIONS) <= level) break;
    const { maxRanges, backoff } = input.servers.get(hot)!;
    const movesLeft = backoff === undefined
      ? Number.POSITIVE_INFINITY
      : backoff.maxMoves - movesFrom(input, moves, hot);
    if (movesLeft <= 0) {
      exhausted.add(hot);
      continue;
    }
    const pair = { hot, cold, level };
    const targetPerSecond = backoff?.isTotal
      ? loadToEvacuate(input, utilization, { ...pair, movesLeft })
      : loadToMove(input, utilization, pair);
    const isLimited = maxRanges !== undefined || backoff !== undefined;
    const piece = !maySplit
      ? wholeRange(input, moves, hot, targetPerSecond)
      : isLimited
      ? edgePiece(input, moves, hot, targetPerSecond)
      : densePiece(input, moves, hot, targetPerSecond);
    if (piece === undefined) {
      exhausted.add(hot);
      continue;
    }
    utilization.move(piece.perSecond, { from: hot, to: cold });
    const { fromKey, toKey } = piece;
    moves.push({ fromKey, toKey, to: input.servers.get(cold)!.owner });
  }
  return moves;
}

/** Two servers between which load is to be moved. */
interface RebalancePair {
  readonly hot: contracts.ServerId;
  readonly cold: contracts.ServerId;
  /** Utilization up to which the cold (less loaded) server may be filled. */
  readonly level: number;
}

/**
 * Load to move in requests per second: it brings the hot server at most down to
 * the mean and the cold one at most up to the level, and both at most to equal
 * utilization.
 */
function loadToMove(
  { servers }: RangePlanInput,
  utilization: Utilization,
  { hot, cold, level }: RebalancePair,
): number {
  const { capacityPerSecond: hotCapacity } = servers.get(hot)!;
  const { capacityPerSecond: coldCapacity } = servers.get(cold)!;
  const excess = (utilization.of(hot) - utilization.mean) * hotCapacity;
  const half = (utilization.of(hot) - utilization.of(cold)) / 2 *
    Math.min(hotCapacity, coldCapacity);
  const capacityLeft = (level - utilization.of(cold)) * coldCapacity /
    MAX_PIECE_PART;
  return Math.min(excess, half, capacityLeft);
}

/**
 * Load to move off a server that takes hardly any requests: all of it in the
 * calls that are left, as far as the cold server has room.
 */
function loadToEvacuate(
  { servers, rates, ranges }: RangePlanInput,
  utilization: Utilization,
  { hot, cold, level, movesLeft }: RebalancePair & {
    readonly movesLeft: number;
  },
): number {
  const { capacityPerSecond } = servers.get(cold)!;
  const room = (level - utilization.of(cold)) * capacityPerSecond;
  const owned = ranges.filter(({ owner }) => owner.server === hot);
  const load = owned.reduce((sum, it) => sum + rangeRate(rates, it), 0);
  const moves = Math.min(movesLeft, MOVES_PER_EVACUATION);
  return Math.min(load / moves, room / MAX_PIECE_PART);
}

function keepsRanges(
  { servers }: RangePlanInput,
  server: contracts.ServerId,
): boolean {
  return servers.get(server)?.keepsRanges ?? false;
}

/** Moves of a plan that take keys from a server. */
function movesFrom(
  { ranges }: RangePlanInput,
  moves: readonly RangeMove[],
  server: contracts.ServerId,
): number {
  return moves.filter((move) =>
    ranges.some((range) =>
      range.owner.server === server && overlaps(move, range)
    )
  ).length;
}

interface Piece extends contracts.KeyRange {
  readonly perSecond: number;
}

/** The densest piece of a server's keys with about the target load. */
function densePiece(
  input: RangePlanInput,
  moves: readonly RangeMove[],
  server: contracts.ServerId,
  targetPerSecond: number,
): Piece | undefined {
  let best: Piece | undefined;
  for (const owned of ownedParts(input, moves)) {
    if (owned.server !== server) continue;
    const rates = ratesWithin(input.rates, owned.part);
    const piece = denseWindow(rates, targetPerSecond);
    const isDenser = piece !== undefined &&
      (best === undefined || density(piece) > density(best));
    if (isDenser) best = piece;
  }
  return best;
}

/**
 * The upper end of a server's range with the most load, with about the target
 * load: leaves the server no more ranges to renew than before.
 */
function edgePiece(
  input: RangePlanInput,
  moves: readonly RangeMove[],
  server: contracts.ServerId,
  targetPerSecond: number,
): Piece | undefined {
  const owned = [...ownedParts(input, moves)]
    .filter((it) => it.server === server);
  const best = mostLoaded(input.rates, owned)?.part;
  if (best === undefined) return undefined;
  let perSecond = 0;
  let fromKey = best.toKey + 1;
  for (const rate of [...ratesWithin(input.rates, best)].reverse()) {
    // The server keeps a key, so that requests show when its limit ends.
    if (rate.key === best.fromKey || perSecond >= targetPerSecond) break;
    perSecond += rate.perSecond;
    fromKey = rate.key;
  }
  const isWhole = input.servers.get(server)!.backoff?.isTotal &&
    owned.length > 1 && perSecond < targetPerSecond;
  if (isWhole) fromKey = best.fromKey;
  return perSecond > 0 ? { fromKey, toKey: best.toKey, perSecond } : undefined;
}

/** Least fraction of the target load in a whole range; it adds no grant. */
const MIN_WHOLE_RANGE_PART = 0.05;

/** The range of a server whose load is closest to the target. */
function wholeRange(
  input: RangePlanInput,
  moves: readonly RangeMove[],
  server: contracts.ServerId,
  targetPerSecond: number,
): Piece | undefined {
  let best: Piece | undefined;
  for (const { part, server: owner } of ownedParts(input, moves)) {
    if (owner !== server) continue;
    const perSecond = rangeRate(input.rates, part);
    if (perSecond > targetPerSecond * MAX_PIECE_PART) continue;
    if (perSecond < targetPerSecond * MIN_WHOLE_RANGE_PART) continue;
    if (best !== undefined && best.perSecond >= perSecond) continue;
    best = { ...part, perSecond };
  }
  return best;
}

/**
 * Cost of a move, in keys: each adds a grant to renew, so few large ranges are
 * better than many small ones.
 */
const MOVE_COST_KEYS = 128;

function density({ fromKey, toKey, perSecond }: Piece): number {
  return perSecond / (toKey - fromKey + 1 + MOVE_COST_KEYS);
}

/** A part of a range and the server that owns it. */
interface OwnedPart {
  readonly part: contracts.KeyRange;
  readonly server: contracts.ServerId;
}

/** The part with the most load; undefined when there is none. */
function mostLoaded(
  rates: readonly KeyRate[],
  parts: readonly OwnedPart[],
): (OwnedPart & { readonly perSecond: number }) | undefined {
  let best: (OwnedPart & { readonly perSecond: number }) | undefined;
  for (const owned of parts) {
    const perSecond = rangeRate(rates, owned.part);
    if (perSecond > (best?.perSecond ?? 0)) best = { ...owned, perSecond };
  }
  return best;
}

/** Parts of ranges that may be moved: neither in handover nor in the plan. */
function* ownedParts(
  { ranges }: RangePlanInput,
  moves: readonly RangeMove[],
): Generator<OwnedPart> {
  for (const range of ranges) {
    if (range.vacating !== undefined) continue;
    for (const part of freeParts(range, moves)) {
      yield { part, server: range.owner.server };
    }
  }
}

/** Parts of a range that no planned move covers. */
function freeParts(
  range: contracts.KeyRange,
  moves: readonly RangeMove[],
): contracts.KeyRange[] {
  let parts: contracts.KeyRange[] = [
    { fromKey: range.fromKey, toKey: range.toKey },
  ];
  for (const move of moves) {
    parts = parts.flatMap((part) => {
      if (!overlaps(move, part)) return [part];
      return [
        { fromKey: part.fromKey, toKey: move.fromKey - 1 },
        { fromKey: move.toKey + 1, toKey: part.toKey },
      ].filter(({ fromKey, toKey }) => fromKey <= toKey);
    });
  }
  return parts;
}

/** Least fraction of the target load that makes a piece worth a move. */
const MIN_PIECE_PART = 0.3;
/** Largest load of a piece, as a fraction of the target load. */
const MAX_PIECE_PART = 1.1;

/** The densest window of keys whose load is about the target. */
function denseWindow(
  rates: readonly KeyRate[],
  targetPerSecond: number,
): Piece | undefined {
  let best: Piece | undefined;
  let sum = 0;
  let start = 0;
  for (const [index, { key, perSecond }] of rates.entries()) {
    sum += perSecond;
    while (sum > targetPerSecond * MAX_PIECE_PART && start <= index) {
      sum -= rates[start]!.perSecond;
      start++;
    }
    if (sum < targetPerSecond * MIN_PIECE_PART || start > index) continue;
    const piece = {
      fromKey: rates[start]!.key,
      toKey: key,
      perSecond: sum,
    };
    const isBetter = best === undefined || density(piece) > density(best);
    if (isBetter) best = piece;
  }
  return best;
}
