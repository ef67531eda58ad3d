/**
 * Folds a log line that would come with each request into one line a second,
 * which says how many it stands for. A VM that is behind would else spend its
 * processor on lines.
 */
import type { LogFields, PartLog } from "./log.ts";

const SPACING_MS = 1_000;

/** One warning, at most once a second. */
export class FoldedLine {
  readonly #log: PartLog;
  readonly #sentence: string;
  /** Not told yet. */
  #count = 0;
  #toldMs = Number.NEGATIVE_INFINITY;

  constructor(log: PartLog, sentence: string) {
    this.#log = log;
    this.#sentence = sentence;
  }

  /** Counts one; writes the line, with their number as `refused`, when due. */
  note(nowMs: number, fields: LogFields): void {
    this.#count++;
    if (nowMs - this.#toldMs < SPACING_MS) return;
    this.#toldMs = nowMs;
    this.#log.warn(this.#sentence, { ...fields, refused: this.#count });
    this.#count = 0;
  }
}
