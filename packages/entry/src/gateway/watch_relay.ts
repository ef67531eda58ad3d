/**
 * Lets a few VMs watch the platform's store for the whole deployment. Readers
 * tell each change to their own cell and to one VM of every other cell, which
 * passes it on.
 */
import * as contracts from "@guavatide/contracts";
import * as cells from "@guavatide/decisions/cells/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { ObjectChange } from "./object_table.ts";
import type { PeerRpc } from "./peer_rpc.ts";
import { encodeMessage } from "./peer_codec.ts";
import type { GossipIdentity, PeerGossip } from "./peer_gossip.ts";
import * as messages from "./peer_messages.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link WatchRelay}. */
export interface WatchRelayOptions {
  readonly self: GossipIdentity;
  readonly gossip: PeerGossip;
  readonly rpc: PeerRpc;
  readonly health: StoreHealth;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  /** Whether other VMs are told to look for this one first. */
  readonly isSeed: boolean;
  readonly isLeaving: () => boolean;
  /** Finds out whether the store answers this VM. */
  readonly probeStore: () => Promise<boolean>;
}

/** Changes between two positions in the store's order. */
export interface RelayedChanges {
  readonly fromPosition: number;
  readonly toPosition: number;
  /** Undefined when the changes are not told: the receiver asks for all. */
  readonly events: readonly ObjectChange[] | undefined;
  /** All names that exist, when the changes come from a list. */
  readonly names?: readonly string[];
}

/** The watch of one kind, as the relay sees it. */
export interface RelayedWatch {
  readonly prefix: string;
  /** Position of the last change that this VM has heard of. */
  readonly position: number;
  /** All objects; undefined before the first list. */
  readonly snapshot: messages.KindSnapshot | undefined;
  /** Takes changes that a peer has read. */
  applyRelayed(changes: RelayedChanges, from: contracts.VmId): void;
  /** A peer has heard of changes up to a position. */
  notePeerPosition(position: number, peer: contracts.VmId): void;
  /** This VM became a reader, or is none any more. */
  onRoleChange(): void;
}

/** Interval at which the duty is looked at. */
const REVIEW_MS = 100;
/** The order of the candidates serves for so long. */
const ORDER_LIFE_MS = 500;
/** Interval at which a reader tells each cell that it reaches the store. */
const WORD_MS = 300;
/** Batches that a VM remembers for peers that missed a message. */
const REMEMBERED_BATCHES = 64;
/**
 * Largest message, in bytes. A datagram is lost when one of its packets is; for
 * more, as when a thousand routes come, each VM asks a peer for all objects.
 */
const LARGEST_BYTES = 24_000;
const STATE_METHOD = "kindState";

/** The task that relays. */
export class WatchRelay {
  readonly #options: WatchRelayOptions;
  readonly #order: grants.VmRanking;
  readonly #duty: cells.ReaderElection;
  readonly #watches = new Map<string, RelayedWatch>();
  readonly #batches = new Map<string, RelayedChanges[]>();
  #sorted: readonly contracts.VmId[] = [];
  #candidatesAtMs = Number.NEGATIVE_INFINITY;
  #startedAtMs = 0;
  #isTrying = false;

