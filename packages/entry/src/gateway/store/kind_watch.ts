/**
 * Keeps a copy of all objects with one prefix of the platform's store: readers
 * list and watch the store, all other VMs follow the changes that readers
 * relay.
 */
import type * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import { FailureLog } from "../../utils/failure_log.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import { type ObjectChange, ObjectTable } from "./object_table.ts";
import type { KindSnapshot } from "../peers/peer_messages.ts";
import type { StoreHealth } from "./store_health.ts";
import type {
  RelayedChanges,
  RelayedWatch,
  WatchRelay,
} from "./watch_relay.ts";

/** How this VM has learned of changes. */
export interface ChangeOrigin {
  /**
   * `watch` and `list`: from the store. `relay`: in a message of a peer. `peer`:
   * with all objects of a peer. `probe`: the health check has read the object.
   */
  readonly source: "watch" | "list" | "relay" | "peer" | "probe";
  /** The peer, unless this VM has read the changes from the store. */
  readonly from?: contracts.VmId | undefined;
  /** How old the changes are at most; undefined where it is not known. */
  readonly ageMs?: number | undefined;
  /** Time since this VM noticed that it lacked changes; undefined if it didn't. */
  readonly behindMs?: number | undefined;
}

/** Options of {@link KindWatch}. */
export interface KindWatchOptions {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  readonly prefix: string;
  readonly log: Logger;
  readonly clock: contracts.BoundedClock;
  readonly random: contracts.RandomSource;
  readonly relay: WatchRelay;
  /**
   * Whether VMs that are not readers make no first list: they take the objects
   * of a reader once one knows any. For objects that a VM can start without.
   */
  readonly isRare?: boolean;
  /**
   * Called with all objects of the first list. If it throws, the objects are
   * passed to `onChanges` one by one, and here again without those that throw.
   */
  readonly onList: (
    objects: readonly contracts.StoredObject[],
    origin: ChangeOrigin,
  ) => void;
  /**
   * Called with changes that were learned together, in their order. If it
   * throws, it gets them again one by one.
   */
  readonly onChanges: (
    changes: readonly ObjectChange[],
    origin: ChangeOrigin,
  ) => void;
}

/**
 * Interval at which one of a reader's watches ends. A watch may wait for 30 s,
 * and a reader has four at most.
 */
const WATCH_INTERVAL_MS = 7_000;
/**
 * The same at the first reader, which checks the store's position for all VMs:
 * answers may be lost, and a change has to be known within 2 s.
 */
const CHECK_INTERVAL_MS = 1_200;
/** Wait of a call that looks for changes that a waiting watch has missed. */
const CHECK_WAIT_MS = 50;
/**
 * Wait while answers of the store are lost or calls fail. Two readers that lose
 * a third of the answers, and notice that 250 ms later, still learn of a change
 * in time.
 */
const SHORT_WAIT_MS = 300;
/**
 * Pause after a batch of events. Changes come in groups, as when a service is
 * replaced, and each batch costs every reader one call.
 */
const BATCH_PAUSE_MS = 250;
/** An answer that takes longer is late, so the store is not steady. */
const LATE_ANSWER_MS = 250;
/** A watch call times out this long after its wait. */
const WATCH_TIMEOUT_SLACK_MS = 1_000;
/** Timeout of a list call: the store answers in a few milliseconds. */
const LIST_TIMEOUT_MS = 1_000;
const RETRY_MIN_MS = 60;
const RETRY_MAX_MS = 600;
/** A change that a peer knows may take this long to arrive over the watch. */
const WATCH_GRACE_MS = 250;
/**
 * Peers have this long to send the changes that this VM missed; then it fetches
 * all objects from one of them. A change has to be known within 2 s, and the
 * statuses that reveal it come every 300 ms.
 */
const RELAY_GRACE_MS = 400;
/** A VM that fetches objects from a peer lists the store after this time too. */
const PEER_GRACE_MS = 250;
/** Shortest interval between two requests for missed changes. */
const REQUEST_INTERVAL_MIN_MS = 150;

