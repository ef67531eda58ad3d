/** A count that decays exponentially, so that it follows a changing rate. */
export class DecayingCount {
  readonly #decayMs: number;
  #count = 0;
  #countedMs = 0;

  /** `decayMs` is the time in which a count falls to 37 %. */
  constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  /** Adds to the count. */
  add(count: number, nowMs: number): void {
    this.#count = this.at(nowMs) + count;
    this.#countedMs = nowMs;
  }

  /** The decayed count. */
  at(nowMs: number): number {
    if (this.#count === 0) return 0;
    return this.#count * Math.exp((this.#countedMs - nowMs) / this.#decayMs);
  }

  /** The rate of which the count is the sum, per second. */
  perSecond(nowMs: number): number {
    return this.at(nowMs) * 1_000 / this.#decayMs;
  }
}
