/** Monotonic clocks and the random source of the process. */
import type { Clock, RandomSource } from "@guavatide/contracts";

/**
 * CLOCK_MONOTONIC as Node exposes it. It advances while the process is stopped,
 * but not while the machine is suspended.
 */
export class MonotonicClock implements Clock {
  nowMs(): number {
    return performance.now();
  }
}

/** Math.random: only tests need a seeded, reproducible source. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}

/** A wall-clock jump larger than this counts as a suspension of the machine. */
const MIN_SUSPENSION_MS = 80;

/**
 * A monotonic clock that includes time spent suspended, which CLOCK_MONOTONIC
 * excludes. Without that time, confirmations and leases would look fresh after a
 * resume, and the VM would renew ranges that have been granted to other servers
 * in the meantime. A forward step of the wall clock looks like a suspension; its
 * only effect is that confirmations age.
 */
export class SuspendAwareClock implements Clock {
  #offsetMs = Date.now() - performance.now();
  #suspendedMs = 0;
  #suspensions = 0;
  #jumpsMs: number[] = [];

  /** Number of suspensions detected so far. */
  get suspensions(): number {
    return this.#suspensions;
  }

  nowMs(): number {
    const monotonicMs = performance.now();
    const offsetMs = Date.now() - monotonicMs;
    const jumpMs = offsetMs - this.#offsetMs;
    if (jumpMs > MIN_SUSPENSION_MS) {
      this.#suspendedMs += jumpMs;
      this.#suspensions++;
    }
    if (Math.abs(jumpMs) > MIN_SUSPENSION_MS) {
      this.#offsetMs = offsetMs;
      this.#jumpsMs.push(jumpMs);
    }
    return monotonicMs + this.#suspendedMs;
  }

  /**
   * Jumps of the wall clock against the monotonic clock since the last call, in
   * ms; negative when it went back.
   */
  takeJumpsMs(): readonly number[] {
    return this.#jumpsMs.splice(0);
  }
}
