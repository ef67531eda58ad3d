/**
 * Logs errors of parts that go on after them. A part that fails again and again
 * gets at most one log line a second, which carries the number of failures.
 */
import { stackOf } from "./error_text.ts";
import type { Logger } from "./log.ts";

const MIN_INTERVAL_MS = 1_000;

interface Failures {
  loggedAtMs: number;
  /** Failures since the last line. */
  count: number;
}

/** Failures by the name of the part. */
export class FailureLog {
  readonly #log: Pick<Logger, "error">;
  readonly #failures = new Map<string, Failures>();

  constructor(log: Pick<Logger, "error">) {
    this.#log = log;
  }

  /** Notes that a part has failed and goes on. */
  note(part: string, error: unknown): void {
    const nowMs = performance.now();
    const failures = this.#failures.get(part) ??
      { loggedAtMs: Number.NEGATIVE_INFINITY, count: 0 };
    this.#failures.set(part, failures);
    failures.count++;
    if (nowMs - failures.loggedAtMs < MIN_INTERVAL_MS) return;
    const { count } = failures;
    failures.loggedAtMs = nowMs;
    failures.count = 0;
    this.#log.error("A part failed and goes on.", {
      name: part,
      failures: count,
      error: stackOf(error),
    });
  }

  /** Runs a step; its error is noted, also that of a promise it returns. */
  guard(part: string, step: () => unknown): void {
    try {
      const result = step();
      if (result instanceof Promise) this.detach(part, result);
    } catch (error) {
      this.note(part, error);
    }
  }

  /** Notes the error of a promise that nobody awaits. */
  detach(part: string, promise: PromiseLike<unknown>): void {
    promise.then(undefined, (error: unknown) => this.note(part, error));
  }
}
