/** What differs between two revisions of a range map. */
import {
  KEY_COUNT,
  type RangeMap,
  type RangeState,
} from "@guavatide/contracts";

/**
 * Ranges of the later map that the earlier one does not have. They cover all
 * keys whose state has changed, since a range never returns to a state that it
 * had: fences only rise.
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
 * undefined when the result would leave a gap or an overlap, since the map is
 * then not one that the changes were made for.
 */
export function withChanges(
  known: readonly RangeState[],
  changed: readonly RangeState[],
): RangeState[] | undefined {
  const kept = known.filter((range) =>
    !changed.some((it) =>
      it.fromKey <= range.toKey && range.fromKey <= it.toKey
    )
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
