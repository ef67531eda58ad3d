/** How far the event loop is behind: how long what it reads may have waited. */
import type { LifeCycle } from "./life_cycle.ts";

const TICK_MS = 20;
/** Lags below this are ordinary scheduling. */
const LEAST_LAG_MS = 60;

/** Watches the event loop by a timer. */
export class LoopLag {
  readonly #now: () => number;
  #tickAtMs: number;

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
    this.#tickAtMs = this.#now();
  }

  /** Time since the timer should have fired; 0 when it is about on time. */
  get lagMs(): number {
    const lagMs = this.#now() - this.#tickAtMs - TICK_MS;
    return lagMs < LEAST_LAG_MS ? 0 : lagMs;
  }
}
