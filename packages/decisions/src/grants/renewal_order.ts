/** Which of the ranges that are due is renewed first. */
import type * as contracts from "@guavatide/contracts";

/** A range that is to be granted or renewed. */
export interface RangeDue {
  readonly range: contracts.RangeState;
  /** How long it has been due; infinite for one that was never confirmed. */
  readonly overdueMs: number;
}

/** The most overdue range of each server: one grant is under way to each. */
export function mostOverdue(due: readonly RangeDue[]): contracts.RangeState[] {
  const first = new Map<contracts.ServerId, RangeDue>();
  for (const candidate of due) {
    const { server } = candidate.range.owner;
    const found = first.get(server);
    const isLater = found === undefined ||
      candidate.overdueMs > found.overdueMs;
    if (isLater) first.set(server, candidate);
  }
  return [...first.values()].map(({ range }) => range);
}
