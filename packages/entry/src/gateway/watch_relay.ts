/**
 * Lets a few VMs of each cell watch the platform's store for all of them. A
 * watch by every VM costs a call by each for every batch of changes: 72 calls a
 * VM on a calm day, a sixth of what the day was worth.
 */
import * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import { encodeMessage } from "./peer_codec.ts";
import type { PeerGossip } from "./peer_gossip.ts";
import * as messages from "./peer_messages.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link WatchRelay}. */
export interface WatchRelayOptions {
  readonly vm: contracts.VmId;
  readonly gossip: PeerGossip;
  readonly health: StoreHealth;
  readonly hasher: ownership.KeyHasher;
  readonly log: PartLog;
}

/** Changes between two positions in the store's order. */
export interface RelayedChanges {
  readonly fromCursor: number;
  readonly toCursor: number;
  /** Undefined when the changes are not told: the receiver lists anew. */
  readonly events: readonly contracts.WatchEvent[] | undefined;
}

/** The watch of one kind, as the relay sees it. */
export interface RelayedWatch {
  readonly prefix: string;
  /** Takes changes that a peer has read. */
  takeRelayed(changes: RelayedChanges, from: contracts.VmId): void;
  /** This VM became a reader, or is none any more. */
  roleChanged(): void;
}

/**
 * Readers of each cell. With two, the loss of one, or a connection of its that
 * has gone silent, delays nothing.
 */
const READERS = 2;
/** Interval at which readers are named anew. */
const REVIEW_MS = 100;
/** Changes that a reader remembers for peers that missed a message. */
const REMEMBERED_BATCHES = 64;
/**
 * Largest message, in bytes. A datagram is lost when one of its packets is; for
 * more, as when a thousand routes come, each VM reads the store itself.
 */
const LARGEST_BYTES = 24_000;

/** The task that relays. */
export class WatchRelay {
  readonly #options: WatchRelayOptions;
  readonly #order: grants.DutyOrder;
  readonly #watches = new Map<string, RelayedWatch>();
  readonly #batches = new Map<string, RelayedChanges[]>();
  #isReader = true;

  constructor(options: WatchRelayOptions) {
    this.#options = options;
    this.#order = new grants.DutyOrder(options.hasher);
    options.gossip.on(
      messages.CHANGES_METHOD,
      messages.changesSchema,
      (changes) => this.#take(changes),
    );
    options.gossip.on(
      messages.CHANGES_WISH_METHOD,
      messages.changesWishSchema,
      (wish) => this.#answer(wish),
    );
  }

  /** Starts the regular work. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(REVIEW_MS, () => this.#review());
  }

  /** Whether this VM watches the store itself. */
  get isReader(): boolean {
    return this.#isReader;
  }

  /** Adds the watch of a kind. */
  add(watch: RelayedWatch): void {
    this.#watches.set(watch.prefix, watch);
  }

  /** Tells the cell what this VM has read. */
  publish(prefix: string, changes: RelayedChanges): void {
    if (this.#options.gossip.plan.isSingle) return;
    const batches = this.#batches.get(prefix) ?? [];
    this.#batches.set(prefix, batches);
    batches.push(changes);
    if (batches.length > REMEMBERED_BATCHES) batches.shift();
    // Not known as a peer, this VM itself gets nothing.
    this.#tell(prefix, changes, this.#members());
  }

  /** Asks a peer for the changes after a position. */
  ask(prefix: string, cursor: number, peer: contracts.VmId): void {
    const { gossip, vm } = this.#options;
    gossip.send(messages.CHANGES_WISH_METHOD, { vm, prefix, cursor }, [peer]);
  }

  #members(): readonly contracts.VmId[] {
    const { gossip, vm } = this.#options;
    return gossip.plan.members(vm);
  }

  /** Names the readers: the first of the cell's VMs that reach the store. */
  #review(): void {
    const { gossip, health, vm, log } = this.#options;
    const members = new Set(this.#members());
    const reach = gossip.live
      .filter((peer) => members.has(peer.vm) && peer.hasStore)
      .map((peer) => peer.vm);
    if (health.isReached) reach.push(vm);
    // When nobody reaches the store, all try.
    const isReader = gossip.plan.isSingle || reach.length === 0 ||
      this.#order.of("readers", reach.sort()).slice(0, READERS).includes(vm);
    if (isReader === this.#isReader) return;
    this.#isReader = isReader;
    log.info(isReader ? "Reads for its cell." : "Leaves reading to peers.", {
      cell: members.size,
    });
    for (const watch of this.#watches.values()) watch.roleChanged();
  }

  #tell(
    prefix: string,
    changes: RelayedChanges,
    peers: readonly contracts.VmId[],
  ): void {
    const { vm, gossip } = this.#options;
    const message: messages.Changes = {
      vm,
      prefix,
      fromCursor: changes.fromCursor,
      toCursor: changes.toCursor,
      events: changes.events?.map(({ name, object }) => [
        name,
        object === undefined ? null : [object.version, object.value],
      ]) ?? null,
    };
    const { length } = encodeMessage(messages.CHANGES_METHOD, message);
    gossip.send(
      messages.CHANGES_METHOD,
      length > LARGEST_BYTES ? { ...message, events: null } : message,
      peers,
    );
  }

  #take(
    { vm, prefix, fromCursor, toCursor, events }: messages.Changes,
  ): void {
    const decoded = events?.map(([name, object]): contracts.WatchEvent => ({
      cursor: String(toCursor),
      name,
      ...(object === null
        ? {}
        : { object: { name, version: object[0], value: object[1] } }),
    }));
    this.#watches.get(prefix)
      ?.takeRelayed({ fromCursor, toCursor, events: decoded }, vm);
  }

  /** Tells a peer what it missed, or that this is not remembered. */
  #answer({ vm, prefix, cursor }: messages.ChangesWish): void {
    const batches = this.#batches.get(prefix) ?? [];
    const missed = batches.filter(({ toCursor }) => toCursor > cursor);
    const first = missed[0];
    const last = missed.at(-1);
    if (first === undefined || last === undefined) return;
    const isWhole = first.fromCursor <= cursor &&
      missed.every(({ fromCursor, events }, index) =>
        events !== undefined &&
        (index === 0 || fromCursor <= missed[index - 1]!.toCursor)
      );
    const events = isWhole
      ? missed.flatMap((batch) => batch.events ?? [])
      : undefined;
    const { fromCursor } = first;
    this.#tell(prefix, { fromCursor, toCursor: last.toCursor, events }, [vm]);
  }
}
