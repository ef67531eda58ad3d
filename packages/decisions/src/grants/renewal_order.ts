/** Which of the ranges that are due is renewed first. */
import type * as contracts from "@guavatide/contracts";

/** A range that is to be granted or renewed. */
export interface DueRange {
  readonly range: contracts.RangeState;
  /** How long it has been due; infinite for one that was never confirmed. */
  readonly overdueMs: number;
}

/** The most overdue of one server's ranges: one grant is under way to it. */
export function mostOverdue(
  due: readonly DueRange[],
): contracts.RangeState | undefined {
  let first: DueRange | undefined;
  for (const candidate of due) {
    const isLater = first === undefined ||
      candidate.overdueMs > first.overdueMs;
    if (isLater) first = candidate;
  }
  return first?.range;
}

/** Servers that ranges are taken from. */
export function releasingServers(
  ranges: readonly contracts.RangeState[],
): Set<contracts.ServerId> {
  return new Set(ranges.flatMap(({ vacating }) => vacating?.server ?? []));
}

/** Ranges by their owner, without those that nobody may hold yet. */
export function rangesByOwner(
  ranges: readonly contracts.RangeState[],
): Map<contracts.ServerId, contracts.RangeState[]> {
  const owned = new Map<contracts.ServerId, contracts.RangeState[]>();
  for (const range of ranges) {
    if (range.vacating !== undefined) continue;
    const { server } = range.owner;
    const found = owned.get(server);
    if (found === undefined) owned.set(server, [range]);
    else found.push(range);
  }
  return owned;
}