/** Lists and watches the objects of one prefix. */
export class KindWatch implements RelayedWatch {
  readonly #options: KindWatchOptions;
  readonly #errors: FailureLog;
  #lifeCycle: LifeCycle | undefined;
  readonly #table = new ObjectTable();
  /** Kept until the next change: many peers fetch the same one. */
  #snapshot: KindSnapshot | undefined;
  #isListed = false;
  /** Changes up to this position are known, also when there were none. */
  #knownPosition = 0;
  #position = 0;
  /**
   * At this time the store had no changes beyond the known ones; negative
   * infinity where it is not known.
   */
  #completeAtMs = Number.NEGATIVE_INFINITY;
  /** Whether all objects have to be listed or fetched again. */
  #isStale = true;
  #failures = 0;
  #abort: AbortController | undefined;
  /** When the waiting watch is to end. */
  #watchEndsAtMs = Number.NEGATIVE_INFINITY;
  /**
   * Highest position reported by peers, and since when it is ahead of this
   * VM's.
   */
  #peerPosition = 0;
  #behindSinceMs: number | undefined;
  #isCatchUpScheduled = false;
  #aheadPeer: contracts.VmId | undefined;
  #requestedAtMs = Number.NEGATIVE_INFINITY;
  /** Latest position of the store that any watch of this VM has seen. */
  #storePosition = 0;
  /** Whether a call looks for changes that the waiting watch has missed. */
  #isChecking = false;
  /** Whether the store is known to be ahead of the peers. */
  #isStoreAhead = false;
  /** Ends the wait of a VM that is not a reader. */
  #wake: () => void = () => {};

  constructor(options: KindWatchOptions) {
    this.#options = options;
    this.#errors = new FailureLog(options.log);
    options.relay.add(this);
  }

  get prefix(): string {
    return this.#options.prefix;
  }

  /** Position of the last change known to this VM. */
  get position(): number {
    return this.#position;
  }

  /** Position up to which no change is missing. */
  get #completePosition(): number {
    return Math.max(this.#position, this.#knownPosition);
  }

  object(name: string): contracts.StoredObject | undefined {
    return this.#table.get(name);
  }

