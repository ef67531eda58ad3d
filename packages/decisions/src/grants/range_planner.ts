/**
 * Decides which key ranges go to which backend server: away from servers that
 * are lost or leave, and from servers with more load than they can carry.
 */
import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { planHotKeys } from "./hot_keys.ts";
import { overlaps, type RangeMove } from "./range_edit.ts";
import {
  type KeyRate,
  type RangePlanInput,
  rangeRate,
  ratesWithin,
  Utilization,
  WIDTH_RATE_PER_KEY,
} from "./range_load.ts";

/**
 * Busy part above which a server gives keys away: below it requests rarely
 * wait, and a move holds them up.
 */
const HOT_UTILIZATION = 0.5;
/** A server gives keys away only when busier than the mean by this ratio. */
const HOT_RATIO = 1.2;
/**
 * Standard deviations by which a load must exceed the level: more to start,
 * since short counts scatter; fewer to stop, or a hot server stays half
 * relieved.
 */
const START_DEVIATIONS = 2;
const STOP_DEVIATIONS = 1;
/** Moves in one plan at least; each costs a grant to renew from then on. */
const MIN_MOVES_PER_PLAN = 8;
/** The same for each server: a hot spot has to be spread over all of them. */
const MOVES_PER_SERVER = 0.25;
/** Pieces that the keys of a server with a mean load are dealt out in. */
const PIECES_PER_LOST_SERVER = 3;
/** Ranges for each server beyond which none is split any more. */
const MAX_RANGES_PER_SERVER = 10;

/** Plans moves. An empty list means that all may stay as it is. */
export function planRangeMoves(input: RangePlanInput): RangeMove[] {
  if (input.servers.size === 0) return [];
  const use = new Utilization(input.servers);
  for (const range of input.ranges) {
    use.add(range.owner.server, rangeRate(input.rates, range));
  }
  const moves = planLosses(input, use);
  if (!input.mayBalance || moves.length > 0) return moves;
  const lone = planHotKeys(input, use);
  // While keys of a lost server wait, only a lone key is moved: it takes one
  // server's place only.
  const isSettled = input.ranges.every(({ vacating }) =>
    vacating === undefined
  );
  if (!isSettled) return lone;
  const newcomers = planNewcomers(input, use);
  return newcomers.length > 0 ? newcomers : planHot(input, use, lone);
}

function planLosses(input: RangePlanInput, use: Utilization): RangeMove[] {
  const moves: RangeMove[] = [];
  const total = rangeRate(input.rates, ALL_KEYS);
  const perPiece = total / input.servers.size / PIECES_PER_LOST_SERVER;
  for (const range of input.ranges) {
    const { owner } = range;
    const server = input.servers.get(owner.server);
    if (server !== undefined && server.owner.bornMs === owner.bornMs) continue;
    // A range that already waits for its next owner is given on whole.
    const pieces = range.vacating === undefined
      ? cut(
        input.rates,
        range,
        piecesOf(rangeRate(input.rates, range), perPiece),
      )
      : [range];
    for (const piece of pieces) {
      const to = use.leastUtilized()!;
      use.add(to, rangeRate(input.rates, piece));
      const { fromKey, toKey } = piece;
      moves.push({ fromKey, toKey, to: input.servers.get(to)!.owner });
    }
  }
  return moves;
}

/** A range with little load stays whole: each piece is a grant to renew. */
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
    // Between two keys that were asked for, load grows with the width.
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