  constructor(options: WatchRelayOptions) {
    this.#options = options;
    const { gossip, rpc: calls, hasher, self } = options;
    this.#order = new grants.VmRanking(hasher);
    this.#duty = new cells.ReaderElection(self.vm);
    gossip.on(
      messages.CHANGES_METHOD,
      messages.storeChangesSchema,
      (changes) => this.#take(changes),
    );
    gossip.on(
      messages.CHANGES_REQUEST_METHOD,
      messages.changesRequestSchema,
      (wish) => this.#answer(wish),
    );
    gossip.on(
      messages.READER_METHOD,
      messages.readerStatusSchema,
      (word) => this.#takeWord(word),
    );
    calls.on(STATE_METHOD, (prefix) => this.#watches.get(prefix)?.snapshot);
  }

  /** Starts the regular work. */
  start(lifeCycle: LifeCycle): void {
    this.#startedAtMs = this.#options.clock.nowMs();
    lifeCycle.every(REVIEW_MS, () => this.#review());
    lifeCycle.every(WORD_MS, () => this.#tellWord());
  }

  /** Whether this VM watches the store itself. */
  get isReader(): boolean {
    return this.#duty.isReader;
  }

  /** How long the store has answered without a failure, as the readers see it. */
  get storeHealthyMs(): number {
    const { health, clock } = this.#options;
    const ownMs = this.isReader && health.isReachable ? health.healthyMs : 0;
    return Math.max(ownMs, this.#duty.storeHealthyMs(clock.nowMs()));
  }

  /** Adds the watch of a kind. */
  add(watch: RelayedWatch): void {
    this.#watches.set(watch.prefix, watch);
  }

  /** Tells all VMs what this one has read. */
  publish(prefix: string, changes: RelayedChanges): void {
    this.#remember(prefix, changes);
    const message = this.#encode(prefix, changes);
    this.#options.gossip.broadcast(messages.CHANGES_METHOD, message);
  }

  /** Asks a peer for the changes after a position. */
  requestChanges(prefix: string, cursor: number, peer: contracts.VmId): void {
    const { gossip, self: { vm } } = this.#options;
    gossip.send(messages.CHANGES_REQUEST_METHOD, { vm, prefix, cursor }, [
      peer,
    ]);
  }

  /** All objects of a kind as a peer knows them; undefined without an answer. */
  async fetchSnapshot(
    prefix: string,
    peer: contracts.VmId | undefined,
  ): Promise<messages.KindSnapshot | undefined> {
    const { gossip, rpc: calls, log } = this.#options;
    const address = gossip.live.find(({ vm }) => vm === peer) ??
      gossip.randomPeer();
    if (address === undefined) return undefined;
    const state = await calls.call(address, {
      method: STATE_METHOD,
      name: prefix,
      resultSchema: messages.kindSnapshotSchema,
    });
    const fields = { prefix, peer: address.vm };
    if (state.isErr()) {
      log.warn("A peer did not tell its state.", {
        ...fields,
        reason: state.error.message,
      });
      return undefined;
    }
    const { position, objects } = state.value;
    log.info("State taken from a peer.", {
      ...fields,
      position,
      objects: objects.length,
    });
    return state.value;
  }

  get #isHealthyReader(): boolean {
    const { health, isLeaving } = this.#options;
    return this.isReader && health.isReachable && !isLeaving();
  }

  // The duty

  #review(): void {
    if (this.#options.isLeaving() || this.#isTrying) return;
    const wasReader = this.isReader;
    const step = this.#duty.review(this.#view());
    if (step === "try") this.#try();
    else if (wasReader !== this.isReader) this.#roleChanged();
  }

  #view(): cells.ReaderView {
    const { gossip, health, clock, isSeed } = this.#options;
    const nowMs = clock.nowMs();
    return {
      nowMs,
      uptimeMs: nowMs - this.#startedAtMs,
      hasStore: health.isReachable,
      ranking: this.#candidates(nowMs),
      isSeed: isSeed || gossip.seedCount === 0,
    };
  }

  /** VMs that may read, in the order of the duty; sorted anew now and then. */
  #candidates(nowMs: number): readonly contracts.VmId[] {
    if (nowMs - this.#candidatesAtMs < ORDER_LIFE_MS) return this.#sorted;
    const { gossip, self } = this.#options;
    const reach = gossip.live.filter(({ hasStore }) => hasStore);
    this.#candidatesAtMs = nowMs;
    this.#sorted = cells.rankReaders(
      [self, ...reach],
      (vms) => this.#order.rank("readers", [...vms].sort()),
    );
    return this.#sorted;
  }

  #try(): void {
    const { probeStore: tryStore, log } = this.#options;
    this.#isTrying = true;
    tryStore().then((isReached) => {
      this.#isTrying = false;
      this.#duty.noteAttempt(isReached, this.#view());
      if (this.isReader) this.#roleChanged();
    }, (error) => {
      this.#isTrying = false;
      this.#duty.noteAttempt(false, this.#view());
      log.error("Trying the store failed.", { error: String(error) });
    });
  }

