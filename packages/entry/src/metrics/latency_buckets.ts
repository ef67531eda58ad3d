/** Latencies counted by bucket, for a histogram that is filled later. */

/** Upper bounds of the latency buckets, in milliseconds. */
export const LATENCY_BOUNDS_MS: readonly number[] = [
  0.5,
  1,
  2,
  3,
  5,
  7,
  9,
  12,
  16,
  24,
  36,
  50,
  75,
  100,
  200,
  500,
  1000,
  2000,
  5000,
];

/** Counts and sums by bucket; keeps the histogram's counts and sum exact. */
export class LatencyBuckets {
  readonly #counts = new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0);
  readonly #sumsMs = new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0);

  /** Counts one latency. */
  record(tookMs: number): void {
    let bucket = 0;
    while (tookMs > (LATENCY_BOUNDS_MS[bucket] ?? Infinity)) bucket++;
    this.#counts[bucket]!++;
    this.#sumsMs[bucket]! += tookMs;
  }

  /** Hands over each latency counted, as the mean of its bucket, and forgets it. */
  drain(record: (tookMs: number) => void): void {
    for (const [bucket, count] of this.#counts.entries()) {
      for (let index = 0; index < count; index++) {
        record(this.#sumsMs[bucket]! / count);
      }
    }
    this.#counts.fill(0);
    this.#sumsMs.fill(0);
  }
}
