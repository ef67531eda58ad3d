/** Pure functions that compute the next ranges of a range map. */
import * as contracts from "@guavatide/contracts";

/** A part of the key space and the server that is to own it. */
export interface RangeMove extends contracts.KeyRange {
  readonly to: contracts.RangeOwner;
}

/** Whether two owners are the same incarnation of the same server. */
export function isSameOwner(
  a: contracts.RangeOwner,
  b: contracts.RangeOwner,
): boolean {
  return a.server === b.server && a.bornMs === b.bornMs;
}

/** Whether two ranges have a key in common. */
export function overlaps(
  a: contracts.KeyRange,
  b: contracts.KeyRange,
): boolean {
  return a.fromKey <= b.toKey && b.fromKey <= a.toKey;
}

/** Index of the range that contains a key. */
export function rangeIndex(
  ranges: readonly contracts.RangeState[],
  key: number,
): number {
  let low = 0;
  let high = ranges.length - 1;
  while (low < high) {
    const middle = (low + high + 1) >> 1;
    if (ranges[middle]!.fromKey <= key) low = middle;
    else high = middle - 1;
  }
  return low;
}

/** Ranges of the initial map, as wide as the servers' slots are many. */
export function initialRanges(
  owners: readonly (contracts.RangeOwner & { readonly slots: number })[],
): contracts.RangeState[] {
  const total = owners.reduce((sum, { slots }) => sum + slots, 0);
  const ranges: contracts.RangeState[] = [];
  let assignedSlots = 0;
  let fromKey = 0;
  for (const [index, { server, bornMs, slots }] of owners.entries()) {
    assignedSlots += slots;
    const toKey = Math.round(contracts.KEY_COUNT * assignedSlots / total) - 1;
    if (toKey < fromKey) continue;
    ranges.push({
      fromKey,
      toKey,
      owner: { server, bornMs },
      fence: index + 1,
    });
    fromKey = toKey + 1;
  }
  return ranges;
}

/** Options of {@link startHandovers}. */
export interface HandoverOptions {
  /** Revision of the map that takes the ranges from their owners. */
  readonly revision: number;
  /** Highest fence assigned before. */
  readonly lastFence: number;
}

/**
 * Starts the handover of ranges to their next owners. The parts of a split
 * range that do not move keep their owner; a range that is already in handover
 * only changes its next owner. No two ranges in handover have the same fence,
 * as it names their release. Returns the ranges and the highest fence assigned.
 */
export function startHandovers(
  before: readonly contracts.RangeState[],
  moves: readonly RangeMove[],
  { revision, lastFence }: HandoverOptions,
): { readonly ranges: contracts.RangeState[]; readonly lastFence: number } {
  let fence = lastFence;
  const split = moves.reduce(
    (all, { fromKey, toKey }) => splitAt(splitAt(all, fromKey), toKey + 1),
    before,
  );
  const fencesInHandover = new Set<number>();
  const ranges = split.map((range) => {
    const move = moves.find((candidate) =>
      candidate.fromKey <= range.fromKey && range.toKey <= candidate.toKey
    );
    if (move === undefined) {
      if (range.vacating === undefined) return range;
      if (!fencesInHandover.has(range.fence)) {
        fencesInHandover.add(range.fence);
        return range;
      }
      fence++;
      return { ...range, fence };
    }
    fence++;
    const vacating = range.vacating ??
      { ...range.owner, fence: range.fence, revision };
    const { fromKey, toKey } = range;
    return { fromKey, toKey, owner: move.to, fence, vacating };
  });
  return { ranges: merge(ranges), lastFence: fence };
}

/**
 * Finishes the handover of ranges whose old owner can hold no lease on them.
 */
export function finishHandovers(
  before: readonly contracts.RangeState[],
  isFree: (range: contracts.RangeState) => boolean,
): contracts.RangeState[] {
  const ranges = before.map((range) => {
    if (range.vacating === undefined || !isFree(range)) return range;
    const { vacating: _, ...owned } = range;
    return owned;
  });
  return merge(ranges);
}

/**
 * Gives ranges in handover back to their old owners, under new fences: a release
 * of the abandoned handover may still be on its way. Returns the ranges and the
 * highest fence assigned.
 */
export function abandonHandovers(
  before: readonly contracts.RangeState[],
  isAbandoned: (range: contracts.RangeState) => boolean,
  lastFence: number,
): { readonly ranges: contracts.RangeState[]; readonly lastFence: number } {
  let fence = lastFence;
  const ranges = before.map((range) => {
    if (range.vacating === undefined || !isAbandoned(range)) return range;
    fence++;
    const { fromKey, toKey, vacating: { server, bornMs } } = range;
    return { fromKey, toKey, owner: { server, bornMs }, fence };
  });
  return { ranges, lastFence: fence };
}

function splitAt(
  ranges: readonly contracts.RangeState[],
  key: number,
): contracts.RangeState[] {
  const split: contracts.RangeState[] = [];
  for (const range of ranges) {
    if (range.fromKey < key && key <= range.toKey) {
      split.push({ ...range, toKey: key - 1 }, { ...range, fromKey: key });
    } else {
      split.push(range);
    }
  }
  return split;
}

/** Merges adjacent ranges with the same owner, fence and handover state. */
function merge(
  ranges: readonly contracts.RangeState[],
): contracts.RangeState[] {
  const merged: contracts.RangeState[] = [];
  for (const range of ranges) {
    const last = merged.at(-1);
    const isJoined = last !== undefined && last.fence === range.fence &&
      isSameOwner(last.owner, range.owner) &&
      last.vacating?.fence === range.vacating?.fence &&
      last.vacating?.server === range.vacating?.server;
    if (isJoined) merged[merged.length - 1] = { ...last, toKey: range.toKey };
    else merged.push(range);
  }
  return merged;
}
