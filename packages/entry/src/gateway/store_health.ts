/** Whether this VM reaches the platform's store, and since when. */
import type * as contracts from "@guavatide/contracts";
import type { PartLog } from "../utils/log.ts";

/** Options of {@link StoreHealth}. */
export interface StoreHealthOptions {
  readonly clock: contracts.Clock;
  readonly log: PartLog;
}

/** Follows the calls to the store. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  #lostAtMs: number | undefined;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  #regainedAtMs = Number.NEGATIVE_INFINITY;
  readonly #listeners: (() => void)[] = [];

  constructor(options: StoreHealthOptions) {
    this.#options = options;
  }

  /** Whether the last call was answered. */
  get isReachable(): boolean {
    return this.#lostAtMs === undefined;
  }

  /** Time since a call was last not answered. */
  get healthyMs(): number {
    const nowMs = this.#options.clock.nowMs();
    return nowMs - Math.max(this.#failedAtMs, this.#regainedAtMs);
  }

  /** Called when the store is reached again. */
  onRecovered(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** The store answered a call. */
  noteAnswer(): void {
    if (this.#lostAtMs === undefined) return;
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    const awayMs = Math.round(nowMs - this.#lostAtMs);
    log.info("Regained the platform's store.", { awayMs });
    this.#lostAtMs = undefined;
    this.#regainedAtMs = nowMs;
    for (const listener of this.#listeners) listener();
  }

  /** A call failed. Conflicts and missing objects are answers. */
  noteFailure(error: contracts.StoreError): void {
    if (error.kind !== "unavailable" && error.kind !== "refused") {
      return this.noteAnswer();
    }
    const nowMs = this.#options.clock.nowMs();
    this.#failedAtMs = nowMs;
    if (this.#lostAtMs !== undefined) return;
    this.#lostAtMs = nowMs;
    this.#options.log.warn("Lost the platform's store.", {
      kind: error.kind,
      reason: error.message,
    });
  }
}
