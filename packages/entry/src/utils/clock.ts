/** Clocks and the random source of the process. */
import type { BoundedClock, Clock, RandomSource } from "@guavatide/contracts";
import * as clocks from "@guavatide/decisions/clocks/mod";

/** CLOCK_MONOTONIC as Node exposes it. */
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

/** Where {@link SystemClock} reads the time. */
export interface TimeSources {
  /** CLOCK_MONOTONIC. */
  readonly monotonicMs: () => number;
  /** The wall clock. */
  readonly wallMs: () => number;
}

/**
 * The monotonic clock, with an upper bound on elapsed time from the wall clock.
 * CLOCK_BOOTTIME would tell a suspension of the machine from a step of the wall
 * clock, but Node.js offers it only as `os.uptime()`, which reads a file that
 * containers may replace.
 */
export class SystemClock implements BoundedClock {
  readonly #sources: TimeSources;
  readonly #jumps: clocks.WallClockJumps;

  constructor(
    sources: TimeSources = {
      monotonicMs: () => performance.now(),
      wallMs: () => Date.now(),
    },
  ) {
    this.#sources = sources;
    this.#jumps = new clocks.WallClockJumps(this.#read());
  }

  nowMs(): number {
    return this.#sources.monotonicMs();
  }

  maxElapsedMs(sinceMs: number): number {
    return this.#jumps.maxElapsedMs(sinceMs, this.#observe());
  }

  latestTimeMs(ageMs: number): number {
    return this.#jumps.latestTimeMs(ageMs, this.#observe());
  }

  /**
   * Jumps of the wall clock against the monotonic clock since the last call, in
   * ms; negative when it went back.
   */
  takeJumpsMs(): readonly number[] {
    this.#observe();
    return this.#jumps.takeJumpsMs();
  }

  #observe(): number {
    const reading = this.#read();
    this.#jumps.observe(reading);
    return reading.monotonicMs;
  }

  #read(): clocks.ClockReading {
    const { monotonicMs, wallMs } = this.#sources;
    return { monotonicMs: monotonicMs(), wallMs: wallMs() };
  }
}
