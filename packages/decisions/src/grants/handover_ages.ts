/** Measures how long handovers of ranges have been going on. */
import type * as contracts from "@guavatide/contracts";

/** Start times of the handovers in progress, as this VM saw them. */
export class HandoverAges {
  /** By the fence of the next owner. */
  readonly #startedAtMs = new Map<number, number>();

  /** Notes that a newer map is in force. */
  noteMap({ ranges }: contracts.RangeMap, nowMs: number): void {
    const fences = new Set(
      ranges.filter(({ vacating }) => vacating !== undefined)
        .map(({ fence }) => fence),
    );
    for (const fence of this.#startedAtMs.keys()) {
      if (!fences.has(fence)) this.#startedAtMs.delete(fence);
    }
    for (const fence of fences) {
      if (!this.#startedAtMs.has(fence)) this.#startedAtMs.set(fence, nowMs);
    }
  }

  /** Age of a range's handover in milliseconds; 0 when none is known. */
  ageMs({ fence }: contracts.RangeState, nowMs: number): number {
    return nowMs - (this.#startedAtMs.get(fence) ?? nowMs);
  }
}
