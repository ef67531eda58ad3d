/**
 * Lets a few VMs, the readers, watch the platform's store for the whole
 * deployment. A reader sends each change to its own cell and to one VM of every
 * other cell, which relays it to its cell.
 */
import * as contracts from "@guavatide/contracts";
import * as cells from "@guavatide/decisions/cells/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import { ChangeBuffer, type RelayedChanges } from "./change_buffer.ts";
import type { ObjectChange } from "./object_table.ts";
import type { PeerRpc } from "../peers/peer_rpc.ts";
import { encodeIfDecodable } from "../peers/peer_codec.ts";
import type { GossipIdentity, PeerGossip } from "../peers/peer_gossip.ts";
import * as messages from "../peers/peer_messages.ts";
import type { StoreHealth } from "./store_health.ts";
import { applyPatch, createPatch } from "./value_patch.ts";
import { WatchSchedule } from "./watch_schedule.ts";

export type { RelayedChanges } from "./change_buffer.ts";

/** Options of {@link WatchRelay}. */
export interface WatchRelayOptions {
  readonly self: GossipIdentity;
  readonly gossip: PeerGossip;
  readonly rpc: PeerRpc;
  readonly health: StoreHealth;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.BoundedClock;
  readonly log: Logger;
  /** Whether this VM is a seed: other VMs contact it first when they join. */
  readonly isSeed: boolean;
  readonly isLeaving: () => boolean;
  /** Makes a call to the store; resolves to whether it answered. */
  readonly probeStore: () => Promise<boolean>;
}

/** The watch of one prefix, as the relay sees it. */
export interface RelayedWatch {
  readonly prefix: string;
  /** Position of the last change known to this VM. */
  readonly position: number;
  /** The object of a name, as this VM knows it. */
  object(name: string): contracts.StoredObject | undefined;
  /** All objects; undefined before the first list. */
  readonly snapshot: messages.KindSnapshot | undefined;
  /** Applies changes that the peer `from` has sent. */
  applyRelayed(changes: RelayedChanges, from: contracts.VmId): void;
  /** Notes that a peer knows all changes up to a position. */
  notePeerPosition(position: number, peer: contracts.VmId): void;
  /**
   * Notes the store's position at a time; changes of any prefix advance it.
   */
  noteStorePosition(position: number, atMs: number): void;
  /** Repeats the watch of the store: how long it is to wait has changed. */
  renewWatch(): void;
  /** Called when this VM has become a reader, or has ceased to be one. */
  onRoleChange(): void;
}

/** Interval of reviews of whether this VM is to be a reader. */
const REVIEW_INTERVAL_MS = 100;
/** The ranking of the candidates is cached for this long. */
const RANKING_TTL_MS = 500;
/** A store counts as steady after this time without a failed call or lost answer. */
const STEADY_AFTER_MS = 5_000;
/** VMs that have just started have listed the store, and elect readers. */
const CHECK_MIN_UPTIME_MS = 5_000;
/** Interval of a reader's heartbeats to all cells. */
const READER_HEARTBEAT_MS = 300;
/**
 * A reader repeats its positions this long after it has sent changes, so that a
 * VM that missed them need not wait for the next heartbeat.
 */
const POSITIONS_DELAY_MS = 100;
/**
 * Largest message, in bytes. A datagram is lost when one of its packets is;
 * when the changes are larger, as when a thousand routes are added, each VM
 * fetches all objects from a peer.
 */
const MAX_MESSAGE_BYTES = 24_000;
/**
 * Registrations compress to less than a fourth. Larger changes are not encoded
 * for a single peer, as that takes milliseconds.
 */
const MAX_ENCODED_CHARACTERS = 4 * MAX_MESSAGE_BYTES;
/** Longer messages are not encoded, as that takes milliseconds. */
const MAX_MESSAGE_CHARACTERS = 400_000;
const SNAPSHOT_METHOD = "kindState";

/**
 * Relays changes of the store between VMs, and takes part in the election of
 * the readers.
 */
