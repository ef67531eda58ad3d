/**
 * Watches `config/current` while this VM is one of the selected watchers. One
 * long poll is open at a time. Each counts as one call to the platform store.
 */
import type * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import type { Logger } from "../utils/log.ts";
import * as currentConfig from "./current_config.ts";

/** Options of {@link StoreWatch}. */
export interface StoreWatchOptions {
  readonly store: contracts.PlatformStore;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
  /** Whether this VM is a watcher. Called before each poll. */
  readonly isWatcher: () => boolean;
  /** Receives the current object. */
  readonly onObject: (stored: contracts.StoredObject) => Promise<void>;
  /** Maximum wait of one poll. */
  readonly waitMs: number;
  /** Timeout of one store call, added to `waitMs` for a poll. */
  readonly callTimeoutMs: number;
  /** Interval of checks whether this VM has become a watcher. */
  readonly roleCheckIntervalMs: number;
}

/** Maximum wait for the VM list before the first check of the role. */
const MAX_START_DELAY_MS = 300;
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5000;

/** Watches the store until the process stops. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  #cursor: string | undefined;
  #retryDelayMs = MIN_RETRY_DELAY_MS;
  #poll = new AbortController();

  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Runs the watch. Resolves when the signal aborts it. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this.#poll.abort());
    await sleep(MAX_START_DELAY_MS * this.#options.random.next(), signal);
    while (!signal.aborted) {
      if (!this.#options.isWatcher()) {
        this.#cursor = undefined;
        await sleep(this.#options.roleCheckIntervalMs, signal);
        continue;
      }
      await this.#pollOnce(signal);
    }
  }

  /**
   * Ends the open poll and starts again from a list. Called when a comparison
   * finds a revision that the watch didn't deliver: such a watch has stalled,
   * and would remain so without an error.
   */
  restart(): void {
    this.#cursor = undefined;
    this.#poll.abort();
  }

  async #pollOnce(signal: AbortSignal): Promise<void> {
    this.#poll = new AbortController();
    const isOk = this.#cursor === undefined
      ? await this.#list()
      : await this.#watch(this.#cursor);
    if (isOk || signal.aborted) {
      this.#retryDelayMs = MIN_RETRY_DELAY_MS;
      return;
    }
    // Random, so that watchers don't all call a recovering store at the same
    // moment.
    const delayMs = this.#retryDelayMs * this.#options.random.next();
    this.#retryDelayMs = Math.min(this.#retryDelayMs * 2, MAX_RETRY_DELAY_MS);
    this.#cursor = undefined;
    await sleep(delayMs, signal);
  }

  async #list(): Promise<boolean> {
    const listed = await this.#options.store.list(currentConfig.CURRENT_NAME, {
      timeoutMs: this.#options.callTimeoutMs,
      signal: this.#poll.signal,
    });
    if (listed.isErr()) return this.#logFailure(listed.error);
    this.#cursor = listed.value.cursor;
    await this.#deliver(listed.value.objects);
    return true;
  }

  async #watch(cursor: string): Promise<boolean> {
    const { waitMs, callTimeoutMs } = this.#options;
    const batch = await this.#options.store.watch(currentConfig.CURRENT_NAME, {
      cursor,
      waitMs,
      // Ends a poll on a connection that has stalled without an error.
      timeoutMs: waitMs + callTimeoutMs,
      signal: this.#poll.signal,
    });
    if (this.#poll.signal.aborted) return true;
    if (batch.isErr()) return this.#logFailure(batch.error);
    this.#cursor = batch.value.reset ? undefined : batch.value.cursor;
    await this.#deliver(
      batch.value.events.flatMap((each) => each.object ?? []),
    );
    return true;
  }

  async #deliver(objects: readonly contracts.StoredObject[]): Promise<void> {
    const current = objects
      .filter((object) => object.name === currentConfig.CURRENT_NAME)
      .at(-1);
    if (current !== undefined) await this.#options.onObject(current);
  }

  #logFailure(error: contracts.StoreError): boolean {
    this.#options.log.debug("store watch failed, retrying", {
      reason: error.kind,
    });
    return false;
  }
}

/** Sleeps until the time is over or the signal aborts. Never rejects. */
export async function sleep(ms: number, signal: AbortSignal): Promise<void> {
  await timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
}
