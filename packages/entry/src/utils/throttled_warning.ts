/**
 * Folds a log line that would come with each request into one line a second,
 * which says how many it stands for. A VM that is behind would else spend its
 * processor on lines.
 */
import type { LogFields, Logger } from "./log.ts";

const MIN_INTERVAL_MS = 1_000;

/** One warning, at most once a second. */
export class ThrottledWarning {
  readonly #log: Logger;
  readonly #sentence: string;
  /** Not told yet. */
  #count = 0;
  #toldMs = Number.NEGATIVE_INFINITY;

  constructor(log: Logger, sentence: string) {
    this.#log = log;
    this.#sentence = sentence;
  }

  /** Counts one; writes the line, with their number as `refused`, when due. */
  warn(nowMs: number, fields: LogFields): void {
    this.#count++;
    if (nowMs - this.#toldMs < MIN_INTERVAL_MS) return;
    this.#toldMs = nowMs;
    this.#log.warn(this.#sentence, { ...fields, refused: this.#count });
    this.#count = 0;
  }
}