export class WatchRelay {
  /** When the watches of this VM end, while it is a reader. */
  readonly schedule = new WatchSchedule();
  readonly #options: WatchRelayOptions;
  readonly #ranking: grants.VmRanking;
  readonly #election: cells.ReaderElection;
  readonly #watches = new Map<string, RelayedWatch>();
  readonly #buffers = new Map<string, ChangeBuffer>();
  readonly #encodedEvents = new WeakMap<ObjectChange, EncodedEvent>();
  #rankedVms: readonly contracts.VmId[] = [];
  #rankedAtMs = Number.NEGATIVE_INFINITY;
  #startedAtMs = 0;
  #isProbing = false;
  #lifeCycle: LifeCycle | undefined;
  /** Set while positions wait to be sent after changes. */
  #positionsTimer: NodeJS.Timeout | undefined;
  /** Results of the last review. */
  #wasFirstReader = false;
  #wasStoreSteady = true;

  constructor(options: WatchRelayOptions) {
    this.#options = options;
    const { gossip, rpc, hasher, self } = options;
    this.#ranking = new grants.VmRanking(hasher, () => gossip.roleWeights);
    this.#election = new cells.ReaderElection(self.vm);
    gossip.on(
      messages.CHANGES_METHOD,
      messages.storeChangesSchema,
      (changes) => this.#handleChanges(changes),
    );
    gossip.on(
      messages.CHANGES_REQUEST_METHOD,
      messages.changesRequestSchema,
      (request) => this.#sendMissedChanges(request),
    );
    gossip.onGuarded(
      messages.READER_METHOD,
      messages.isReaderStatus,
      (status) => this.#handleReaderStatus(status),
    );
    rpc.on(SNAPSHOT_METHOD, (prefix) => this.#watches.get(prefix)?.snapshot);
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#lifeCycle = lifeCycle;
    this.#startedAtMs = this.#options.clock.nowMs();
    lifeCycle.every(
      REVIEW_INTERVAL_MS,
      () => this.#review(),
      "election of readers",
    );
    lifeCycle.every(
      READER_HEARTBEAT_MS,
      () => this.#broadcastReaderStatus(),
      "status of a reader",
    );
  }

  /** Whether this VM watches the store itself. */
  get isReader(): boolean {
    return this.#election.isReader;
  }

  /** Whether this VM is the one of the active readers that checks the store. */
  get isFirstReader(): boolean {
    const { self, clock } = this.#options;
    const nowMs = clock.nowMs();
    const mayCheck = this.#isHealthyReader &&
      nowMs - this.#startedAtMs >= CHECK_MIN_UPTIME_MS;
    return mayCheck &&
      this.#election.activeReaders(nowMs).every(({ vm }) => self.vm < vm);
  }

  /** Whether the store has answered all readers in time for a while. */
  get isStoreSteady(): boolean {
    const { health, clock } = this.#options;
    const nowMs = clock.nowMs();
    return health.healthyMs >= STEADY_AFTER_MS &&
      this.#election.activeReaders(nowMs).every(({
        receivedAtMs,
        storeCalmMs,
      }) => storeCalmMs + nowMs - receivedAtMs >= STEADY_AFTER_MS);
  }

  /** How long, in ms, the store has answered a reader without a failure. */
  get storeHealthyMs(): number {
    const { health, clock } = this.#options;
    const ownHealthyMs = this.isReader && health.isReachable
      ? health.healthyMs
      : 0;
    return Math.max(ownHealthyMs, this.#election.storeHealthyMs(clock.nowMs()));
  }

  /** Registers the watch of a prefix. */
  add(watch: RelayedWatch): void {
    this.#watches.set(watch.prefix, watch);
  }

  /** Sends changes that this VM has read to all VMs. */
  publish(prefix: string, changes: RelayedChanges): void {
    this.#buffer(prefix, changes);
    const message = this.#encode(prefix, changes);
    this.#options.gossip.broadcast(messages.CHANGES_METHOD, message);
    const sendPositions = () => {
      this.#positionsTimer = undefined;
      this.#broadcastReaderStatus();
    };
    this.#positionsTimer ??= this.#lifeCycle?.after(
      POSITIONS_DELAY_MS,
      sendPositions,
      "positions of a reader",
    );
  }

  /**
   * Passes the position that the store had at a time on to the watches of all
   * prefixes.
   */
  noteStorePosition(position: number, atMs: number): void {
    for (const watch of this.#watches.values()) {
      watch.noteStorePosition(position, atMs);
    }
  }

  /** Requests the changes after a position from a peer. */
  requestChanges(prefix: string, cursor: number, peer: contracts.VmId): void {
    const { gossip, self: { vm } } = this.#options;
    gossip.send(messages.CHANGES_REQUEST_METHOD, { vm, prefix, cursor }, [
      peer,
    ]);
  }

  /**
   * Fetches all objects with a prefix from a peer, a random one if `peer` is
   * not up; undefined without an answer.
   */
  async fetchSnapshot(
    prefix: string,
    peer: contracts.VmId | undefined,
  ): Promise<messages.KindSnapshot | undefined> {
    const { gossip, rpc, log } = this.#options;
    const address = gossip.live.find(({ vm }) => vm === peer) ??
      gossip.randomPeer();
    if (address === undefined) return undefined;
    const result = await rpc.call(address, {
      method: SNAPSHOT_METHOD,
      name: prefix,
      resultSchema: messages.kindSnapshotSchema,
    });
    const fields = { prefix, peer: address.vm };
    if (result.isErr()) {
      log.warn("Fetching objects from a peer failed.", {
        ...fields,
        reason: result.error.message,
      });
      return undefined;
    }
    const { position, objects } = result.value;
    log.info("Fetched all objects from a peer.", {
      ...fields,
      position,
      objects: objects.length,
    });
    return result.value;
  }

  get #isHealthyReader(): boolean {
    const { health, isLeaving } = this.#options;
    return this.isReader && health.isReachable && !isLeaving();
  }

  // Election of readers

  #review(): void {
    if (this.#options.isLeaving()) return;
    this.#reviewWatches();
    if (this.#isProbing) return;
    const wasReader = this.isReader;
    const step = this.#election.review(this.#view());
    if (step === "try") {
      this.#lifeCycle?.detach("probe of a reader", this.#probeStore());
    } else if (wasReader !== this.isReader) this.#notifyRoleChange();
  }

  /** Repeats waiting watches that would now wait for a shorter time. */
  #reviewWatches(): void {
    const { isFirstReader, isStoreSteady } = this;
    const isNewlyFirst = isFirstReader && !this.#wasFirstReader;
    const isNewlyUnsteady = !isStoreSteady && this.#wasStoreSteady;
    this.#wasFirstReader = isFirstReader;
    this.#wasStoreSteady = isStoreSteady;
    if (!this.isReader) return;
    for (const watch of this.#watches.values()) {
      if (isNewlyUnsteady || isNewlyFirst) watch.renewWatch();
    }
  }

  #view(): cells.ReaderView {
    const { gossip, health, clock, isSeed } = this.#options;
    const nowMs = clock.nowMs();
    return {
      nowMs,
      uptimeMs: nowMs - this.#startedAtMs,
      hasStore: health.isReachable,
      ranking: this.#rankedCandidates(nowMs),
      isSeed: isSeed || gossip.seedCount === 0,
    };
  }

  /** VMs that may be readers, ranked; the ranking is cached. */
  #rankedCandidates(nowMs: number): readonly contracts.VmId[] {
    if (nowMs - this.#rankedAtMs < RANKING_TTL_MS) return this.#rankedVms;
    const { gossip, self } = this.#options;
    const reachable = gossip.live.filter(({ hasStore }) => hasStore);
    this.#rankedAtMs = nowMs;
    this.#rankedVms = cells.rankReaders(
      [self, ...reachable],
      (vms) => this.#ranking.rank("readers", [...vms].sort()),
    );
    return this.#rankedVms;
  }

  async #probeStore(): Promise<void> {
    const { probeStore, log } = this.#options;
    this.#isProbing = true;
    let isReached = false;
    try {
      isReached = await probeStore();
    } catch (error) {
      log.error("Probing the store failed.", { error: String(error) });
    } finally {
      this.#isProbing = false;
    }
    this.#election.noteAttempt(isReached, this.#view());
    if (this.isReader) this.#notifyRoleChange();
  }

  #notifyRoleChange(): void {
    const { log, gossip, clock } = this.#options;
    log.info(
      this.isReader
        ? "Became a reader of the store."
        : "No longer a reader of the store.",
      {
        peers: gossip.vmCount,
        readers: this.#election.activeReaders(clock.nowMs()).map(({ vm }) => vm)
          .join(),
      },
    );
    for (const watch of this.#watches.values()) watch.onRoleChange();
    this.#broadcastReaderStatus();
  }

  #broadcastReaderStatus(): void {
    const { gossip, health, isLeaving, self: { vm } } = this.#options;
    if (!this.isReader || isLeaving()) return;
    const positions = Object.fromEntries(
      [...this.#watches].map(([prefix, { position }]) => [prefix, position]),
    );
    const storeCalmMs = capHealthyMs(health.healthyMs);
    const status: messages.ReaderStatus = {
      vm,
      storeCalmMs,
      positions,
      ...(health.isReachable ? {} : { isCutOff: true }),
    };
    gossip.broadcast(messages.READER_METHOD, status);
  }

  #handleReaderStatus(
    { vm, storeCalmMs, positions, isCutOff }: messages.ReaderStatus,
  ): void {
    const receivedAtMs = this.#options.clock.nowMs();
    if (!isCutOff) {
      this.#election.noteReader({ vm, receivedAtMs, storeCalmMs });
    }
    for (const [prefix, position] of Object.entries(positions)) {
      this.#watches.get(prefix)?.notePeerPosition(position, vm);
    }
  }

  // Changes

  #buffer(prefix: string, changes: RelayedChanges): void {
    const buffer = this.#buffers.get(prefix) ?? new ChangeBuffer();
    this.#buffers.set(prefix, buffer);
    buffer.add(changes);
  }

  #encode(prefix: string, changes: RelayedChanges): messages.StoreChanges {
    const { vm } = this.#options.self;
    const message: messages.StoreChanges = {
      vm,
      prefix,
      fromCursor: changes.fromPosition,
      toCursor: changes.toPosition,
      events: changes.events?.map((change) => this.#encodeEvent(change)) ??
        null,
      names: changes.names === undefined ? null : [...changes.names],
      // Peers count their grace from the change itself.
      ageMs: encodeAgeMs(
        this.#options.clock.maxElapsedMs(changes.madeAfterMs),
      ),
    };
    return fitsMessage(message)
      ? message
      : { ...message, events: null, names: null };
  }

  /** Encodes a change once: many VMs may request the same one. */
  #encodeEvent(change: ObjectChange): EncodedEvent {
    const known = this.#encodedEvents.get(change);
    if (known !== undefined) return known;
    const { name, object, previous } = change;
    const encoded: EncodedEvent = [
      name,
      object === undefined ? null : encodeObject(object, previous),
    ];
    this.#encodedEvents.set(change, encoded);
    return encoded;
  }

  #send(
    prefix: string,
    changes: RelayedChanges,
    peer: contracts.VmId,
  ): void {
    const message = this.#encode(prefix, changes);
    this.#options.gossip.send(messages.CHANGES_METHOD, message, [peer]);
  }

  #handleChanges(message: messages.StoreChanges): void {
    const { vm, prefix, fromCursor, toCursor, names, ageMs = 0 } = message;
    const watch = this.#watches.get(prefix);
    // Each reader sends every change; decoding a large one takes milliseconds.
    if (watch === undefined || toCursor <= watch.position) return;
    const events = message.events === null
      ? undefined
      : decodeEvents(message.events, watch);
    if (message.events !== null && events === undefined) {
      return watch.notePeerPosition(toCursor, vm);
    }
    const changes: RelayedChanges = {
      fromPosition: fromCursor,
      toPosition: toCursor,
      events,
      ...(names === null ? {} : { names }),
      madeAfterMs: ageMs < MAX_AGE_MS
        ? this.#options.clock.nowMs() - ageMs
        : Number.NEGATIVE_INFINITY,
    };
    this.#buffer(prefix, changes);
    watch.applyRelayed(changes, vm);
  }

  /**
   * Sends a peer the changes that it missed: the buffered ones, or those that
   * the objects known here show.
   */
  #sendMissedChanges({ vm, prefix, cursor }: messages.ChangesRequest): void {
    const missed = this.#buffers.get(prefix)?.after(cursor) ?? [];
    const watch = this.#watches.get(prefix);
    if (watch === undefined || watch.position <= cursor) return;
    const isWhole = missed.length > 0 &&
      missed.every(({ fromPosition, events }, index) =>
        events !== undefined &&
        fromPosition <= (missed[index - 1]?.toPosition ?? cursor)
      );
    if (isWhole) {
      for (const batch of missed) this.#send(prefix, batch, vm);
      return;
    }
    const { snapshot } = watch;
    if (snapshot === undefined) return;
    this.#send(prefix, changesSince(cursor, snapshot), vm);
  }
}

