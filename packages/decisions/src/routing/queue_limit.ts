/**
 * Limits a queue by the time that its last request would wait. A fixed length
 * is too long for slow requests and too short for fast ones: under overload
 * every admitted request would wait for the whole queue.
 */

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.05;
/** Longest wait to queue for, in mean attempt times. */
const MAX_WAIT_ATTEMPTS = 1;
/** The wait to queue for is never shorter than this. */
const MIN_WAIT_MS = 10;
/** Requests that may always queue, to cover short gaps between arrivals. */
const MIN_LIMIT = 2;
/** A longer gap between two answers says nothing about throughput. */
const MAX_GAP_MS = 1000;

/** Measures how fast a queue drains and limits its length accordingly. */
export class QueueLimit {
  #gapMs: number | undefined;
  #attemptMs: number | undefined;
  #answeredMs: number | undefined;

  /**
   * Records the answer to an attempt that took `attemptMs`. Only answers count:
   * a request that full servers refuse is queued again, so its leaving the
   * queue does not shorten it.
   */
  recordAnswer(
    attemptMs: number,
    options: {
      readonly nowMs: number;
      /**
       * Whether requests are queued, so that the next gap shows the throughput.
       */
      readonly isWaiting: boolean;
    },
  ): void {
    const { nowMs, isWaiting } = options;
    this.#attemptMs = movingAverage(this.#attemptMs, attemptMs);
    const lastMs = this.#answeredMs;
    this.#answeredMs = isWaiting ? nowMs : undefined;
    if (lastMs === undefined || nowMs - lastMs > MAX_GAP_MS) return;
    this.#gapMs = movingAverage(this.#gapMs, nowMs - lastMs);
  }

  /** Requests that may be queued, at most `maxRequests`. */
  limit(maxRequests: number): number {
    if (this.#gapMs === undefined || this.#attemptMs === undefined) {
      return maxRequests;
    }
    const waitMs = Math.max(MIN_WAIT_MS, MAX_WAIT_ATTEMPTS * this.#attemptMs);
    const requests = Math.floor(waitMs / Math.max(this.#gapMs, 0.01));
    return Math.min(maxRequests, Math.max(MIN_LIMIT, requests));
  }

  /** Time to drain a queue of this length; undefined while not measured. */
  drainMs(requests: number): number | undefined {
    return this.#gapMs === undefined ? undefined : this.#gapMs * requests;
  }
}

function movingAverage(average: number | undefined, sample: number): number {
  if (average === undefined) return sample;
  return average + (sample - average) * SAMPLE_WEIGHT;
}
