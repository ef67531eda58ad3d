/**
 * Slots of a keyed service: a request goes to the owner of its key and to
 * nobody else. While the key's slice is between two owners, it waits.
 */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { OwnerLookup, OwnerView } from "../contracts/views.ts";
import { RequestQueue } from "./request_queue.ts";
import { ServerMonitor, type ServerMonitorOptions } from "./server_monitor.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";

/** Options of {@link KeyedAllocator}. */
export interface KeyedAllocatorOptions extends ServerMonitorOptions {
  readonly owners: OwnerView;
}

/**
 * Time before an owner that lets a key go, or has not yet got it, is asked
 * again at the same revision.
 */
const REFUSAL_RETRY_DELAY_MS = 50;

interface SliceRefusal {
  readonly revision: number;
  readonly retryAtMs: number;
}

type OwnedSlice = Extract<OwnerLookup, { kind: "owned" }>;

/** Queues of one entry VM for the owners of one service's keys. */
export class KeyedAllocator implements SlotAllocator {
  readonly #options: KeyedAllocatorOptions;
  readonly #lanes = new Map<contracts.ServerId, RequestQueue>();
  /** Requests whose slice has no owner at present. */
  readonly #ownerless = new RequestQueue();
  readonly #watch: ServerMonitor;
  #service: contracts.Service;
  /** Slices whose owner does not serve them, with the revision and the time. */
  readonly #refusals = new Map<contracts.SliceId, SliceRefusal>();
  #wakeUp: NodeJS.Timeout | undefined;

  constructor(options: KeyedAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#watch = new ServerMonitor(options, () => this.#pumpAll());
  }

  get waitingCount(): number {
    let count = this.#ownerless.size;
    for (const lane of this.#lanes.values()) count += lane.size;
    return count;
  }

  acquire(wish: SlotRequest): void {
    const lane = this.#enqueue(wish);
    if (lane === undefined) return;
    this.#pump(lane);
    lane.evictExcess(this.#service.queueRequests);
  }

  withdraw(wish: SlotRequest): void {
    if (this.#ownerless.remove(wish)) return;
    for (const lane of this.#lanes.values()) {
      if (lane.remove(wish)) return;
    }
  }

  release(slot: Slot, end: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    const lane = this.#lanes.get(slot.address.server);
    if (end.kind === "answer") {
      lane?.recordAnswer(nowMs - slot.sentMs, nowMs);
    }
    this.#watch.releaseSlot(slot, end);
    if (end.kind === "refusal") this.#noteRefusal(slot, end.refusal);
    if (lane !== undefined) this.#pump(lane);
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#watch.configure(service);
  }

  /** The owner of a key stays the only choice, also after a failure. */
  hasUntriedServer(): boolean {
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
    const untilMs = this.#options.clock.nowMs() + REFUSAL_RETRY_DELAY_MS;
    this.#refusals.set(slice.slice, {
      revision: slice.revision,
      retryAtMs: untilMs,
    });
  }

  /**
   * Whether the right to forward is there at present. It is asked again right
   * before the bytes leave; asked only there, a request without it would go
   * round and round and open a connection each time.
   */
  #mayForward(owner: OwnedSlice): boolean {
    const { server, slice, fence } = owner;
    const { owners } = this.#options;
    return owners.mayForward(this.#service.name, server, slice, fence);
  }

  #forgetRefusals(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [slice, refusal] of this.#refusals) {
      if (refusal.retryAtMs < nowMs) this.#refusals.delete(slice);
    }
  }

  /** Puts a request where it has to wait; nothing when it was refused. */
  #enqueue(wish: SlotRequest): RequestQueue | undefined {
    const owner = this.#owner(wish);
    if (owner.kind === "none") {
      wish.onRefused("no-owner", { message: "No server owns the key yet" });
      return undefined;
    }
    const isOpen = owner.kind === "owned" && this.#mayAsk(owner);
    const lane = isOpen ? this.#lane(owner.server) : this.#ownerless;
    lane.push(wish);
    return lane;
  }

  #lane(server: contracts.ServerId): RequestQueue {
    const found = this.#lanes.get(server);
    if (found !== undefined) return found;
    const lane = new RequestQueue();
    this.#lanes.set(server, lane);
    return lane;
  }

  #pump(lane: RequestQueue): void {
    if (lane === this.#ownerless) return;
    let wish = lane.peek();
    while (wish !== undefined && this.#serve(lane, wish)) wish = lane.peek();
  }

  /** Grants or moves the request; false when it has to wait. */
  #serve(lane: RequestQueue, wish: SlotRequest): boolean {
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
    wish.onGranted(
      this.#watch.acquireSlot(address, { slice, fence, revision }),
    );
    return true;
  }

  /** Whether the owner is worth asking after it refused as not owner. */
  #mayAsk(owner: OwnedSlice): boolean {
    const refusal = this.#refusals.get(owner.slice);
    if (refusal === undefined) return true;
    const leftMs = refusal.retryAtMs - this.#options.clock.nowMs();
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

  #owner(wish: SlotRequest): OwnerLookup {
    const { owners } = this.#options;
    return owners.lookup(this.#service.name, wish.keyHash!);
  }
}
