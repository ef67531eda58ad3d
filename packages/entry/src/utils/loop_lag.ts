/** How far the event loop is behind: how long what it reads may have waited. */
import type { LifeCycle } from "./life_cycle.ts";

const TICK_MS = 20;
/** Lags below this are ordinary scheduling. */
const LEAST_LAG_MS = 60;

/** Watches the event loop by a timer. */
export class LoopLag {
  readonly #now: () => number;
  #tickAtMs: number;
  /** How late the timer fired last. */
  #lateMs = 0;

  /** The time of day counts a suspension, which the steady clock leaves out. */
  constructor(now: () => number = () => Date.now()) {
    this.#now = now;
    this.#tickAtMs = now();
  }

  /** Starts to watch. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(TICK_MS, () => this.tick());
  }

  /** The timer has fired. */
  tick(): void {
    const nowMs = this.#now();
    this.#lateMs = Math.max(0, nowMs - this.#tickAtMs - TICK_MS);
    this.#tickAtMs = nowMs;
  }

  /**
   * How long what is read now may have waited; 0 when the loop is about on
   * time. A connection is accepted in one turn and read in the next, so the
   * turn before counts as well.
   */
  get lagMs(): number {
    const lateMs = Math.max(0, this.#now() - this.#tickAtMs - TICK_MS);
    const lagMs = lateMs + this.#lateMs;
    return lagMs < LEAST_LAG_MS ? 0 : lagMs;
  }
}
