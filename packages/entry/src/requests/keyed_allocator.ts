/**
 * Slots of a keyed service: a request goes to the owner of its key and to
 * nobody else. While the key's slice is between two owners, it waits.
 */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type {
  OwnerLookup,
  OwnerView,
  ServerAddress,
  ServerView,
} from "../contracts/views.ts";
import type { PartLog } from "../utils/log.ts";
import { Lane } from "./lane.ts";
import type { Slot, SlotAllocator, SlotWish } from "./slot_allocator.ts";

/** Options of {@link KeyedAllocator}. */
export interface KeyedAllocatorOptions {
  readonly service: contracts.Service;
  readonly servers: ServerView;
  readonly owners: OwnerView;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  readonly onEjected: (server: contracts.ServerId) => void;
  readonly probe: (address: ServerAddress) => Promise<boolean>;
}

/** Time before an owner that refused as such is asked at the same revision. */
const NOT_OWNER_PAUSE_MS = 50;

interface NotOwnerRefusal {
  readonly revision: number;
  readonly untilMs: number;
}

type Owned = Extract<OwnerLookup, { kind: "owned" }>;

/** Queues of one entry VM for the owners of one service's keys. */
export class KeyedAllocator implements SlotAllocator {
  readonly #options: KeyedAllocatorOptions;
  readonly #lanes = new Map<contracts.ServerId, Lane>();
  /** Requests whose slice has no owner at present. */
  readonly #ownerless = new Lane();
  readonly #board: routing.ServerBoard;
  #service: contracts.Service;
  /** Slices whose owner refused as such, with the revision and the time. */
  readonly #refusals = new Map<contracts.SliceId, NotOwnerRefusal>();
  #wakeUp: NodeJS.Timeout | undefined;

