/** Request rates by key, from the counts of all entry VMs. */

/** Time constant of the decay: hot keys show, and are forgotten, within it. */
const DECAY_MS = 1_000;
/** Counts of a shorter time than this say too little about rates. */
const MIN_WINDOW_MS = 300;
/** Rates below this are dropped, in requests a second. */
const MIN_PER_SECOND = 0.02;

/** Standard deviation of a decayed rate of random arrivals, a second. */
export function rateDeviation(perSecond: number): number {
  return Math.sqrt(perSecond / (2 * DECAY_MS / 1000));
}

/** Decaying request rates of the keys that were asked for lately. */
export class KeyRateTracker {
  /** Weight of each key; a rate once divided by the decay time. */
  readonly #weights = new Map<number, number>();
  #updatedMs: number | undefined;
  #startedMs: number | undefined;

  /** Adds counts of requests by key. */
  add(counts: Iterable<readonly [key: number, count: number]>): void {
    for (const [key, count] of counts) {
      this.#weights.set(key, (this.#weights.get(key) ?? 0) + count);
    }
  }

  /** Lets earlier counts weigh less; called before reading. */
  decay(nowMs: number): void {
    this.#startedMs ??= nowMs;
    const elapsedMs = nowMs - (this.#updatedMs ?? nowMs);
    this.#updatedMs = nowMs;
    if (elapsedMs <= 0) return;
    const factor = Math.exp(-elapsedMs / DECAY_MS);
    for (const [key, weight] of this.#weights) {
      const left = weight * factor;
      if (left < MIN_PER_SECOND * DECAY_MS / 1000) this.#weights.delete(key);
      else this.#weights.set(key, left);
    }
  }

  /** Keys in order with their rates in requests a second. */
  rates(): { readonly key: number; readonly perSecond: number }[] {
    const seconds = this.#countedMs() / 1000;
    return [...this.#weights]
      .map(([key, weight]) => ({ key, perSecond: weight / seconds }))
      .sort((a, b) => a.key - b.key);
  }

  /** Time that the weights stand for; shorter than the decay at first. */
  #countedMs(): number {
    const ageMs = (this.#updatedMs ?? 0) - (this.#startedMs ?? 0);
    const countedMs = DECAY_MS * (1 - Math.exp(-ageMs / DECAY_MS));
    return Math.max(MIN_WINDOW_MS, countedMs);
  }
}
