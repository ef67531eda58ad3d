/**
 * Runs an asynchronous step at most once at a time, and not more often than a
 * minimum interval.
 */
import type * as contracts from "@guavatide/contracts";
import type { Logger } from "../utils/log.ts";

/** Options of {@link ThrottledTask}. */
export interface ThrottledTaskOptions {
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Shortest time between the starts of two runs. */
  readonly minIntervalMs: number;
}

/** Drops requests to run while a run is in progress or within the interval. */
export class ThrottledTask {
  readonly #options: ThrottledTaskOptions;
  #isRunning = false;
  #startedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ThrottledTaskOptions) {
    this.#options = options;
  }

  /**
   * Runs a step unless one is in progress or has just started. Errors are
   * logged.
   */
  run(step: (nowMs: number) => Promise<void>): void {
    const { clock, log, minIntervalMs } = this.#options;
    const nowMs = clock.nowMs();
    if (this.#isRunning || nowMs - this.#startedAtMs < minIntervalMs) return;
    this.#isRunning = true;
    this.#startedAtMs = nowMs;
    step(nowMs)
      .catch((error) =>
        log.error("A throttled task failed.", { error: String(error) })
      )
      .finally(() => this.#isRunning = false);
  }
}
