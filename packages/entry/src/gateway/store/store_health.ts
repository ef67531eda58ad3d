/** Whether the platform's store answers this VM, and since when. */
import type * as contracts from "@guavatide/contracts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";

/** Options of {@link StoreHealth}. */
export interface StoreHealthOptions {
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** A store that answers nobody for this long gets no repeated calls. */
const REPEAT_LIMIT_MS = 3_000;

/** Reads that overlap the start of many VMs are slow, not lost. */
const START_MS = 2_000;

/** Tracks the results of calls to the store. */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  #unreachableSinceMs: number | undefined;
  #firstAnswerAtMs = Number.POSITIVE_INFINITY;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  #recoveredAtMs = Number.NEGATIVE_INFINITY;
  readonly #listeners: Listeners;

  constructor(options: StoreHealthOptions) {
    this.#options = options;
    this.#listeners = new Listeners("recovery of the store", options.log);
  }

  /** Whether the store answered the last call. */
  get isReachable(): boolean {
    return this.#unreachableSinceMs === undefined;
  }

  /**
   * Time in ms since the last failed call or lost answer, or since the store became
   * reachable again, whichever is later.
   */
  get healthyMs(): number {
    const nowMs = this.#options.clock.nowMs();
    return nowMs - Math.max(this.#failedAtMs, this.#recoveredAtMs);
  }

  /**
   * Whether an overdue call is to be repeated. A VM that starts gets its first
   * lists from peers too, and many VMs start at once.
   */
  get mayRepeatCalls(): boolean {
    const sinceMs = this.#unreachableSinceMs;
    const nowMs = this.#options.clock.nowMs();
    const isAway = sinceMs !== undefined && nowMs - sinceMs >= REPEAT_LIMIT_MS;
    return !isAway && nowMs - this.#firstAnswerAtMs >= START_MS;
  }

  /** The answer to a call was lost; another call was answered. */
  noteLostAnswer(): void {
    this.#failedAtMs = this.#options.clock.nowMs();
  }

  /** Registers a listener called when the store is reachable again. */
  onRecovered(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** The store answered a call. */
  noteAnswer(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#firstAnswerAtMs = Math.min(this.#firstAnswerAtMs, nowMs);
    if (this.#unreachableSinceMs === undefined) return;
    const { log } = this.#options;
    const awayMs = Math.round(nowMs - this.#unreachableSinceMs);
    log.info("The platform's store is reachable again.", { awayMs });
    this.#unreachableSinceMs = undefined;
    this.#recoveredAtMs = nowMs;
    this.#listeners.notify();
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