/** Gives keys to servers that own none, such as new ones. */
function planNewcomers(input: RangePlanInput, use: Utilization): RangeMove[] {
  const owners = new Set(input.ranges.map(({ owner }) => owner.server));
  const moves: RangeMove[] = [];
  const limit = movesPerPlan(input);
  const total = rangeRate(input.rates, ALL_KEYS);
  for (const [server, { owner, isCold }] of input.servers) {
    if (isCold || owners.has(server) || moves.length >= limit) continue;
    const piece = shareOfLargest(input, moves, total / input.servers.size);
    if (piece === undefined) break;
    const rate = rangeRate(input.rates, piece);
    use.add(piece.from, -rate);
    use.add(server, rate);
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

/** The end of the range with most load: a share, but at most half of it. */
function shareOfLargest(
  input: RangePlanInput,
  moves: readonly RangeMove[],
  sharePerSecond: number,
): (contracts.KeyRange & { readonly from: contracts.ServerId }) | undefined {
  let largest: contracts.KeyRange | undefined;
  let from: contracts.ServerId | undefined;
  let most = 0;
  for (const { part, server } of ownedParts(input, moves)) {
    const rate = rangeRate(input.rates, part);
    if (rate <= most || part.fromKey === part.toKey) continue;
    largest = part;
    from = server;
    most = rate;
  }
  if (largest === undefined) return undefined;
  const count = Math.max(2, Math.round(most / sharePerSecond));
  const last = cut(input.rates, largest, count).at(-1)!;
  const isPart = last.fromKey > largest.fromKey;
  return isPart ? { ...last, from: from! } : undefined;
}

/** Moves dense pieces from servers above the level to those below it. */
function planHot(
  input: RangePlanInput,
  use: Utilization,
  planned: readonly RangeMove[],
): RangeMove[] {
  const moves = [...planned];
  const limit = input.servers.size * MAX_RANGES_PER_SERVER;
  const level = Math.max(HOT_UTILIZATION, use.mean * HOT_RATIO);
  if (!use.exceeds(level, START_DEVIATIONS)) return moves;
  const exhausted = new Set<contracts.ServerId>();
  // With no splits left, ranges still move whole, or the map stays uneven.
  const maySplit = input.ranges.length < limit;
  while (moves.length < movesPerPlan(input)) {
    const hot = use.mostUtilized(exhausted);
    const cold = use.leastUtilized();
    if (hot === undefined || cold === undefined) break;
    if (use.lowerBound(hot, STOP_DEVIATIONS) <= level) break;
    const targetPerSecond = loadToMove(input, use, { hot, cold, level });
    const piece = maySplit
      ? densePiece(input, moves, hot, targetPerSecond)
      : wholeRange(input, moves, hot, targetPerSecond);
    if (piece === undefined) {
      exhausted.add(hot);
      continue;
    }
    use.add(hot, -piece.perSecond);
    use.add(cold, piece.perSecond);
    const { fromKey, toKey } = piece;
    moves.push({ fromKey, toKey, to: input.servers.get(cold)!.owner });
  }
  return moves;
}

/** Two servers between which load is to be moved. */
interface HotAndCold {
  readonly hot: contracts.ServerId;
  readonly cold: contracts.ServerId;
  /** Busy part up to which a server may be filled. */
  readonly level: number;
}

/**
 * Load to move: down to the mean at the sender, up to the level at the
 * receiver, and no more than makes both equally busy.
 */
function loadToMove(
  { servers }: RangePlanInput,
  use: Utilization,
  { hot, cold, level }: HotAndCold,
): number {
  const { capacityPerSecond: ofHot } = servers.get(hot)!;
  const { capacityPerSecond: ofCold } = servers.get(cold)!;
  const excess = (use.of(hot) - use.mean) * ofHot;
  const half = (use.of(hot) - use.of(cold)) / 2 * Math.min(ofHot, ofCold);
  const room = (level - use.of(cold)) * ofCold / MAX_PIECE_PART;
  return Math.min(excess, half, room);
}

interface Piece extends contracts.KeyRange {
  readonly perSecond: number;
}

/** The fewest keys of a server that carry about the target load. */
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

/** Part of the target load that a whole range must carry; it costs no grant. */
const MIN_WHOLE_RANGE_PART = 0.05;

/** The range of a server whose load comes nearest to the target. */
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
 * Cost of a move in keys, for the grant to renew: favours few large ranges over
 * many small ones.
 */
const MOVE_COST_KEYS = 128;

function density({ fromKey, toKey, perSecond }: Piece): number {
  return perSecond / (toKey - fromKey + 1 + MOVE_COST_KEYS);
}

/** A part of a range, and the server that owns it. */
interface OwnedPart {
  readonly part: contracts.KeyRange;
  readonly server: contracts.ServerId;
}

/** What may be moved: parts that have an owner and that no move covers. */
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

/** Parts of a range that no move of the plan covers. */
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

/** Part of the target load that a piece must carry to be worth a move. */
const MIN_PIECE_PART = 0.3;
/** Part beyond the target load that a piece may carry. */
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
