/**
 * Bounds a queue by the time that its last request would wait. A bound by
 * count alone is too long for slow requests and too short for quick ones:
 * under overload every admitted request would then wait for the whole queue.
 */

/** Weight of the newest sample in the running means. */
const SAMPLE_WEIGHT = 0.05;
/** Longest wait worth queueing for, in mean attempt times. */
const MAX_WAIT_ATTEMPTS = 1;
/** Shortest wait worth queueing for. */
const MIN_WAIT_MS = 10;
/** Requests that may always wait, so that a pause in load can be bridged. */
const MIN_LIMIT = 2;
/** A longer gap between two answers says nothing of the pace. */
const MAX_GAP_MS = 1000;

/** Learns how quickly a queue drains and bounds its length by that. */
export class QueueLimit {
  #gapMs: number | undefined;
  #attemptMs: number | undefined;
  #answeredMs: number | undefined;

  /**
   * An attempt was answered. Only answers are counted: a request that bounces
   * off full servers leaves the queue often without making it shorter.
   */
  recordAnswer(
    attemptMs: number,
    options: {
      readonly nowMs: number;
      /** Whether requests wait, so that the next answer tells the pace. */
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

  /** Requests that may wait, at most `mostRequests`. */
  limit(mostRequests: number): number {
    if (this.#gapMs === undefined || this.#attemptMs === undefined) {
      return mostRequests;
    }
    const waitMs = Math.max(MIN_WAIT_MS, MAX_WAIT_ATTEMPTS * this.#attemptMs);
    const requests = Math.floor(waitMs / Math.max(this.#gapMs, 0.01));
    return Math.min(mostRequests, Math.max(MIN_LIMIT, requests));
  }

  /** Time until a queue of this length has drained, as far as is known. */
  drainMs(requests: number): number | undefined {
    return this.#gapMs === undefined ? undefined : this.#gapMs * requests;
  }
}

function movingAverage(before: number | undefined, sample: number): number {
  if (before === undefined) return sample;
  return before + (sample - before) * SAMPLE_WEIGHT;
}
