/** Estimates request rates by key from the counts of all entry VMs. */

/**
 * Time constant of the exponential decay: how fast a hot key shows and fades.
 */
const DECAY_MS = 1_000;
/** Shortest window that rates are computed over: shorter counts are noise. */
const MIN_WINDOW_MS = 300;
/** Rates below this are dropped, in requests per second. */
const MIN_PER_SECOND = 0.02;

/** Standard deviation of a decayed rate of Poisson arrivals, in requests/s. */
export function rateDeviation(perSecond: number): number {
  return Math.sqrt(perSecond / (2 * DECAY_MS / 1000));
}

/** Exponentially decaying request rates of recently requested keys. */
export class KeyRateTracker {
  /** Decayed request count of each key; divided by the window it is a rate. */
  readonly #weights = new Map<number, number>();
  #updatedMs: number | undefined;
  #startedMs: number | undefined;

  /** Adds counts of requests by key. */
  add(counts: Iterable<readonly [key: number, count: number]>): void {
    for (const [key, count] of counts) {
      this.#weights.set(key, (this.#weights.get(key) ?? 0) + count);
    }
  }

  /** Decays the counts up to now; call it before {@link rates}. */
  decay(nowMs: number): void {
    this.#startedMs ??= nowMs;
    const elapsedMs = nowMs - (this.#updatedMs ?? nowMs);
    this.#updatedMs = nowMs;
    if (elapsedMs <= 0) return;
    const factor = Math.exp(-elapsedMs / DECAY_MS);
    for (const [key, weight] of this.#weights) {
      const decayed = weight * factor;
      if (decayed < MIN_PER_SECOND * DECAY_MS / 1000) this.#weights.delete(key);
      else this.#weights.set(key, decayed);
    }
  }

  /** Keys in ascending order, with their rates in requests per second. */
  rates(): { readonly key: number; readonly perSecond: number }[] {
    const seconds = this.#windowMs() / 1000;
    return [...this.#weights]
      .map(([key, weight]) => ({ key, perSecond: weight / seconds }))
      .sort((a, b) => a.key - b.key);
  }

  /** Window that the weights cover; shorter than the decay time at first. */
  #windowMs(): number {
    const ageMs = (this.#updatedMs ?? 0) - (this.#startedMs ?? 0);
    const windowMs = DECAY_MS * (1 - Math.exp(-ageMs / DECAY_MS));
    return Math.max(MIN_WINDOW_MS, windowMs);
  }
}
