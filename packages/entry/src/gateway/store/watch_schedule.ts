/** Times at which the watches of one VM end. */

/**
 * Spaces the ends of watches. Each answer names the store's position, so one
 * watch that ends per interval shows a change that another watch has missed.
 */
export class WatchSchedule {
  /** When each watch ends, in ms, by its prefix. */
  readonly #endsMs = new Map<string, number>();

  /**
   * Plans a watch that starts now; returns how long it is to wait, in ms. It
   * ends one interval after the one before it.
   */
  plan(prefix: string, nowMs: number, intervalMs: number): number {
    this.#endsMs.delete(prefix);
    let previousMs = nowMs;
    for (const endMs of [...this.#endsMs.values()].sort((a, b) => a - b)) {
      if (endMs - previousMs > intervalMs) break;
      previousMs = Math.max(previousMs, endMs);
    }
    const endMs = previousMs + intervalMs;
    this.#endsMs.set(prefix, endMs);
    return Math.round(endMs - nowMs);
  }

  /** Notes that a watch has ended, perhaps earlier than planned. */
  remove(prefix: string): void {
    this.#endsMs.delete(prefix);
  }
}
