/** How long ranges have had no owner. */
import type * as contracts from "@guavatide/contracts";

/** Times of the ranges that are between two owners, as one VM saw them. */
export class HandoverAges {
  /** By the fence that the next owner gets. */
  readonly #sinceMs = new Map<number, number>();

  /** A newer map is in force. */
  noteMap({ ranges }: contracts.RangeMap, nowMs: number): void {
    const fences = new Set(
      ranges.filter(({ vacating }) => vacating !== undefined)
        .map(({ fence }) => fence),
    );
    for (const fence of this.#sinceMs.keys()) {
      if (!fences.has(fence)) this.#sinceMs.delete(fence);
    }
    for (const fence of fences) {
      if (!this.#sinceMs.has(fence)) this.#sinceMs.set(fence, nowMs);
    }
  }

  /** Age of a range's move; 0 while none is known. */
  ageMs({ fence }: contracts.RangeState, nowMs: number): number {
    return nowMs - (this.#sinceMs.get(fence) ?? nowMs);
  }
}
