/** Tells peers what they must hear twice: datagrams get lost. */
import type { LifeCycle } from "../../utils/life_cycle.ts";

const CLEAN_UP_TIMEOUT_MS = 100;

/** Broadcasts that are sent now and once more after a while. */
export class RepeatedBroadcast {
  readonly #delayMs: number;
  readonly #timers = new Set<NodeJS.Timeout>();
  #name = "";
  #lifeCycle: LifeCycle | undefined;

  constructor(delayMs: number) {
    this.#delayMs = delayMs;
  }

  /** Drops the repetitions that are due when the process stops. */
  start(lifeCycle: LifeCycle, name: string): void {
    this.#lifeCycle = lifeCycle;
    this.#name = name;
    lifeCycle.onStop({
      name,
      timeoutMs: CLEAN_UP_TIMEOUT_MS,
      run: () => this.#timers.forEach((timer) => clearTimeout(timer)),
    });
  }

  /** Calls `broadcast` now and, once started, after the delay. */
  send(broadcast: () => void): void {
    broadcast();
    const timer = this.#lifeCycle?.after(this.#delayMs, () => {
      this.#timers.delete(timer!);
      broadcast();
    }, this.#name);
    if (timer !== undefined) this.#timers.add(timer);
  }
}
