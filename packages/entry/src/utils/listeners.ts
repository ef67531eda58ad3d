/** Listeners of one kind of event, none of which can keep it from the others. */
import { FailureLog } from "./failure_log.ts";
import type { Logger } from "./log.ts";

/** Calls listeners in the order of their registration. */
export class Listeners<Args extends readonly unknown[] = []> {
  readonly #event: string;
  readonly #failures: FailureLog;
  readonly #listeners: ((...args: Args) => void)[] = [];

  /** `event` names what the listeners are told, for the log. */
  constructor(event: string, log: Pick<Logger, "error">) {
    this.#event = event;
    this.#failures = new FailureLog(log);
  }

  add(listener: (...args: Args) => void): void {
    this.#listeners.push(listener);
  }

  /** Calls all listeners; errors are logged. */
  notify(...args: Args): void {
    for (const listener of this.#listeners) {
      this.#failures.guard(this.#event, () => listener(...args));
    }
  }
}
