/** Runs an asynchronous step once at a time and not too often. */
import type * as contracts from "@guavatide/contracts";
import type { PartLog } from "../utils/log.ts";

/** Options of {@link ThrottledTask}. */
export interface ThrottledTaskOptions {
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  /** Least time between the starts of two runs. */
  readonly minIntervalMs: number;
}

/** A step that is asked for more often than it runs. */
export class ThrottledTask {
  readonly #options: ThrottledTaskOptions;
  #isRunning = false;
  #startedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: ThrottledTaskOptions) {
    this.#options = options;
  }

  /** Runs a step unless one is under way or has just begun. */
  run(step: (nowMs: number) => Promise<void>): void {
    const { clock, log, minIntervalMs: spacingMs } = this.#options;
    const nowMs = clock.nowMs();
    if (this.#isRunning || nowMs - this.#startedAtMs < spacingMs) return;
    this.#isRunning = true;
    this.#startedAtMs = nowMs;
    step(nowMs)
      .catch((error) =>
        log.error("A repeated step failed.", { error: String(error) })
      )
      .finally(() => this.#isRunning = false);
  }
}
