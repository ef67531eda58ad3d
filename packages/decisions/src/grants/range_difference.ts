/** What differs between two revisions of a range map. */
import {
  KEY_COUNT,
  type RangeMap,
  type RangeState,
} from "@guavatide/contracts";
import { overlaps } from "./range_edit.ts";

/**
 * Ranges of the later map that the earlier one lacks. They cover all changed
 * keys: fences only rise, so a range never returns to an earlier state.
 */
export function changedRanges(
  earlier: RangeMap,
  later: RangeMap,
): RangeState[] {
  const known = new Set(earlier.ranges.map(stateName));
  return later.ranges.filter((range) => !known.has(stateName(range)));
}

/**
 * The ranges of a map with the changed ones in place of those that they cover;
 * undefined when the result has a gap or an overlap, as with another base map.
 */
export function applyChanges(
  known: readonly RangeState[],
  changed: readonly RangeState[],
): RangeState[] | undefined {
  const kept = known.filter((range) =>
    !changed.some((it) => overlaps(it, range))
  );
  const ranges = [...kept, ...changed].sort((a, b) => a.fromKey - b.fromKey);
  let nextKey = 0;
  for (const { fromKey, toKey } of ranges) {
    if (fromKey !== nextKey) return undefined;
    nextKey = toKey + 1;
  }
  return nextKey === KEY_COUNT ? ranges : undefined;
}

function stateName(range: RangeState): string {
  const { fromKey, toKey, owner, fence, vacating } = range;
  const from = vacating === undefined
    ? ""
    : `${vacating.server}/${vacating.fence}/${vacating.revision}`;
  return `${fromKey}-${toKey}/${owner.server}/${owner.bornMs}/${fence}/${from}`;
}
