/**
 * Jumps of the wall clock against the monotonic clock. A forward jump is either
 * a suspension of the machine, which the monotonic clock excludes, or a step of
 * the wall clock. Nothing here tells the two apart, so a jump only widens the
 * bounds on the time that has passed.
 */

/** A smaller difference is drift, or a step too small to matter. */
const MIN_JUMP_MS = 80;
/** Number of jumps that are kept one by one. */
const MAX_JUMPS = 32;

/** A reading of both clocks, in ms. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** A forward jump. Times are those of the monotonic clock. */
interface ForwardJump {
  /** The reading that has shown it. */
  readonly seenAtMs: number;
  readonly lengthMs: number;
}

/** Detects jumps, and bounds the time that has passed since a moment. */
export class WallClockJumps {
  #offsetMs: number;
  /** Oldest first. */
  #forward: readonly ForwardJump[] = [];
  #unreportedMs: number[] = [];

  constructor({ monotonicMs, wallMs }: ClockReading) {
    this.#offsetMs = wallMs - monotonicMs;
  }

  /** Takes a reading of both clocks. */
  observe({ monotonicMs, wallMs }: ClockReading): void {
    const offsetMs = wallMs - monotonicMs;
    const lengthMs = offsetMs - this.#offsetMs;
    if (Math.abs(lengthMs) <= MIN_JUMP_MS) return;
    this.#offsetMs = offsetMs;
    this.#unreportedMs = [...this.#unreportedMs, lengthMs].slice(-MAX_JUMPS);
    if (lengthMs < 0) return;
    const jump = { seenAtMs: monotonicMs, lengthMs };
    this.#forward = joinOldest([...this.#forward, jump]);
  }

  /**
   * The longest time, in ms, that may have passed between two times of the
   * monotonic clock. A reading must have been taken at `untilMs`, as a jump lies
   * anywhere before the reading that shows it.
   */
  maxElapsedMs(sinceMs: number, untilMs: number): number {
    let suspendedMs = 0;
    for (const { seenAtMs, lengthMs } of this.#forward) {
      if (sinceMs <= seenAtMs) suspendedMs += lengthMs;
    }
    return untilMs - sinceMs + suspendedMs;
  }

  /**
   * The latest time of the monotonic clock at which something can have happened
   * that was at least `ageMs` ago at `nowMs`. A reading must have been taken
   * then.
   */
  latestTimeMs(ageMs: number, nowMs: number): number {
    const suspendedMs = this.maxElapsedMs(nowMs - ageMs, nowMs) - ageMs;
    return nowMs - Math.max(0, ageMs - suspendedMs);
  }

  /** The latest jumps since the last call, in ms; negative for those back. */
  takeJumpsMs(): readonly number[] {
    return this.#unreportedMs.splice(0);
  }
}

/** Joins the two oldest jumps where there are too many. */
function joinOldest(jumps: readonly ForwardJump[]): readonly ForwardJump[] {
  if (jumps.length <= MAX_JUMPS) return jumps;
  const [first, second, ...others] = jumps as [ForwardJump, ForwardJump];
  const lengthMs = first.lengthMs + second.lengthMs;
  return [{ ...second, lengthMs }, ...others];
}