/**
 * The objects changed after a position, and the names of all of them; without
 * both when they are too large for a message.
 */
function changesSince(
  fromPosition: number,
  { position, objects }: messages.KindSnapshot,
): RelayedChanges {
  const range = {
    fromPosition,
    toPosition: position,
    madeAfterMs: Number.NEGATIVE_INFINITY,
  };
  const changed = objects.filter(([, version]) =>
    Number(version) > fromPosition
  );
  const names = objects.map(([name]) => name);
  const values = changed.map(([, , value]) => value);
  const characters = [...names, ...values]
    .reduce((total, { length }) => total + length, 0);
  if (characters > MAX_ENCODED_CHARACTERS) {
    return { ...range, events: undefined };
  }
  const events = changed.map(([name, version, value]) => ({
    name,
    object: { name, version, value },
  }));
  return { ...range, events, names };
}

/** An age that is sent for older changes, and where none is known. */
const MAX_AGE_MS = 60_000;

function encodeAgeMs(ageMs: number): number {
  return Math.min(MAX_AGE_MS, Math.max(0, Math.round(ageMs)));
}

/** Limit of the reported healthy time; no VM distinguishes longer times. */
const MAX_HEALTHY_MS = 60_000;

function capHealthyMs(healthyMs: number): number {
  return Math.min(MAX_HEALTHY_MS, Math.floor(healthyMs));
}

