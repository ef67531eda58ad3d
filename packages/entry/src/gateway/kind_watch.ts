/**
 * Keeps a copy of all objects of one kind of the platform's store: by a watch
 * of its own on the VMs that read for all, else by what these tell.
 */
import type * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import { type ObjectChange, ObjectTable } from "./object_table.ts";
import type { KindSnapshot } from "./peer_messages.ts";
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
  readonly relay: WatchRelay;
  /** All objects, at the first list. */
  readonly onList: (objects: readonly contracts.StoredObject[]) => void;
  /** Changes that were learned together, in their order. */
  readonly onChanges: (changes: readonly ObjectChange[]) => void;
}

/**
 * Longest wait of one watch. Two readers tell one another what they hear, so
 * that a connection that has gone silent is noticed with the next change.
 */
const WATCH_WAIT_MS = 20_000;
/**
 * Pause after a batch of events. Changes come in groups, as when a service is
 * replaced, and each batch costs every reader one call.
 */
const BATCH_PAUSE_MS = 250;
/** Time beyond its wait after which a watch without an answer is given up. */
const WATCH_SLACK_MS = 1_000;
/** Longest time of a list: the store answers in a few milliseconds. */
const LIST_TIMEOUT_MS = 1_000;
const RETRY_MIN_MS = 60;
const RETRY_MAX_MS = 600;
/** Time that a peer's news may take to arrive over the own watch. */
const NEWS_GRACE_MS = 250;
/**
 * Time that peers may take to tell what this VM missed; then it asks one of
 * them for all objects. A change has to be known within 2 s.
 */
const RELAY_GRACE_MS = 600;
/** Least time between two questions for them. */
const ASK_SPACING_MS = 150;

/** A task that follows a kind. */
export class KindWatch implements RelayedWatch {
  readonly #options: KindWatchOptions;
  readonly #table = new ObjectTable();
  #isListed = false;
  /** All changes up to here are known, also when there was none. */
  #knownTo = 0;
  #position = 0;
  /** Whether the objects have to be listed or asked for anew. */
  #isStale = true;
  #failures = 0;
  #abort: AbortController | undefined;
  /** Highest position that peers have told of, and since when it is missed. */
  #newsPosition = 0;
  #newsSinceMs: number | undefined;
  #newsPeer: contracts.VmId | undefined;
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
  get position(): number {
    return this.#position;
  }

  /** Up to here nothing is missing. */
  get #completeTo(): number {
    return Math.max(this.#position, this.#knownTo);
  }

