/**
 * Sources of time and randomness, passed in so that decisions can be replayed
 * in tests.
 */

/**
 * A monotonic clock. It also advances while the process is stopped, but not
 * while the machine is suspended: time that has passed by it has passed at
 * least.
 */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  nowMs(): number;
}

/**
 * A clock that bounds elapsed time on both sides. What has to be over (a lease,
 * a timeout) is judged by differences of `nowMs`, the lower bound; what has to
 * be fresh (a confirmation) by `maxElapsedMs`, the upper one.
 */
export interface BoundedClock extends Clock {
  /** Longest time that may have passed since `sinceMs`, a time of `nowMs`. */
  maxElapsedMs(sinceMs: number): number;
  /**
   * Latest time of `nowMs` at which something can have happened that was, by
   * another machine's clock, at least `ageMs` ago.
   */
  latestTimeMs(ageMs: number): number;
}

/** A source of random numbers. */
export interface RandomSource {
  /** A number at least 0 and below 1. */
  next(): number;
}
