/** Latencies counted by bucket, kept until the metrics library is loaded. */

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

/** Count and sum by bucket; the drained histogram's counts and sum are exact. */
export class LatencyBuckets {
  readonly #counts = new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0);
  readonly #sumsMs = new Array<number>(LATENCY_BOUNDS_MS.length + 1).fill(0);

  /** Records one latency, in milliseconds. */
  record(tookMs: number): void {
    let bucket = 0;
    while (tookMs > (LATENCY_BOUNDS_MS[bucket] ?? Infinity)) bucket++;
    this.#counts[bucket]!++;
    this.#sumsMs[bucket]! += tookMs;
  }

  /** Passes on each latency, as the mean of its bucket, and resets the buckets. */
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
