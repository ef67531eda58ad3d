/**
 * Watches `config/current` while this VM is one of those chosen to. One long
 * poll is open at a time; each counts as one call at the platform's store.
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
  /** Whether this VM is among those that watch, asked before each poll. */
  readonly isWatcher: () => boolean;
  /** Takes the object as it stands now. */
  readonly onObject: (stored: contracts.StoredObject) => Promise<void>;
  /** Longest wait of one poll. */
  readonly waitMs: number;
  /** Time for one call besides that wait. */
  readonly callTimeoutMs: number;
  /** Between two questions whether this VM is chosen. */
  readonly roleCheckIntervalMs: number;
}

/** Longest wait for the VM list before the first question who watches. */
const MAX_START_DELAY_MS = 300;
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 5000;

/** Runs the watch until the process stops. */
export class StoreWatch {
  readonly #options: StoreWatchOptions;
  #cursor: string | undefined;
  #pauseMs = MIN_RETRY_DELAY_MS;
  #poll = new AbortController();

  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Resolves when the signal ends the watch. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this.#poll.abort());
    await sleep(MAX_START_DELAY_MS * this.#options.random.next(), signal);
    while (!signal.aborted) {
      if (!this.#options.isWatcher()) {
        this.#cursor = undefined;
        await sleep(this.#options.roleCheckIntervalMs, signal);
        continue;
      }
      await this.#step(signal);
    }
  }

  /**
   * Ends the open poll and starts anew from a list. Called when a comparison
   * found a revision that the watch did not bring: such a watch has gone
   * silent, and would stay so without an error.
   */
  restart(): void {
    this.#cursor = undefined;
    this.#poll.abort();
  }

  async #step(signal: AbortSignal): Promise<void> {
    this.#poll = new AbortController();
    const ok = this.#cursor === undefined
      ? await this.#list()
      : await this.#watch(this.#cursor);
    if (ok || signal.aborted) {
      this.#pauseMs = MIN_RETRY_DELAY_MS;
      return;
    }
    // Drawn at random, so that watchers do not all return to a store that
    // has just come back in the same moment.
    const pauseMs = this.#pauseMs * this.#options.random.next();
    this.#pauseMs = Math.min(this.#pauseMs * 2, MAX_RETRY_DELAY_MS);
    this.#cursor = undefined;
    await sleep(pauseMs, signal);
  }

  async #list(): Promise<boolean> {
    const listed = await this.#options.store.list(currentConfig.CURRENT_NAME, {
      timeoutMs: this.#options.callTimeoutMs,
      signal: this.#poll.signal,
    });
    if (listed.isErr()) return this.#failed(listed.error);
    this.#cursor = listed.value.cursor;
    await this.#take(listed.value.objects);
    return true;
  }

  async #watch(cursor: string): Promise<boolean> {
    const { waitMs, callTimeoutMs } = this.#options;
    const batch = await this.#options.store.watch(currentConfig.CURRENT_NAME, {
      cursor,
      waitMs,
      // A connection that went silent ends here instead of never.
      timeoutMs: waitMs + callTimeoutMs,
      signal: this.#poll.signal,
    });
    if (this.#poll.signal.aborted) return true;
    if (batch.isErr()) return this.#failed(batch.error);
    this.#cursor = batch.value.reset ? undefined : batch.value.cursor;
    await this.#take(batch.value.events.flatMap((each) => each.object ?? []));
    return true;
  }

  async #take(objects: readonly contracts.StoredObject[]): Promise<void> {
    const current = objects
      .filter((object) => object.name === currentConfig.CURRENT_NAME)
      .at(-1);
    if (current !== undefined) await this.#options.onObject(current);
  }

  #failed(error: contracts.StoreError): boolean {
    this.#options.log.debug("watch of the store ended, retrying", {
      reason: error.kind,
    });
    return false;
  }
}

/** Waits, at most until the signal. */
export async function sleep(ms: number, signal: AbortSignal): Promise<void> {
  await timers.setTimeout(ms, undefined, { signal }).catch(() => undefined);
}
