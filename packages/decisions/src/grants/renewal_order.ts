/** Chooses the range to renew first, and groups ranges by server. */
import type * as contracts from "@guavatide/contracts";

/** A range whose grant is due for renewal. */
export interface DueRange {
  readonly range: contracts.RangeState;
  /** How long it has been due; infinite when no grant of it was answered. */
  readonly overdueMs: number;
}

/**
 * The most overdue of one server's ranges: a server gets one grant at a time.
 */
export function mostOverdue(
  due: readonly DueRange[],
): contracts.RangeState | undefined {
  let first: DueRange | undefined;
  for (const candidate of due) {
    const isMoreOverdue = first === undefined ||
      candidate.overdueMs > first.overdueMs;
    if (isMoreOverdue) first = candidate;
  }
  return first?.range;
}

/** Ranges in handover by their old owner. */
export function rangesByOldOwner(
  ranges: readonly contracts.RangeState[],
): Map<contracts.ServerId, contracts.RangeState[]> {
  const leaving = new Map<contracts.ServerId, contracts.RangeState[]>();
  for (const range of ranges) {
    if (range.vacating === undefined) continue;
    const { server } = range.vacating;
    const found = leaving.get(server);
    if (found === undefined) leaving.set(server, [range]);
    else found.push(range);
  }
  return leaving;
}

/** Ranges by their owner, without the ranges in handover. */
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