  constructor(options: KeyedAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#board = new routing.ServerBoard(
      this.#boardOptions(),
      options.clock.nowMs(),
    );
  }

  get waiting(): number {
    let count = this.#ownerless.size;
    for (const lane of this.#lanes.values()) count += lane.size;
    return count;
  }

  acquire(wish: SlotWish): void {
    const lane = this.#enqueue(wish);
    if (lane === undefined) return;
    this.#pump(lane);
    lane.shorten(this.#service.queueRequests);
  }

  withdraw(wish: SlotWish): void {
    if (this.#ownerless.remove(wish)) return;
    for (const lane of this.#lanes.values()) {
      if (lane.remove(wish)) return;
    }
  }

  release(slot: Slot, end: routing.AttemptEnd): void {
    const nowMs = this.#options.clock.nowMs();
    const { server } = slot.address;
    const event = this.#board.noteEnd(server, slot.sentMs, { end, nowMs });
    if (event !== undefined) this.#noteEvent(server, event);
    if (end.kind === "refusal" && end.refusal === "not-owner") {
      const { revision, slice } = slot.ownership!;
      const untilMs = nowMs + NOT_OWNER_PAUSE_MS;
      this.#refusals.set(slice, { revision, untilMs });
      this.#options.owners.noteNotOwner(this.#service.name, revision);
    }
    const lane = this.#lanes.get(server);
    if (lane !== undefined) this.#pump(lane);
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#board.configure(this.#boardOptions());
  }

  /** The owner of a key stays the only choice, also after a failure. */
  hasOther(): boolean {
    return true;
  }

  /** Looks up every waiting request's owner again. */
  refresh(): void {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#options.servers.servers(this.#service.name);
    const ids = known.map((address) => address.server);
    this.#board.keepOnly(new Set(ids), nowMs);
    for (const server of this.#board.ejectSilent(nowMs)) {
      this.#noteEvent(server, "ejected");
    }
    for (const address of known) this.#probeIfDue(address, nowMs);
    const wishes = this.#ownerless.drain();
    for (const lane of this.#lanes.values()) wishes.push(...lane.drain());
    for (const wish of wishes) this.#enqueue(wish);
    for (const [server, lane] of this.#lanes) {
      this.#pump(lane);
      if (lane.size === 0) this.#lanes.delete(server);
    }
  }

  #boardOptions(): routing.ServerBoardOptions {
    const { slotsPerServer } = this.#service;
    return { slotsPerServer, localLimit: slotsPerServer };
  }

  /** Puts a request where it has to wait; nothing when it was refused. */
  #enqueue(wish: SlotWish): Lane | undefined {
    const owner = this.#owner(wish);
    if (owner.kind === "none") {
      wish.refused("no-owner", { message: "No server owns the key yet" });
      return undefined;
    }
    const isOpen = owner.kind === "owned" && this.#mayAsk(owner);
    const lane = isOpen ? this.#lane(owner.server) : this.#ownerless;
    lane.push(wish);
    return lane;
  }

  #lane(server: contracts.ServerId): Lane {
    const found = this.#lanes.get(server);
    if (found !== undefined) return found;
    const lane = new Lane();
    this.#lanes.set(server, lane);
    return lane;
  }

  #pump(lane: Lane): void {
    if (lane === this.#ownerless) return;
    let wish = lane.peek();
    while (wish !== undefined && this.#serve(lane, wish)) wish = lane.peek();
  }

  /** Grants or moves the request; false when it has to wait. */
  #serve(lane: Lane, wish: SlotWish): boolean {
    const owner = this.#owner(wish);
    if (owner.kind !== "owned" || this.#lane(owner.server) !== lane) {
      lane.shift();
      this.#enqueue(wish);
      return true;
    }
    const nowMs = this.#options.clock.nowMs();
    const address = this.#options.servers.server(owner.server);
    if (address === undefined) return false;
    const [candidate] = this.#board.candidates([owner.server], nowMs);
    if (candidate === undefined) {
      this.#wakeIn(this.#board.pauseLeftMs(nowMs));
      return false;
    }
    lane.shift();
    this.#board.noteSent(owner.server, nowMs);
    const { slice, fence, revision } = owner;
    const ownership = { slice, fence, revision };
    wish.granted({ address, sentMs: nowMs, ownership });
    return true;
  }

  /** Whether the owner is worth asking after it refused as not owner. */
  #mayAsk(owner: Owned): boolean {
    const refusal = this.#refusals.get(owner.slice);
    if (refusal === undefined) return true;
    const leftMs = refusal.untilMs - this.#options.clock.nowMs();
    if (owner.revision <= refusal.revision && leftMs > 0) {
      this.#wakeIn(leftMs);
      return false;
    }
    this.#refusals.delete(owner.slice);
    return true;
  }

  #wakeIn(waitMs: number | undefined): void {
    if (waitMs === undefined || this.#wakeUp !== undefined) return;
    this.#wakeUp = setTimeout(() => {
      this.#wakeUp = undefined;
      this.#retryOwnerless();
      for (const lane of this.#lanes.values()) this.#pump(lane);
    }, Math.ceil(waitMs));
  }

  #retryOwnerless(): void {
    for (const wish of this.#ownerless.drain()) this.#enqueue(wish);
  }

  #owner(wish: SlotWish): OwnerLookup {
    const { owners } = this.#options;
    return owners.lookup(this.#service.name, wish.keyHash!);
  }

  #probeIfDue(address: ServerAddress, nowMs: number): void {
    if (!this.#board.tryProbe(address.server, nowMs)) return;
    this.#options.probe(address).then((isAnswered) => {
      const endMs = this.#options.clock.nowMs();
      const event = this.#board.noteProbe(address.server, isAnswered, endMs);
      if (event !== undefined) this.#noteEvent(address.server, event);
      const lane = this.#lanes.get(address.server);
      if (lane !== undefined) this.#pump(lane);
    });
  }

  #noteEvent(
    server: contracts.ServerId,
    event: NonNullable<routing.BoardEvent>,
  ): void {
    const service = this.#service.name;
    this.#options.log.info(`Server is ${event}.`, { service, server });
    if (event === "ejected") this.#options.onEjected(server);
  }
}
