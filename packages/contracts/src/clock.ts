/**
 * Sources of time and randomness, passed in so that decisions can be replayed
 * in tests.
 */

/** A monotonic clock. It also advances while the process is paused. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  nowMs(): number;
}

/** A source of random numbers. */
export interface RandomSource {
  /** A number at least 0 and below 1. */
  next(): number;
}
