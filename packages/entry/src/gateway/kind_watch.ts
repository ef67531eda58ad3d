/** Keeps a copy of all objects of one kind of the platform's store. */
import type * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link KindWatch}. */
export interface KindWatchOptions {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  readonly prefix: string;
  readonly log: PartLog;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  /** Entry VMs that are up. */
  readonly vmCount: () => number;
  /** All objects, after each list. */
  readonly onList: (objects: readonly contracts.StoredObject[]) => void;
  readonly onEvent: (event: contracts.WatchEvent) => void;
}

/**
 * Wait of one watch for each VM that is up. Peers tell when they have heard of
 * a change; with the waits spread, the watch of one of them begins anew about
 * once in this time, over a connection that has not gone silent.
 */
const WATCH_WAIT_PER_VM_MS = 1_500;
const WATCH_WAIT_MIN_MS = 2_000;
const WATCH_WAIT_MAX_MS = 15_000;
/**
 * Pause after a batch of events. Changes come in groups, as when a service is
 * replaced; each batch costs every VM one call, and a change has to be known
 * within 2 s.
 */
const BATCH_PAUSE_MS = 150;
/** Time beyond its wait after which a watch without an answer is given up. */
const WATCH_SLACK_MS = 1_000;
/** Longest time of a list: the store answers in a few milliseconds. */
const LIST_TIMEOUT_MS = 1_000;
const RETRY_MIN_MS = 60;
const RETRY_MAX_MS = 600;
/** Time that a peer's news may take to arrive over the own watch. */
const NEWS_GRACE_MS = 250;

/** A task that lists a kind and then watches it. */
export class KindWatch {
  readonly #options: KindWatchOptions;
  #cursor: string | undefined;
  /** Cursor of the last batch that brought events. */
  #eventCursor = 0;
  #failures = 0;
  #abort: AbortController | undefined;
  #newsSinceMs: number | undefined;

  constructor(options: KindWatchOptions) {
    this.#options = options;
  }

  /** Position of the last change that this VM has heard of. */
  get eventCursor(): number {
    return this.#eventCursor;
  }

  /** Starts the task. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.signal.addEventListener("abort", () => this.#abort?.abort());
    // A watch that was waiting when the store went silent would go on waiting,
    // and changes made after its return would be known seconds late.
    this.#options.health.onRegained(() => {
      if (this.#cursor !== undefined) this.relist("the store is back");
    });
    this.#run(lifeCycle.signal).catch((error) =>
      this.#options.log.error("Watch ended.", { error: String(error) })
    );
  }

  /**
   * A peer has heard of changes up to a position. When the own watch does not
   * bring them soon, its connection may have gone silent: the objects are
   * listed anew over another.
   */
  noteNews(eventCursor: number): void {
    if (eventCursor <= Number(this.#cursor ?? 0)) {
      this.#newsSinceMs = undefined;
      return;
    }
    const nowMs = this.#options.clock.nowMs();
    this.#newsSinceMs ??= nowMs;
    if (nowMs - this.#newsSinceMs < NEWS_GRACE_MS) return;
    this.#newsSinceMs = undefined;
    this.relist("peers know newer changes");
  }

  /** Lists anew at once. */
  relist(reason: string): void {
    const { log, prefix } = this.#options;
    log.info("Lists anew.", { prefix, reason, cursor: this.#cursor });
    this.#cursor = undefined;
    this.#abort?.abort();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#abort = new AbortController();
      const isDone = this.#cursor === undefined
        ? await this.#list()
        : await this.#watch(this.#cursor);
      if (!isDone && !signal.aborted) await this.#pause();
    }
  }

  async #list(): Promise<boolean> {
    const { store, prefix, health, onList } = this.#options;
    const result = await store.list(prefix, {
      timeoutMs: LIST_TIMEOUT_MS,
      signal: this.#abort!.signal,
    });
    if (result.isErr()) return this.#failed(result.error);
    health.noteAnswer();
    this.#failures = 0;
    this.#cursor = result.value.cursor;
    this.#eventCursor = Math.max(this.#eventCursor, Number(this.#cursor));
    onList(result.value.objects);
    return true;
  }

  async #watch(cursor: string): Promise<boolean> {
    const { store, prefix, health, onEvent } = this.#options;
    const waitMs = this.#waitMs();
    const result = await store.watch(prefix, {
      cursor,
      waitMs,
      timeoutMs: waitMs + WATCH_SLACK_MS,
      signal: this.#abort!.signal,
    });
    // Asked to list anew meanwhile: what came of the watch is of no interest.
    if (this.#cursor === undefined) return true;
    if (result.isErr()) return this.#failed(result.error);
    health.noteAnswer();
    this.#failures = 0;
    const { events, reset } = result.value;
    this.#cursor = reset ? undefined : result.value.cursor;
    if (events.length > 0) this.#eventCursor = Number(result.value.cursor);
    for (const event of events) onEvent(event);
    if (events.length > 0) await timers.setTimeout(BATCH_PAUSE_MS);
    return true;
  }

  #waitMs(): number {
    const { vmCount, random } = this.#options;
    const longestMs = Math.min(
      WATCH_WAIT_MAX_MS,
      Math.max(WATCH_WAIT_MIN_MS, vmCount() * WATCH_WAIT_PER_VM_MS),
    );
    return Math.round(longestMs * (0.5 + random.next() / 2));
  }

  #failed(error: contracts.StoreError): boolean {
    if (this.#cursor === undefined && this.#abort!.signal.aborted) return true;
    this.#failures++;
    this.#options.health.noteFailure(error);
    return false;
  }

  async #pause(): Promise<void> {
    const limitMs = Math.min(
      RETRY_MAX_MS,
      RETRY_MIN_MS * 2 ** Math.min(8, this.#failures),
    );
    // Jitter keeps the VMs from asking a store that is just back all at once.
    await timers.setTimeout(
      limitMs * (0.5 + this.#options.random.next() / 2),
    );
  }
}
