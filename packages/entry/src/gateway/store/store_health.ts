/** Whether the platform's store answers this VM, and since when. */
import type * as contracts from "@guavatide/contracts";
import type { Logger } from "../../utils/log.ts";

/** Options of {@link StoreHealth}. */
export interface StoreHealthOptions {
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** Tracks the results of calls to the store. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  #unreachableSinceMs: number | undefined;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  #recoveredAtMs = Number.NEGATIVE_INFINITY;
  readonly #listeners: (() => void)[] = [];

  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the store answered the last call. */
  get isReachable(): boolean {
    return this.#unreachableSinceMs === undefined;
  }

  /**
   * Time in ms since the last failed call, or since the store became reachable
   * again, whichever is later.
   */
  get healthyMs(): number {
    const nowMs = this.#options.clock.nowMs();
    return nowMs - Math.max(this.#failedAtMs, this.#recoveredAtMs);
  }

  /** Registers a listener called when the store is reachable again. */
  onRecovered(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** The store answered a call. */
  noteAnswer(): void {
    if (this.#unreachableSinceMs === undefined) return;
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    const awayMs = Math.round(nowMs - this.#unreachableSinceMs);
    log.info("The platform's store is reachable again.", { awayMs });
    this.#unreachableSinceMs = undefined;
    this.#recoveredAtMs = nowMs;
    for (const listener of this.#listeners) listener();
  }

  /**
   * A call returned an error. Conflicts and missing objects count as answers.
   */
  noteFailure(error: contracts.StoreError): void {
    if (error.kind !== "unavailable" && error.kind !== "refused") {
      return this.noteAnswer();
    }
    const nowMs = this.#options.clock.nowMs();
    this.#failedAtMs = nowMs;
    if (this.#unreachableSinceMs !== undefined) return;
    this.#unreachableSinceMs = nowMs;
    this.#options.log.warn("The platform's store is unreachable.", {
      kind: error.kind,
      reason: error.message,
    });
  }
}