  /**
   * All objects, for a peer that has none or missed changes; undefined before
   * the first list.
   */
  get snapshot(): KindSnapshot | undefined {
    if (!this.#isListed) return undefined;
    if (this.#snapshot?.position === this.#position) return this.#snapshot;
    const objects = this.#table.all
      .map(({ name, version, value }): [string, string, string] => [
        name,
        version,
        value,
      ]);
    return this.#snapshot = { position: this.#position, objects };
  }

  /** Starts to list and watch, until the life cycle ends. */
  start(lifeCycle: LifeCycle): void {
    this.#lifeCycle = lifeCycle;
    lifeCycle.signal.addEventListener("abort", () => this.#abort?.abort());
    // A watch that was waiting when the store became unreachable would go on
    // waiting, and changes made after the recovery would arrive seconds late.
    // One that ends soon is left alone: a store that loses some of its answers
    // is back again and again, and no call would come to its end.
    this.#options.health.onRecovered(() => this.#renewLongWatch());
    lifeCycle.runLoop(
      `watch of ${this.prefix}`,
      () => this.#run(lifeCycle.signal),
    );
  }

  notePeerPosition(position: number, peer: contracts.VmId): void {
    if (!this.#isListed) return this.#noteFirstObjects(position, peer);
    this.#peerPosition = Math.max(this.#peerPosition, position);
    const known = this.#completePosition;
    if (this.#peerPosition <= known) this.#behindSinceMs = undefined;
    // This peer may lack the changes as well, or this VM is catching up.
    if (position <= known || this.#isStale) return;
    this.#aheadPeer = peer;
    if (!this.#options.relay.isReader) this.#requestMissed(peer);
    this.#scheduleCatchUp();
  }

  /** Lists or fetches all objects unless the changes arrive meanwhile. */
  #scheduleCatchUp(): void {
    const { clock, relay } = this.#options;
    this.#behindSinceMs ??= clock.nowMs();
    if (this.#isCatchUpScheduled) return;
    this.#isCatchUpScheduled = true;
    const catchUp = () => {
      this.#isCatchUpScheduled = false;
      const isBehind = this.#peerPosition > this.#completePosition;
      if (isBehind && !this.#isStale) {
        this.#relist("peers know newer changes");
      }
    };
    const delayMs = relay.isReader ? WATCH_GRACE_MS : RELAY_GRACE_MS;
    this.#lifeCycle?.after(delayMs, catchUp, `catch-up of ${this.prefix}`);
  }

  /** Wakes a VM that waits for rare objects when a peer has some. */
  #noteFirstObjects(position: number, peer: contracts.VmId): void {
    if (!this.#options.isRare || position === 0) return;
    this.#aheadPeer = peer;
    this.#wake();
  }

  applyRelayed(changes: RelayedChanges, from: contracts.VmId): void {
    const { fromPosition, toPosition, events, names, madeAfterMs } = changes;
    if (!this.#isListed || toPosition <= this.#position) return;
    if (events === undefined) {
      this.#aheadPeer = from;
      this.#peerPosition = Math.max(this.#peerPosition, toPosition);
      if (!this.#isStale) this.#relist("changes are not told");
      return;
    }
    if (fromPosition > this.#completePosition) {
      return this.#requestMissed(from);
    }
    const missing = names === undefined
      ? []
      : this.#table.deletionsExcept(names);
    // Changes up to this VM's position are applied again, in their order: the
    // last change of each object prevails.
    this.#apply([...events, ...missing], toPosition, {
      source: "relay",
      from,
      ageMs: this.#ageMs(madeAfterMs),
    });
    this.#position = toPosition;
    this.#knownPosition = Math.max(this.#knownPosition, toPosition);
  }

  /**
   * Requests missed changes from a peer, at a limited rate, as every peer
   * reports positions.
   */
  #requestMissed(peer: contracts.VmId): void {
    const { clock, relay, prefix } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs - this.#requestedAtMs < REQUEST_INTERVAL_MIN_MS) return;
    this.#requestedAtMs = nowMs;
    relay.requestChanges(prefix, this.#completePosition, peer);
  }

  onRoleChange(): void {
    this.#abort?.abort();
    this.#wake();
  }

  renewWatch(): void {
    if (this.#isWatching) this.#abort?.abort();
  }

  /** Repeats the waiting watch unless it ends soon anyway. */
  #renewLongWatch(): void {
    const leftMs = this.#watchEndsAtMs - this.#options.clock.nowMs();
    if (leftMs > SHORT_WAIT_MS) this.renewWatch();
  }

  get #isWatching(): boolean {
    return this.#isListed && !this.#isStale && this.#options.relay.isReader;
  }

  noteStorePosition(position: number, atMs: number): void {
    if (position <= this.#completePosition) this.#noteComplete(atMs);
    const isKnown = position <=
      Math.max(this.#storePosition, this.#completePosition);
    this.#storePosition = Math.max(this.#storePosition, position);
    if (!isKnown && !this.#options.isRare) this.#checkForChanges();
  }

  /** Notes an object that this VM has read itself; it may be an old one. */
  noteStoredObject({ version }: contracts.StoredObject): void {
    const position = Number(version);
    if (!this.#isListed || position <= this.#completePosition) return;
    if (this.#options.relay.isReader) return this.#checkForChanges();
    const catchUp = () => {
      if (position <= this.#completePosition || this.#isStale) return;
      this.#isStoreAhead = true;
      this.#relist("the store knows newer changes");
    };
    // Readers are probably about to relay it.
    this.#lifeCycle?.after(
      WATCH_GRACE_MS,
      catchUp,
      `catch-up of ${this.prefix}`,
    );
  }

  /**
   * Asks the store for changes that the waiting watch should have returned, and
   * repeats that watch if there are any: its connection has probably lost them.
   */
  #checkForChanges(): void {
    if (this.#isChecking || !this.#isWatching) return;
    this.#isChecking = true;
    const checking = this.#readMissed().finally(() => this.#isChecking = false);
    this.#lifeCycle?.detach(`check of ${this.prefix}`, checking);
  }

  async #readMissed(): Promise<void> {
    const { store, prefix, health, clock } = this.#options;
    const cursor = this.#completePosition;
    const sentAtMs = clock.nowMs();
    const call = health.startCall();
    const result = await store.watch(prefix, {
      cursor: String(cursor),
      waitMs: CHECK_WAIT_MS,
      timeoutMs: LIST_TIMEOUT_MS,
    });
    call.noteResult(result);
    if (!this.#isWatching) return;
    if (result.isErr()) return this.#renewLongWatch();
    const { events, reset } = result.value;
    this.#storePosition = Math.max(
      this.#storePosition,
      Number(result.value.cursor),
    );
    if (!reset) {
      const madeAfterMs = this.#completeAtMs;
      this.#applyWatched(cursor, result.value, madeAfterMs);
      this.#noteComplete(sentAtMs);
    }
    if (events.length > 0 || reset) this.renewWatch();
  }

  /** Lists or fetches all objects again. */
  #relist(reason: string): void {
    const { log, prefix } = this.#options;
    log.info("Lists all objects again.", {
      prefix,
      reason,
      position: this.#position,
    });
    this.#isStale = true;
    this.#abort?.abort();
    this.#wake();
  }

  async #run(signal: AbortSignal): Promise<void> {
    this.#abort = new AbortController();
    const isDone = await this.#step(signal);
    if (!isDone && !signal.aborted) await this.#backOff();
  }

  #step(signal: AbortSignal): Promise<boolean> {
    const { isReader } = this.#options.relay;
    if (!this.#isListed) return this.#listFirst(signal);
    if (this.#isStale) {
      return isReader || this.#isStoreAhead
        ? this.#list({ mayBeStale: false })
        : this.#catchUp();
    }
    return isReader ? this.#watch() : this.#untilWoken(signal);
  }

  /**
   * Waits until this VM becomes a reader, or has to fetch all objects again.
   */
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
   * Gets the first list. It may be some seconds old, as readers send what has
   * changed since. Alternates between the store and a peer after failures.
   */
  async #listFirst(signal: AbortSignal): Promise<boolean> {
    if (this.#options.isRare && !this.#options.relay.isReader) {
      return this.#aheadPeer === undefined
        ? this.#untilWoken(signal)
        : this.#fetchFromPeer();
    }
    if (this.#failures % 2 === 1 && await this.#fetchFromPeer()) return true;
    return this.#list({ mayBeStale: !this.#options.relay.isReader });
  }

  /**
   * Fetches all objects from a peer, and lists the store as well if that fails
   * or takes long.
   */
  async #catchUp(): Promise<boolean> {
    const abort = this.#abort!;
    const fetching = this.#fetchFromPeer();
    const isFetched = await Promise.race([
      fetching,
      timers.setTimeout(PEER_GRACE_MS),
    ]);
    if (isFetched === true || abort.signal.aborted) return true;
    const listing = this.#list({ mayBeStale: false });
    const isDone = isFetched === false
      ? await listing
      : await isAnyTrue([fetching, listing]);
    abort.abort();
    return isDone;
  }

  /**
   * Resolves to whether a peer has sent as much as any peer is known to have.
   */
  async #fetchFromPeer(): Promise<boolean> {
    const { relay, prefix } = this.#options;
    const { signal } = this.#abort!;
    const from = this.#aheadPeer;
    this.#aheadPeer = undefined;
    const snapshot = await relay.fetchSnapshot(prefix, from);
    if (snapshot === undefined || signal.aborted) return false;
    const { position } = snapshot;
    const isNewer = !this.#isListed || position > this.#position;
    if (isNewer) {
      const objects = snapshot.objects
        .map(([name, version, value]) => ({ name, version, value }));
      this.#replace(objects, position, { source: "peer", from });
      this.#position = position;
      this.#knownPosition = Math.max(this.#knownPosition, position);
    }
    if (this.#completePosition < this.#peerPosition) return false;
    this.#isStale = false;
    return true;
  }

  async #list(options: { readonly mayBeStale: boolean }): Promise<boolean> {
    const { store, prefix, health, relay, clock } = this.#options;
    const { signal } = this.#abort!;
    const sentAtMs = clock.nowMs();
    const call = health.startCall();
    const result = await store.list(prefix, {
      ...options,
      timeoutMs: LIST_TIMEOUT_MS,
      signal,
    });
    if (signal.aborted) return true;
    call.noteResult(result);
    if (result.isErr()) return this.#noteFailure();
    this.#failures = 0;
    this.#isStale = false;
    this.#isStoreAhead = false;
    const { objects } = result.value;
    const listedPosition = Number(result.value.cursor);
    // Peers have sent later changes meanwhile, which this list would revert.
    if (this.#isListed && listedPosition < this.#position) return true;
    const wasListed = this.#isListed;
    const fromPosition = this.#completePosition;
    const madeAfterMs = this.#completeAtMs;
    const events = this.#replace(objects, listedPosition, {
      source: "list",
      ageMs: this.#ageMs(madeAfterMs),
    });
    this.#knownPosition = listedPosition;
    if (!options.mayBeStale) this.#noteComplete(sentAtMs);
    // The cursor of a list also rises with changes of other prefixes, and peers
    // that listed a little earlier would seem to lack changes. Objects of later
    // pages may be newer than the cursor.
    const newestPosition = Math.max(
      0,
      ...objects.map(({ version }) => Number(version)),
    );
    this.#position = Math.max(
      this.#position,
      Math.min(newestPosition, listedPosition),
    );
    if (options.mayBeStale) return true;
    if (!wasListed || events.length === 0) return true;
    this.#position = this.#knownPosition;
    const names = this.#table.names;
    const toPosition = this.#position;
    relay.publish(prefix, {
      fromPosition,
      toPosition,
      events,
      names,
      madeAfterMs,
    });
    return true;
  }

  async #watch(): Promise<boolean> {
    const { store, prefix, health, relay, clock } = this.#options;
    const cursor = this.#completePosition;
    const waitMs = this.#planWaitMs();
    const sentAtMs = clock.nowMs();
    this.#watchEndsAtMs = sentAtMs + waitMs;
    const call = health.startCall();
    const result = await store.watch(prefix, {
      cursor: String(cursor),
      waitMs,
      timeoutMs: waitMs + WATCH_TIMEOUT_SLACK_MS,
      signal: this.#abort!.signal,
    });
    this.#watchEndsAtMs = Number.NEGATIVE_INFINITY;
    relay.schedule.remove(prefix);
    // Drops the result if this VM now has to list again, or is no longer a
    // reader.
    if (this.#isStale || this.#abort!.signal.aborted) return true;
    call.noteResult(result);
    if (result.isErr()) return this.#noteFailure();
    this.#failures = 0;
    if (result.value.reset) {
      this.#isStale = true;
      return true;
    }
    const asOfMs = this.#asOfMs(sentAtMs, waitMs);
    // A watch that has waited found no changes when it began.
    const hasWaited = asOfMs > sentAtMs;
    const madeAfterMs = hasWaited ? asOfMs : this.#completeAtMs;
    this.#applyWatched(cursor, result.value, madeAfterMs);
    this.#noteComplete(asOfMs);
    if (result.value.events.length > 0) {
      await timers.setTimeout(BATCH_PAUSE_MS);
    } else if (relay.isFirstReader) {
      relay.noteStorePosition(Number(result.value.cursor), asOfMs);
    }
    return true;
  }

  /**
   * The earliest time at which the store can have made an answer that arrives
   * now. While it is steady no answer is late but one that comes after the wait,
   * as it may be that of a call that repeats a lost one, and one that may have
   * waited in a suspension of the machine.
   */
  #asOfMs(sentAtMs: number, waitMs: number): number {
    const { relay, clock } = this.#options;
    const maxElapsedMs = clock.maxElapsedMs(sentAtMs);
    const nowMs = clock.nowMs();
    const isLate = nowMs - sentAtMs >= waitMs + LATE_ANSWER_MS ||
      maxElapsedMs > nowMs - sentAtMs;
    if (isLate || !relay.isStoreSteady) return sentAtMs;
    return Math.max(sentAtMs, nowMs - LATE_ANSWER_MS);
  }

  #noteComplete(atMs: number): void {
    this.#completeAtMs = Math.max(this.#completeAtMs, atMs);
  }

  /** Longest age of changes made after a time; undefined if unknown. */
  #ageMs(madeAfterMs: number): number | undefined {
    return Number.isFinite(madeAfterMs)
      ? Math.round(this.#options.clock.maxElapsedMs(madeAfterMs))
      : undefined;
  }

  /** Applies and relays what a watch from `cursor` on has returned. */
  #applyWatched(
    cursor: number,
    result: contracts.WatchBatch,
    madeAfterMs: number,
  ): void {
    const { relay, prefix } = this.#options;
    let events: readonly ObjectChange[] = result.events;
    const toPosition = Number(result.cursor);
    this.#knownPosition = Math.max(this.#knownPosition, toPosition);
    if (events.length === 0) return;
    // Nothing has changed between the last change known here and the start of
    // the watch, so peers that know as much can apply these changes.
    let fromPosition = Math.min(cursor, this.#position);
    // A peer may have sent these changes, and later ones, meanwhile.
    if (toPosition > this.#position) {
      this.#position = toPosition;
      // Peers that know the changes that are left out can apply the others.
      fromPosition = Math.max(fromPosition, this.#knownUpTo(events));
      const ageMs = this.#ageMs(madeAfterMs);
      events = this.#apply(events, toPosition, { source: "watch", ageMs });
    }
    relay.publish(prefix, { fromPosition, toPosition, events, madeAfterMs });
  }

  /** Position of the last of the changes that is known already; 0 for none. */
  #knownUpTo(changes: readonly ObjectChange[]): number {
    const known = changes.filter((change) => this.#table.knows(change));
    return Math.max(0, ...known.map(({ object }) => Number(object!.version)));
  }

  /**
   * Makes the table equal to a list of all changes up to a position, and returns
   * the changes.
   */
  #replace(
    objects: readonly contracts.StoredObject[],
    position: number,
    origin: ChangeOrigin,
  ): readonly ObjectChange[] {
    const changes = this.#table.diff(objects);
    if (this.#isListed) return this.#apply(changes, position, origin);
    this.#isListed = true;
    this.#table.apply(changes, position);
    this.#notifyList(objects, origin);
    return changes;
  }

  /** One object that the listener fails on must not hide the others. */
  #notifyList(
    objects: readonly contracts.StoredObject[],
    origin: ChangeOrigin,
  ): void {
    const { onList } = this.#options;
    try {
      onList(objects, origin);
    } catch (error) {
      this.#errors.note(`list of ${this.prefix}`, error);
      const usable = objects.filter((object) =>
        this.#notifyOne({ name: object.name, object }, origin)
      );
      // Where all fail, the listener does, and an empty list would say that
      // there are no objects.
      if (usable.length === 0) return;
      this.#errors.guard(
        `list of ${this.prefix}`,
        () => onList(usable, origin),
      );
    }
  }

  #notifyChanges(changes: readonly ObjectChange[], origin: ChangeOrigin): void {
    try {
      this.#options.onChanges(changes, origin);
    } catch (error) {
      this.#errors.note(`changes of ${this.prefix}`, error);
      if (changes.length === 1) return;
      for (const change of changes) this.#notifyOne(change, origin);
    }
  }