/** Shorter values are sent whole. */
const PATCH_MIN_LENGTH = 4_000;

type EncodedEvent = NonNullable<messages.StoreChanges["events"]>[number];

/** Whether peers receive and decode a message. */
function fitsMessage(message: messages.StoreChanges): boolean {
  let characters = 0;
  for (const [name, object] of message.events ?? []) {
    characters += name.length + charactersOf(object);
  }
  for (const name of message.names ?? []) characters += name.length;
  if (characters > MAX_MESSAGE_CHARACTERS) return false;
  const bytes = encodeIfDecodable(messages.CHANGES_METHOD, message);
  return bytes !== undefined && bytes.length <= MAX_MESSAGE_BYTES;
}

/** Characters of a whole value, or of the new parts of a patch. */
function charactersOf(object: EncodedEvent[1]): number {
  if (object === null) return 0;
  const [, encoded] = object;
  if (typeof encoded === "string") return encoded.length;
  return encoded.patch.reduce(
    (total, part) => total + (typeof part === "string" ? part.length : 0),
    0,
  );
}

function encodeObject(
  { version, value }: contracts.StoredObject,
  previous: contracts.StoredObject | undefined,
): EncodedEvent[1] {
  const isPatched = value.length >= PATCH_MIN_LENGTH &&
    previous !== undefined && previous.version !== version;
  if (!isPatched) return [version, value];
  const patch = createPatch(previous.value, value);
  if (patch === undefined) return [version, value];
  const parts = patch.map((part) =>
    typeof part === "string" ? part : [...part]
  );
  return [version, { base: previous.version, patch: parts }] as EncodedEvent[1];
}

