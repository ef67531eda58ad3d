/**
 * Keeps a copy of all objects of one kind of the platform's store: by a watch
 * of its own, or by what the readers of its cell tell.
 */
import type * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { StoreHealth } from "./store_health.ts";
import type {
  RelayedChanges,
  RelayedWatch,
  WatchRelay,
} from "./watch_relay.ts";

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
  readonly relay: WatchRelay;
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
/**
 * Time that peers may take to tell what this VM missed; then it reads the store
 * itself. A change has to be known within 2 s.
 */
const RELAY_GRACE_MS = 900;
/** Least time between two questions for them. */
const ASK_SPACING_MS = 150;

/** A task that lists a kind and then watches it. */
export class KindWatch implements RelayedWatch {
  readonly #options: KindWatchOptions;
  #cursor: string | undefined;
  /** Position of the last change known here. */
  #eventCursor = 0;
  /** Since this position all changes are known one by one. */
  #unbrokenSince = 0;
  #failures = 0;
  #abort: AbortController | undefined;
  /** Highest position that peers have told of, and since when it is missed. */
  #newsCursor = 0;
  #newsSinceMs: number | undefined;
  #askedMs = Number.NEGATIVE_INFINITY;
  /** Ends the wait of a VM that leaves reading to others. */
  #wake: () => void = () => {};

  constructor(options: KindWatchOptions) {
    this.#options = options;
    options.relay.add(this);
  }

  get prefix(): string {
    return this.#options.prefix;
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
      const isWatching = this.#cursor !== undefined &&
        this.#options.relay.isReader;
      if (isWatching) this.relist("the store is back");
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
  noteNews(eventCursor: number, peer: contracts.VmId): void {
    this.#newsCursor = Math.max(this.#newsCursor, eventCursor);
    const knownCursor = Math.max(this.#eventCursor, Number(this.#cursor ?? 0));
    if (this.#newsCursor <= knownCursor) {
      this.#newsSinceMs = undefined;
      return;
    }
    // This peer may lack the news as well.
    if (eventCursor <= knownCursor) return;
    const nowMs = this.#options.clock.nowMs();
    this.#newsSinceMs ??= nowMs;
    const sinceMs = nowMs - this.#newsSinceMs;
    if (sinceMs < NEWS_GRACE_MS) return;
    if (!this.#options.relay.isReader && sinceMs < RELAY_GRACE_MS) {
      return this.#ask(peer);
    }
    this.#newsSinceMs = undefined;
    this.relist("peers know newer changes");
  }

  /** Takes changes that a peer has read. */
  takeRelayed(
    { fromCursor, toCursor, events }: RelayedChanges,
    from: contracts.VmId,
  ): void {
    if (this.#cursor === undefined || toCursor <= this.#eventCursor) return;
    const knownCursor = Math.max(this.#eventCursor, this.#unbrokenSince);
    if (events === undefined) return this.relist("changes are not told");
    if (fromCursor > knownCursor) return this.#ask(from);
    this.#cursor = String(Math.max(toCursor, Number(this.#cursor)));
    this.#eventCursor = toCursor;
    // Those up to the own position come again, in their order: the last change
    // of each object is the one that stays.
    for (const event of events) this.#options.onEvent(event);
  }

  /** Asks a peer for what was missed, not with each word of each peer. */
  #ask(peer: contracts.VmId): void {
    const { clock, relay, prefix } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#askedMs < ASK_SPACING_MS) return;
    this.#askedMs = nowMs;
    const knownCursor = Math.max(this.#eventCursor, this.#unbrokenSince);
    relay.ask(prefix, knownCursor, peer);
  }

  /** This VM became a reader, or is none any more. */
  roleChanged(): void {
    this.#wake();
    if (!this.#options.relay.isReader) this.#abort?.abort();
  }

  /** Lists anew at once. */
  relist(reason: string): void {
    const { log, prefix } = this.#options;
    log.info("Lists anew.", { prefix, reason, cursor: this.#cursor });
    this.#cursor = undefined;
    this.#abort?.abort();
    this.#wake();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#abort = new AbortController();
      const isReader = this.#options.relay.isReader;
      if (this.#cursor !== undefined && !isReader) {
        await this.#untilWoken(signal);
        continue;
      }
      const isDone = this.#cursor === undefined
        ? await this.#list()
        : await this.#watch(this.#cursor);
      if (!isDone && !signal.aborted) await this.#pause();
    }
  }

  /** Waits until this VM is to read the store itself. */
  #untilWoken(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        signal.removeEventListener("abort", wake);
        resolve();
      };
      this.#wake = wake;
      signal.addEventListener("abort", wake);
    });
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
    this.#unbrokenSince = Number(this.#cursor);
    // The list's own position also rises with changes of other kinds, and peers
    // that listed a little earlier would seem to lack something.
    for (const { version } of result.value.objects) {
      this.#eventCursor = Math.max(this.#eventCursor, Number(version));
    }
    onList(result.value.objects);
    return true;
  }

  async #watch(cursor: string): Promise<boolean> {
    const { store, prefix, health, relay, onEvent } = this.#options;
    const waitMs = this.#waitMs();
    const result = await store.watch(prefix, {
      cursor,
      waitMs,
      timeoutMs: waitMs + WATCH_SLACK_MS,
      signal: this.#abort!.signal,
    });
    // Asked to list anew meanwhile, or not to read any more: what came of the
    // watch is of no interest.
    if (this.#cursor === undefined || this.#abort!.signal.aborted) return true;
    if (result.isErr()) return this.#failed(result.error);
    health.noteAnswer();
    this.#failures = 0;
    const { events, reset } = result.value;
    if (reset) {
      this.#cursor = undefined;
      return true;
    }
    const toCursor = Number(result.value.cursor);
    // A peer may have told these changes, and later ones, meanwhile.
    if (toCursor > Number(this.#cursor)) this.#cursor = result.value.cursor;
    if (events.length === 0) return true;
    // Nothing has changed between the last change known here and the watch's
    // begin, so peers that know as much can take these changes.
    const fromCursor = Math.min(
      Number(cursor),
      Math.max(this.#unbrokenSince, this.#eventCursor),
    );
    if (toCursor > this.#eventCursor) {
      this.#eventCursor = toCursor;
      for (const event of events) onEvent(event);
    }
    relay.publish(prefix, { fromCursor, toCursor, events });
    await timers.setTimeout(BATCH_PAUSE_MS);
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
