/**
 * Measures event loop lag: how long data may have waited in the socket buffers
 * before the process read it.
 */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle, PeriodicTask } from "./life_cycle.ts";

const TICK_INTERVAL_MS = 20;
/**
 * Interval while ticks are on time: most of an idle VM's wake-ups were ticks.
 * Lag is then underestimated by this much at most.
 */
const CALM_TICK_INTERVAL_MS = 100;
/** Number of ticks on time after which the longer interval is used. */
const CALM_TICKS = 50;
/** A tick later than this ends the longer interval. */
const CALM_DELAY_MS = 20;
/** Smaller lags are normal scheduling jitter. */
const MIN_LAG_MS = 60;
/** Lag that lasts at least this long means overload rather than one stall. */
const SUSTAINED_LAG_MS = 400;

/** Measures event loop lag with a periodic timer. */
export class EventLoopLagMonitor {
  readonly #clock: contracts.BoundedClock;
  #lastTickMs: number;
  /** Delay of the last tick. */
  #lastDelayMs = 0;
  /** The same, at most: with time for which the machine may have been suspended. */
  #lastMaxDelayMs = 0;
  #tickTask: PeriodicTask | undefined;
  #intervalMs = TICK_INTERVAL_MS;
  #isPaused = false;
  /** Ticks in a row that were on time. */
  #calmTicks = 0;
  /** Start of the current series of late ticks; undefined when on time. */
  #laggingSinceMs: number | undefined;

  constructor(clock: contracts.BoundedClock) {
    this.#clock = clock;
    this.#lastTickMs = clock.nowMs();
  }

  /** Starts measuring; pauses while `isIdle` returns true, until `resume`. */
  start(lifeCycle: LifeCycle, isIdle: () => boolean = () => false): void {
    this.#tickTask = lifeCycle.every(TICK_INTERVAL_MS, () => {
      this.tick();
      this.#isPaused = isIdle();
      this.#tickTask?.setIntervalMs(
        this.#isPaused ? Number.POSITIVE_INFINITY : this.#intervalMs,
      );
    });
  }

  /** Resumes measuring when there is data to read again. */
  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#tickTask?.setIntervalMs(TICK_INTERVAL_MS);
    this.#intervalMs = TICK_INTERVAL_MS;
    this.#calmTicks = 0;
    this.#lastTickMs = this.#clock.nowMs();
    this.#lastDelayMs = 0;
    this.#lastMaxDelayMs = 0;
    this.#laggingSinceMs = undefined;
  }

  /** Records one run of the timer. */
  tick(): void {
    const nowMs = this.#clock.nowMs();
    this.#lastDelayMs = this.#delayMs;
    this.#lastMaxDelayMs = this.#maxDelayMs;
    this.#lastTickMs = nowMs;
    this.#calmTicks = this.#lastDelayMs <= CALM_DELAY_MS
      ? this.#calmTicks + 1
      : 0;
    this.#intervalMs = this.#calmTicks < CALM_TICKS
      ? TICK_INTERVAL_MS
      : CALM_TICK_INTERVAL_MS;
    if (this.#lastDelayMs < MIN_LAG_MS) this.#laggingSinceMs = undefined;
    else this.#laggingSinceMs ??= nowMs;
  }

  /**
   * Whether the lag has lasted for at least 400 ms. A single stall is over by the
   * time the delayed requests are read, so rejecting those would not reduce load.
   */
  get isSustained(): boolean {
    if (this.#laggingSinceMs === undefined) return false;
    return this.#clock.nowMs() - this.#laggingSinceMs >= SUSTAINED_LAG_MS;
  }

  /**
   * Longest time in milliseconds that data read now may have waited; 0 below
   * 60 ms. A connection is accepted in one event loop iteration and read in the
   * next, so the delay of the previous tick counts as well.
   */
  get lagMs(): number {
    return this.#lagOf(this.#delayMs + this.#lastDelayMs);
  }

  /** The same with time for which the machine may have been suspended. */
  get maxLagMs(): number {
    return this.#lagOf(this.#maxDelayMs + this.#lastMaxDelayMs);
  }

  #lagOf(delayMs: number): number {
    return this.#isPaused || delayMs < MIN_LAG_MS ? 0 : delayMs;
  }

  get #delayMs(): number {
    const sinceTickMs = this.#clock.nowMs() - this.#lastTickMs;
    return Math.max(0, sinceTickMs - this.#intervalMs);
  }

  get #maxDelayMs(): number {
    const sinceTickMs = this.#clock.maxElapsedMs(this.#lastTickMs);
    return Math.max(0, sinceTickMs - this.#intervalMs);
  }
}
