/**
 * Slots of a keyed service: a request goes to the owner of its key and to
 * nobody else. While the key's slice is between two owners, it waits.
 */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { OwnerLookup, OwnerView } from "../contracts/views.ts";
import { Lane } from "./lane.ts";
import { ServerWatch, type ServerWatchOptions } from "./server_watch.ts";
import type { Slot, SlotAllocator, SlotWish } from "./slot_allocator.ts";

/** Options of {@link KeyedAllocator}. */
export interface KeyedAllocatorOptions extends ServerWatchOptions {
  readonly owners: OwnerView;
}

/**
 * Time before an owner that lets a key go, or has not yet got it, is asked
 * again at the same revision.
 */
const MOVE_PAUSE_MS = 50;

interface SliceRefusal {
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
  readonly #watch: ServerWatch;
  #service: contracts.Service;
  /** Slices whose owner does not serve them, with the revision and the time. */
  readonly #refusals = new Map<contracts.SliceId, SliceRefusal>();
  #wakeUp: NodeJS.Timeout | undefined;

  constructor(options: KeyedAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#watch = new ServerWatch(options, () => this.#pumpAll());
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

  release(slot: Slot, end: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    const lane = this.#lanes.get(slot.address.server);
    if (end.kind === "answer") {
      lane?.noteAnswered(nowMs - slot.sentMs, nowMs);
    }
    this.#watch.release(slot, end);
    if (end.kind === "refusal") this.#noteRefusal(slot, end.refusal);
    if (lane !== undefined) this.#pump(lane);
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#watch.configure(service);
  }

  /** The owner of a key stays the only choice, also after a failure. */
  hasOther(): boolean {
    return true;
  }

  /** Looks up every waiting request's owner again. */
  refresh(): void {
    this.#watch.refresh();
    const wishes = this.#ownerless.drain();
    for (const lane of this.#lanes.values()) wishes.push(...lane.drain());
    for (const wish of wishes) this.#enqueue(wish);
    for (const [server, lane] of this.#lanes) {
      this.#pump(lane);
      const isGone = this.#options.servers.server(server) === undefined;
      if (isGone && lane.size === 0) this.#lanes.delete(server);
    }
    this.#forgetRefusals();
  }

  /** The requests of the slice wait for a newer revision, or a while. */
  #noteRefusal(slot: Slot, refusal: contracts.ServerRefusal): void {
    const isLeaving = refusal === "draining";
    if (refusal !== "not-owner" && !isLeaving) return;
    this.#park(slot.ownership!);
    if (isLeaving) return;
    const { revision } = slot.ownership!;
    this.#options.owners.noteNotOwner(this.#service.name, revision);
  }

  #park(slice: NonNullable<Slot["ownership"]>): void {
    const untilMs = this.#options.clock.nowMs() + MOVE_PAUSE_MS;
    this.#refusals.set(slice.slice, { revision: slice.revision, untilMs });
  }

  /**
   * Whether the right to forward is there at present. It is asked again right
   * before the bytes leave; asked only there, a request without it would go
   * round and round and open a connection each time.
   */
  #mayForward(owner: Owned): boolean {
    const { server, slice, fence } = owner;
    const { owners } = this.#options;
    return owners.mayForward(this.#service.name, server, slice, fence);
  }

  #forgetRefusals(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [slice, refusal] of this.#refusals) {
      if (refusal.untilMs < nowMs) this.#refusals.delete(slice);
    }
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
    const address = this.#options.servers.server(owner.server);
    if (address === undefined) return false;
    if (!this.#mayForward(owner)) {
      lane.shift();
      this.#park(owner);
      this.#enqueue(wish);
      return true;
    }
    const [candidate] = this.#watch.candidates([owner.server]);
    if (candidate === undefined) return false;
    lane.shift();
    const { slice, fence, revision } = owner;
    wish.granted(this.#watch.take(address, { slice, fence, revision }));
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

  #wakeIn(waitMs: number): void {
    this.#wakeUp ??= setTimeout(() => {
      this.#wakeUp = undefined;
      for (const wish of this.#ownerless.drain()) this.#enqueue(wish);
      this.#pumpAll();
    }, Math.ceil(waitMs));
  }

  #pumpAll(): void {
    for (const lane of this.#lanes.values()) this.#pump(lane);
  }

  #owner(wish: SlotWish): OwnerLookup {
    const { owners } = this.#options;
    return owners.lookup(this.#service.name, wish.keyHash!);
  }
}