/**
 * The changes of a message; undefined if this VM lacks a version that one of
 * them is based on.
 */
function decodeEvents(
  events: readonly EncodedEvent[],
  watch: RelayedWatch,
): ObjectChange[] | undefined {
  const decoded: ObjectChange[] = [];
  const latest = new Map<string, contracts.StoredObject>();
  for (const [name, object] of events) {
    if (object === null) {
      decoded.push({ name });
      continue;
    }
    const [version, encoded] = object;
    const previous = latest.get(name) ?? watch.object(name);
    if (previous?.version === version) {
      decoded.push({ name, object: previous, previous });
      continue;
    }
    const value = decodeValue(encoded, previous);
    if (value === undefined) return undefined;
    const changed = { name, version, value };
    latest.set(name, changed);
    decoded.push({ name, object: changed, previous });
  }
  return decoded;
}

type EncodedValue = NonNullable<EncodedEvent[1]>[1];

/**
 * The whole value; undefined if it is based on another version or can't be
 * restored.
 */
function decodeValue(
  encoded: EncodedValue,
  previous: contracts.StoredObject | undefined,
): string | undefined {
  if (typeof encoded === "string") return encoded;
  if (previous?.version !== encoded.base) return undefined;
  return applyPatch(previous.value, encoded.patch);
}
