/** The process's monotonic clock and its random numbers. */
import type { Clock, RandomSource } from "@guavatide/contracts";

/** CLOCK_MONOTONIC through Node; it keeps counting while stopped. */
export class MonotonicClock implements Clock {
  nowMs(): number {
    return performance.now();
  }
}

/** Math.random, which need not be replayed outside of tests. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}
