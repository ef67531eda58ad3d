/** Computes and applies differences between two revisions of a range map. */
import {
  KEY_COUNT,
  type RangeMap,
  type RangeState,
} from "@guavatide/contracts";
import { isSameOwner, overlaps } from "./range_edit.ts";

/**
 * Ranges of the later map that the earlier one lacks. They cover all changed
 * keys: fences only increase, so a range never returns to an earlier state.
 */
export function changedRanges(
  earlier: RangeMap,
  later: RangeMap,
): RangeState[] {
  const known = new Map(earlier.ranges.map((range) => [range.fromKey, range]));
  return later.ranges.filter((range) => {
    const before = known.get(range.fromKey);
    return before === undefined || !isSameState(before, range);
  });
}

/**
 * Replaces the known ranges that the changed ones overlap. Returns undefined
 * when the result has a gap or an overlap, as when the changes were computed
 * from another base map.
 */
export function applyChanges(
  known: readonly RangeState[],
  changed: readonly RangeState[],
): RangeState[] | undefined {
  const sorted = [...changed].sort((a, b) => a.fromKey - b.fromKey);
  const kept = known.filter((range) => !overlapsAny(sorted, range));
  const ranges = [...kept, ...changed].sort((a, b) => a.fromKey - b.fromKey);
  let nextKey = 0;
  for (const { fromKey, toKey } of ranges) {
    if (fromKey !== nextKey) return undefined;
    nextKey = toKey + 1;
  }
  return nextKey === KEY_COUNT ? ranges : undefined;
}

/** `sorted`: ranges that don't overlap one another, by their first key. */
function overlapsAny(
  sorted: readonly RangeState[],
  range: RangeState,
): boolean {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (sorted[middle]!.fromKey <= range.toKey) low = middle + 1;
    else high = middle;
  }
  return low > 0 && overlaps(sorted[low - 1]!, range);
}

function isSameState(a: RangeState, b: RangeState): boolean {
  if (a === b) return true;
  return a.fromKey === b.fromKey && a.toKey === b.toKey &&
    a.fence === b.fence && isSameOwner(a.owner, b.owner) &&
    a.vacating?.server === b.vacating?.server &&
    a.vacating?.fence === b.vacating?.fence &&
    a.vacating?.revision === b.vacating?.revision;
}