  #roleChanged(): void {
    const { log, gossip, clock } = this.#options;
    log.info(
      this.isReader ? "Reads for all VMs." : "Leaves reading to peers.",
      {
        peers: gossip.vmCount,
        readers: this.#duty.activeReaders(clock.nowMs()).map(({ vm }) => vm)
          .join(),
      },
    );
    for (const watch of this.#watches.values()) watch.onRoleChange();
    this.#tellWord();
  }

  #tellWord(): void {
    if (!this.#isHealthyReader) return;
    const { gossip, health, self: { vm } } = this.#options;
    const positions = Object.fromEntries(
      [...this.#watches].map(([prefix, { position }]) => [prefix, position]),
    );
    const storeCalmMs = told(health.healthyMs);
    const word: messages.ReaderStatus = { vm, storeCalmMs, positions };
    gossip.broadcast(messages.READER_METHOD, word);
  }

  #takeWord({ vm, storeCalmMs, positions }: messages.ReaderStatus): void {
    const heardAtMs = this.#options.clock.nowMs();
    this.#duty.noteReader({ vm, receivedAtMs: heardAtMs, storeCalmMs });
    for (const [prefix, position] of Object.entries(positions)) {
      this.#watches.get(prefix)?.notePeerPosition(position, vm);
    }
  }

  // Changes

  #remember(prefix: string, changes: RelayedChanges): void {
    const batches = this.#batches.get(prefix) ?? [];
    this.#batches.set(prefix, batches);
    batches.push(changes);
    if (batches.length > REMEMBERED_BATCHES) batches.shift();
  }

  #encode(prefix: string, changes: RelayedChanges): messages.StoreChanges {
    const { vm } = this.#options.self;
    const message: messages.StoreChanges = {
      vm,
      prefix,
      fromCursor: changes.fromPosition,
      toCursor: changes.toPosition,
      events: changes.events?.map(({ name, object }) => [
        name,
        object === undefined ? null : [object.version, object.value],
      ]) ?? null,
      names: changes.names === undefined ? null : [...changes.names],
    };
    const { length } = encodeMessage(messages.CHANGES_METHOD, message);
    return length > LARGEST_BYTES
      ? { ...message, events: null, names: null }
      : message;
  }

  #send(
    prefix: string,
    changes: RelayedChanges,
    peer: contracts.VmId,
  ): void {
    const message = this.#encode(prefix, changes);
    this.#options.gossip.send(messages.CHANGES_METHOD, message, [peer]);
  }

  #take(message: messages.StoreChanges): void {
    const { vm, prefix, fromCursor, toCursor, names } = message;
    const events = message.events?.map(([name, object]): ObjectChange =>
      object === null
        ? { name }
        : { name, object: { name, version: object[0], value: object[1] } }
    );
    const changes: RelayedChanges = {
      fromPosition: fromCursor,
      toPosition: toCursor,
      events,
      ...(names === null ? {} : { names }),
    };
    const watch = this.#watches.get(prefix);
    if (watch === undefined) return;
    if (toCursor > watch.position) this.#remember(prefix, changes);
    watch.applyRelayed(changes, vm);
  }

  /** Tells a peer what it missed, or that this is not remembered. */
  #answer({ vm, prefix, cursor }: messages.ChangesRequest): void {
    const batches = this.#batches.get(prefix) ?? [];
    const missed = batches.filter(({ toPosition }) => toPosition > cursor);
    const position = this.#watches.get(prefix)?.position ?? 0;
    if (position <= cursor) return;
    const isWhole = missed.length > 0 &&
      missed.every(({ fromPosition, events }, index) =>
        events !== undefined &&
        fromPosition <= (missed[index - 1]?.toPosition ?? cursor)
      );
    if (!isWhole) {
      const none = { fromPosition: cursor, toPosition: position };
      return this.#send(prefix, { ...none, events: undefined }, vm);
    }
    for (const batch of missed) this.#send(prefix, batch, vm);
  }
}

/** Nothing depends on a longer time than this. */
const LONGEST_CALM_MS = 60_000;

function told(calmMs: number): number {
  return Math.min(LONGEST_CALM_MS, Math.floor(calmMs));
}
