/** Sources of time and chance, passed in so that decisions can be replayed. */

/** A monotonic clock. It keeps counting while the process is stopped. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  nowMs(): number;
}

/** A source of random numbers. */
export interface RandomSource {
  /** A number at least 0 and below 1. */
  next(): number;
}