  /** All objects, for a peer that has none or missed some. */
  get snapshot(): KindSnapshot | undefined {
    if (!this.#isListed) return undefined;
    const objects = this.#table.all
      .map(({ name, version, value }): [string, string, string] => [
        name,
        version,
        value,
      ]);
    return { position: this.#position, objects };
  }

  /** Starts the task. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.signal.addEventListener("abort", () => this.#abort?.abort());
    // A watch that was waiting when the store went silent would go on waiting,
    // and changes made after its return would be known seconds late.
    this.#options.health.onRecovered(() => {
      if (this.#isListed && this.#options.relay.isReader) {
        this.#renew("the store is back");
      }
    });
    this.#run(lifeCycle.signal).catch((error) =>
      this.#options.log.error("Watch ended.", { error: String(error) })
    );
  }

  notePeerPosition(position: number, peer: contracts.VmId): void {
    if (!this.#isListed) return;
    this.#newsPosition = Math.max(this.#newsPosition, position);
    const known = this.#completeTo;
    if (this.#newsPosition <= known) {
      this.#newsSinceMs = undefined;
      return;
    }
    // This peer may lack the news as well.
    if (position <= known) return;
    const nowMs = this.#options.clock.nowMs();
    this.#newsSinceMs ??= nowMs;
    this.#newsPeer = peer;
    const sinceMs = nowMs - this.#newsSinceMs;
    if (!this.#options.relay.isReader && sinceMs < RELAY_GRACE_MS) {
      return this.#ask(peer);
    }
    if (sinceMs < NEWS_GRACE_MS) return;
    this.#newsSinceMs = undefined;
    this.#renew("peers know newer changes");
  }

  applyRelayed(changes: RelayedChanges, from: contracts.VmId): void {
    const { fromPosition, toPosition, events, names } = changes;
    if (!this.#isListed || toPosition <= this.#position) return;
    if (events === undefined) {
      this.#newsPeer = from;
      return this.#renew("changes are not told");
    }
    if (fromPosition > this.#completeTo) {
      return this.#ask(from);
    }
    const missing = names === undefined
      ? []
      : this.#table.deletionsExcept(names);
    // Those up to the own position come again, in their order: the last change
    // of each object is the one that stays.
    this.#apply([...events, ...missing]);
    this.#position = toPosition;
    this.#knownTo = Math.max(this.#knownTo, toPosition);
  }

  /** Asks a peer for what was missed, not with each word of each peer. */
  #ask(peer: contracts.VmId): void {
    const { clock, relay, prefix } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#askedMs < ASK_SPACING_MS) return;
    this.#askedMs = nowMs;
    relay.requestChanges(prefix, this.#completeTo, peer);
  }

  onRoleChange(): void {
    this.#abort?.abort();
    this.#wake();
  }

  /** Learns all objects anew. */
  #renew(reason: string): void {
    const { log, prefix } = this.#options;
    log.info("Lists anew.", { prefix, reason, position: this.#position });
    this.#isStale = true;
    this.#abort?.abort();
    this.#wake();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#abort = new AbortController();
      const isDone = await this.#step(signal);
      if (!isDone && !signal.aborted) await this.#pause();
    }
  }

  #step(signal: AbortSignal): Promise<boolean> {
    const { isReader } = this.#options.relay;
    if (!this.#isListed) return this.#begin();
    if (this.#isStale) {
      return isReader
        ? this.#list({ mayBeStale: false })
        : this.#takeFromPeer();
    }
    return isReader ? this.#watch() : this.#untilWoken(signal);
  }

  /** Waits until this VM is to read, or to learn all objects anew. */
  #untilWoken(signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const wake = () => {
        signal.removeEventListener("abort", wake);
        resolve(true);
      };
      this.#wake = wake;
      signal.addEventListener("abort", wake);
    });
  }

  /**
   * The first list may be some seconds old: readers tell what has changed since.
   * With the store away a peer's knowledge serves.
   */
  async #begin(): Promise<boolean> {
    if (this.#failures % 2 === 1 && await this.#takeFromPeer()) return true;
    return this.#list({ mayBeStale: !this.#options.relay.isReader });
  }

  async #takeFromPeer(): Promise<boolean> {
    const { relay, prefix } = this.#options;
    const state = await relay.fetchSnapshot(prefix, this.#newsPeer);
    this.#newsPeer = undefined;
    // Nobody answers: the store does, or the next peer.
    if (state === undefined) {
      return this.#isListed ? this.#list({ mayBeStale: false }) : false;
    }
    this.#isStale = false;
    if (this.#isListed && state.position <= this.#position) return true;
    const objects = state.objects
      .map(([name, version, value]) => ({ name, version, value }));
    this.#replace(objects);
    this.#position = state.position;
    this.#knownTo = Math.max(this.#knownTo, state.position);
    return true;
  }

  async #list(options: { readonly mayBeStale: boolean }): Promise<boolean> {
    const { store, prefix, health, relay } = this.#options;
    const result = await store.list(prefix, {
      ...options,
      timeoutMs: LIST_TIMEOUT_MS,
      signal: this.#abort!.signal,
    });
    if (result.isErr()) return this.#failed(result.error);
    health.noteAnswer();
    this.#failures = 0;
    this.#isStale = false;
    const { objects, cursor } = result.value;
    const newest = Math.max(
      0,
      ...objects.map(({ version }) => Number(version)),
    );
    if (options.mayBeStale) {
      this.#replace(objects);
      // Objects may be older than the list's own position says.
      this.#position = newest;
      this.#knownTo = newest;
      return true;
    }
    const wasListed = this.#isListed;
    const fromPosition = this.#completeTo;
    const events = this.#replace(objects);
    this.#knownTo = Number(cursor);
    // The list's own position also rises with changes of other kinds, and peers
    // that listed a little earlier would seem to lack something.
    this.#position = Math.max(this.#position, newest);
    if (!wasListed || events.length === 0) return true;
    this.#position = this.#knownTo;
    const names = this.#table.names;
    const toPosition = this.#position;
    relay.publish(prefix, { fromPosition, toPosition, events, names });
    return true;
  }

  async #watch(): Promise<boolean> {
    const { store, prefix, health, relay } = this.#options;
    const cursor = this.#completeTo;
    const waitMs = this.#waitMs();
    const result = await store.watch(prefix, {
      cursor: String(cursor),
      waitMs,
      timeoutMs: waitMs + WATCH_SLACK_MS,
      signal: this.#abort!.signal,
    });
    // Asked to list anew meanwhile, or not to read any more: what came of the
    // watch is of no interest.
    if (this.#isStale || this.#abort!.signal.aborted) return true;
    if (result.isErr()) return this.#failed(result.error);
    health.noteAnswer();
    this.#failures = 0;
    const { events, reset } = result.value;
    if (reset) {
      this.#isStale = true;
      return true;
    }
    const toPosition = Number(result.value.cursor);
    this.#knownTo = Math.max(this.#knownTo, toPosition);
    if (events.length === 0) return true;
    // Nothing has changed between the last change known here and the watch's
    // begin, so peers that know as much can take these changes.
    const fromPosition = Math.min(cursor, this.#position);
    // A peer may have told these changes, and later ones, meanwhile.
    if (toPosition > this.#position) {
      this.#position = toPosition;
      this.#apply(events);
    }
    relay.publish(prefix, { fromPosition, toPosition, events });
    await timers.setTimeout(BATCH_PAUSE_MS);
    return true;
  }

  /** Makes the table equal to a list, and returns what that changed. */
  #replace(
    objects: readonly contracts.StoredObject[],
  ): readonly ObjectChange[] {
    const changes = this.#table.diff(objects);
    if (this.#isListed) {
      this.#apply(changes);
      return changes;
    }
    this.#isListed = true;
    for (const change of changes) this.#table.apply(change);
    this.#options.onList(objects);
    return changes;
  }

  #apply(changes: readonly ObjectChange[]): void {
    if (changes.length === 0) return;
    for (const change of changes) this.#table.apply(change);
    this.#options.onChanges(changes);
  }

  #waitMs(): number {
    const { random } = this.#options;
    return Math.round(WATCH_WAIT_MS * (0.5 + random.next() / 2));
  }

  #failed(error: contracts.StoreError): boolean {
    if (this.#abort!.signal.aborted) return true;
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
