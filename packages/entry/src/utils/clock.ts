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

/** A jump of the time of day beyond this is taken for a suspension. */
const MIN_SUSPENSION_MS = 80;

/**
 * Counts time during which the machine was suspended, which CLOCK_MONOTONIC
 * leaves out. Without it evidence and leases would look fresh after a wake,
 * and a woken VM would renew what others have given away meanwhile. A step of
 * the time of day ahead looks the same and only makes evidence old.
 */
export class SuspendAwareClock implements Clock {
  #offsetMs = Date.now() - performance.now();
  #suspendedMs = 0;
  #suspensions = 0;

  /** How often a suspension was noticed. */
  get suspensions(): number {
    return this.#suspensions;
  }

  nowMs(): number {
    const steadyMs = performance.now();
    const offsetMs = Date.now() - steadyMs;
    const jumpMs = offsetMs - this.#offsetMs;
    if (jumpMs > MIN_SUSPENSION_MS) {
      this.#suspendedMs += jumpMs;
      this.#suspensions++;
    }
    if (Math.abs(jumpMs) > MIN_SUSPENSION_MS) this.#offsetMs = offsetMs;
    return steadyMs + this.#suspendedMs;
  }
}