  /** Returns whether the listener could use the change. */
  #notifyOne(change: ObjectChange, origin: ChangeOrigin): boolean {
    try {
      this.#options.onChanges([change], origin);
      return true;
    } catch (error) {
      this.#options.log.error("Can't use a change.", {
        name: change.name,
        error: String(error),
      });
      return false;
    }
  }

  /**
   * Applies changes up to a position; returns those that were applied, with the
   * objects before.
   */
  #apply(
    changes: readonly ObjectChange[],
    position: number,
    origin: ChangeOrigin,
  ): readonly ObjectChange[] {
    const applied = this.#table.apply(changes, position);
    if (applied.length === 0) return applied;
    this.#snapshot = undefined;
    const behindMs = this.#behindSinceMs === undefined
      ? undefined
      : Math.round(this.#options.clock.nowMs() - this.#behindSinceMs);
    this.#notifyChanges(applied, { ...origin, behindMs });
    return applied;
  }

  #planWaitMs(): number {
    const { relay, prefix, isRare, clock } = this.#options;
    const { isStoreSteady } = relay;
    if (!isStoreSteady && !isRare) return SHORT_WAIT_MS;
    // While the store isn't steady, the short waits check its position.
    const intervalMs = relay.isFirstReader && isStoreSteady
      ? CHECK_INTERVAL_MS
      : WATCH_INTERVAL_MS;
    return relay.schedule.plan(prefix, clock.nowMs(), intervalMs);
  }

  #noteFailure(): boolean {
    this.#failures++;
    return false;
  }

  async #backOff(): Promise<void> {
    const backoffMs = Math.min(
      RETRY_MAX_MS,
      RETRY_MIN_MS * 2 ** Math.min(8, this.#failures),
    );
    // Jitter keeps the VMs from calling a store that has just recovered all at
    // once.
    await timers.setTimeout(
      backoffMs * (0.5 + this.#options.random.next() / 2),
    );
  }
}

/** Resolves to true as soon as one of the promises does; else to false. */
async function isAnyTrue(
  promises: readonly Promise<boolean>[],
): Promise<boolean> {
  const rejectUnlessTrue = (isTrue: boolean) =>
    isTrue ? Promise.resolve() : Promise.reject(new Error("False"));
  return await Promise.any(
    promises.map((promise) => promise.then(rejectUnlessTrue)),
  ).then(() => true, () => false);
}
