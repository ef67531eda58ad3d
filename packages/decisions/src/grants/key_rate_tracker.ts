/** Estimates request rates by key from the counts of all entry VMs. */

/**
 * Time constant of the exponential decay: how fast a hot key shows and fades.
 */
const DECAY_MS = 1_000;
/** Shortest window that rates are computed over: shorter counts are noise. */
const MIN_WINDOW_MS = 300;
/** Rates below this are dropped, in requests per second. */
const MIN_PER_SECOND = 0.02;

/**
 * Decayed count below which a key's next request begins a new rise: its rate is
 * then computed over the time since, as the decayed count is still too low.
 */
const RISE_FROM_COUNT = 0.5;
/** Shortest window of a rise: of one or two requests it is mostly noise. */
const MIN_RISE_WINDOW_MS = 450;
/** After this time the decayed count is the rate. */
const MAX_RISE_MS = 3 * DECAY_MS;

/** Requests of a key that had hardly any before. */
export interface KeyRise {
  readonly ageMs: number;
  /** Rate since the first of them. */
  readonly perSecond: number;
}

/** Request rate of one key. */
export interface KeyRate {
  readonly key: number;
  readonly perSecond: number;
  /** Present for a key whose requests have only just begun. */
  readonly rise?: KeyRise | undefined;
}

/** Standard deviation of a decayed rate of Poisson arrivals, in requests/s. */
export function rateDeviation(perSecond: number): number {
  return Math.sqrt(perSecond / (2 * DECAY_MS / 1000));
}

/** Part of its final value that the decayed count of a new rate has reached. */
export function coveredPart(ageMs: number): number {
  return 1 - Math.exp(-ageMs / DECAY_MS);
}

/** Exponentially decaying request rates of recently requested keys. */
export class KeyRateTracker {
  /** Decayed request count of each key; divided by the window it is a rate. */
  readonly #weights = new Map<number, number>();
  /** When each key's requests have begun after a pause. */
  readonly #risenMs = new Map<number, number>();
  #updatedMs: number | undefined;
  #startedMs: number | undefined;

  /** Adds counts of requests by key. */
  add(counts: Iterable<readonly [key: number, count: number]>): void {
    for (const [key, count] of counts) {
      const known = this.#weights.get(key) ?? 0;
      if (known < RISE_FROM_COUNT) this.#risenMs.set(key, this.#updatedMs ?? 0);
      this.#weights.set(key, known + count);
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
      if (decayed < MIN_PER_SECOND * DECAY_MS / 1000) {
        this.#weights.delete(key);
        this.#risenMs.delete(key);
      } else this.#weights.set(key, decayed);
    }
  }

  /** Keys in ascending order, with their rates in requests per second. */
  rates(): KeyRate[] {
    const seconds = this.#windowMs() / 1000;
    return [...this.#weights]
      .map(([key, weight]) => ({
        key,
        perSecond: weight / seconds,
        rise: this.#riseOf(key, weight),
      }))
      .sort((a, b) => a.key - b.key);
  }

  #riseOf(key: number, weight: number): KeyRise | undefined {
    const ageMs = (this.#updatedMs ?? 0) - (this.#risenMs.get(key) ?? 0);
    if (ageMs > MAX_RISE_MS) return undefined;
    const coveredMs = DECAY_MS * coveredPart(ageMs);
    const seconds = Math.max(MIN_RISE_WINDOW_MS, coveredMs) / 1_000;
    return { ageMs, perSecond: weight / seconds };
  }

  /** Window that the weights cover; shorter than the decay time at first. */
  #windowMs(): number {
    const ageMs = (this.#updatedMs ?? 0) - (this.#startedMs ?? 0);
    return Math.max(MIN_WINDOW_MS, DECAY_MS * coveredPart(ageMs));
  }
}
