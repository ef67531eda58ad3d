/** Whether the platform's store answers this VM, and since when. */
import type * as contracts from "@guavatide/contracts";
import type * as neverthrow from "neverthrow";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";

/** Options of {@link StoreHealth}. */
export interface StoreHealthOptions {
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** A store that answers nobody for this long gets no repeated calls. */
const REPEAT_LIMIT_MS = 3_000;
/** Calls in a row without an answer after which the store is unreachable. */
const MAX_FAILURES = 2;
/** Reads that overlap the start of many VMs are slow, not lost. */
const START_MS = 2_000;

/** A call to the store whose result is not known yet. */
export interface PendingStoreCall {
  /**
   * Notes the result; returns whether it is an answer of the store. Conflicts
   * and missing objects are.
   */
  noteResult(result: neverthrow.Result<unknown, contracts.StoreError>): boolean;
}

/**
 * Tracks the results of calls to the store. Single answers get lost while others
 * arrive, so the store is unreachable only once calls in a row have failed.
 */
export class StoreHealth {
  readonly #options: StoreHealthOptions;
  #unreachableSinceMs: number | undefined;
  /** Calls that have failed since the last answer. */
  #failures = 0;
  #answeredAtMs = Number.NEGATIVE_INFINITY;
  #firstAnswerAtMs = Number.POSITIVE_INFINITY;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  #recoveredAtMs = Number.NEGATIVE_INFINITY;
  readonly #listeners: Listeners;

  constructor(options: StoreHealthOptions) {
    this.#options = options;
    this.#listeners = new Listeners("recovery of the store", options.log);
  }

  /** Whether the store has answered one of the last calls. */
  get isReachable(): boolean {
    return this.#unreachableSinceMs === undefined;
  }

  /** Whether a call has failed and only another one can show an outage. */
  get isInDoubt(): boolean {
    return this.isReachable && this.#failures > 0;
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

  /** Notes that a call is being sent. */
  startCall(): PendingStoreCall {
    const sentAtMs = this.#options.clock.nowMs();
    return {
      noteResult: (result) => {
        const failure = result.isErr() && isFailure(result.error)
          ? result.error
          : undefined;
        if (failure === undefined) this.#noteAnswer();
        else this.#noteFailure(failure, sentAtMs);
        return failure === undefined;
      },
    };
  }

  #noteAnswer(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#failures = 0;
    this.#answeredAtMs = nowMs;
    this.#firstAnswerAtMs = Math.min(this.#firstAnswerAtMs, nowMs);
    if (this.#unreachableSinceMs === undefined) return;
    const { log } = this.#options;
    const awayMs = Math.round(nowMs - this.#unreachableSinceMs);
    log.info("The platform's store is reachable again.", { awayMs });
    this.#unreachableSinceMs = undefined;
    this.#recoveredAtMs = nowMs;
    this.#listeners.notify();
  }

  #noteFailure(error: contracts.StoreError, sentAtMs: number): void {
    const nowMs = this.#options.clock.nowMs();
    this.#failedAtMs = nowMs;
    // The store has answered another call since this one was sent.
    if (this.#answeredAtMs > sentAtMs) return;
    this.#failures++;
    if (!this.isReachable || this.#failures < MAX_FAILURES) return;
    this.#unreachableSinceMs = nowMs;
    this.#options.log.warn("The platform's store is unreachable.", {
      kind: error.kind,
      reason: error.message,
    });
  }
}

/** A store that refuses calls is of no more use than one that doesn't answer. */
function isFailure({ kind }: contracts.StoreError): boolean {
  return kind === "unavailable" || kind === "refused";
}
