/** How far the event loop is behind: how long what it reads may have waited. */
import type { LifeCycle, PeriodicTask } from "./life_cycle.ts";

const TICK_INTERVAL_MS = 20;
/** Lags below this are ordinary scheduling. */
const MIN_LAG_MS = 60;
/** A loop that is behind for longer has more work than it can do. */
const SUSTAINED_LAG_MS = 400;

/** Watches the event loop by a timer. */
export class EventLoopLagMonitor {
  readonly #now: () => number;
  #tickAtMs: number;
  /** How late the timer fired last. */
  #lateMs = 0;
  #work: PeriodicTask | undefined;
  /** Since when each tick was late; undefined while they are on time. */
  #behindSinceMs: number | undefined;

  /** The time of day counts a suspension, which the steady clock leaves out. */
  constructor(now: () => number = () => Date.now()) {
    this.#now = now;
    this.#tickAtMs = now();
  }

  /** Starts to watch while there is something to read. */
  start(lifeCycle: LifeCycle, isIdle: () => boolean = () => false): void {
    this.#work = lifeCycle.every(TICK_INTERVAL_MS, () => {
      this.tick();
      if (isIdle()) this.#work?.setIntervalMs(Number.POSITIVE_INFINITY);
    });
  }

  /** There is something to read again. */
  resume(): void {
    if (!this.#work?.setIntervalMs(TICK_INTERVAL_MS)) return;
    this.#tickAtMs = this.#now();
    this.#lateMs = 0;
    this.#behindSinceMs = undefined;
  }

  /** The timer has fired. */
  tick(): void {
    const nowMs = this.#now();
    this.#lateMs = Math.max(0, nowMs - this.#tickAtMs - TICK_INTERVAL_MS);
    this.#tickAtMs = nowMs;
    if (this.#lateMs < MIN_LAG_MS) this.#behindSinceMs = undefined;
    else this.#behindSinceMs ??= nowMs;
  }

  /**
   * Whether the loop has been behind for a while: a single stall is over when
   * what it has made late is read, and refusing that helps nobody.
   */
  get isSustained(): boolean {
    if (this.#behindSinceMs === undefined) return false;
    return this.#now() - this.#behindSinceMs >= SUSTAINED_LAG_MS;
  }

  /**
   * How long what is read now may have waited; 0 when the loop is about on
   * time. A connection is accepted in one turn and read in the next, so the
   * turn before counts as well.
   */
  get lagMs(): number {
    const lateMs = Math.max(0, this.#now() - this.#tickAtMs - TICK_INTERVAL_MS);
    const lagMs = lateMs + this.#lateMs;
    return lagMs < MIN_LAG_MS ? 0 : lagMs;
  }
}
