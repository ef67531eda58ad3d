/**
 * Rate-limits a warning that each request could cause to one log line per
 * second, which carries the number of occurrences. An overloaded VM would
 * otherwise spend its CPU time on logging.
 */
import type { LogFields, Logger } from "./log.ts";

const MIN_INTERVAL_MS = 1_000;

/** A warning that is logged at most once per second. */
export class ThrottledWarning {
  readonly #logger: Logger;
  readonly #message: string;
  /** Occurrences since the last line. */
  #occurrences = 0;
  #loggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(logger: Logger, message: string) {
    this.#logger = logger;
    this.#message = message;
  }

  /**
   * Counts one occurrence. Logs a line when one is due, with the number of
   * occurrences since the last line as `refused`.
   */
  warn(nowMs: number, fields: LogFields): void {
    this.#occurrences++;
    if (nowMs - this.#loggedAtMs < MIN_INTERVAL_MS) return;
    this.#loggedAtMs = nowMs;
    this.#logger.warn(this.#message, { ...fields, refused: this.#occurrences });
    this.#occurrences = 0;
  }
}
