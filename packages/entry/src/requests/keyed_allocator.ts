/**
 * Allocates slots of a keyed service: a request is sent only to the owner of
 * its key. It waits while the key's slice is handed over between two owners.
 */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import type { OwnerLookup, OwnerView } from "../contracts/views.ts";
import { RequestQueue } from "./request_queue.ts";
import {
  BACKOFF_MESSAGE,
  ServerMonitor,
  type ServerMonitorOptions,
} from "./server_monitor.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";

/** Options of {@link KeyedAllocator}. */
export interface KeyedAllocatorOptions extends ServerMonitorOptions {
  readonly owners: OwnerView;
}

/**
 * Delay before requests are sent again, at the same revision, to an owner that
 * is giving up the slice or has not taken it over yet.
 */
const REFUSAL_RETRY_DELAY_MS = 50;

interface SliceRefusal {
  readonly revision: number;
  readonly retryAtMs: number;
}

type OwnedSlice = Extract<OwnerLookup, { kind: "owned" }>;

/** Queues requests of one keyed service by the owner of their keys. */
export class KeyedAllocator implements SlotAllocator {
  readonly #options: KeyedAllocatorOptions;
  readonly #queues = new Map<contracts.ServerId, RequestQueue>();
  /** Requests whose slice has no owner that serves it at present. */
  readonly #ownerless = new RequestQueue();
  readonly #monitor: ServerMonitor;
  #service: contracts.Service;
  /** Slices whose owner refused a request, with the revision and retry time. */
  readonly #refusals = new Map<contracts.SliceId, SliceRefusal>();
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(options: KeyedAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#monitor = new ServerMonitor(options, () => this.#serveAllQueues());
  }

  get waitingCount(): number {
    let count = this.#ownerless.size;
    for (const queue of this.#queues.values()) count += queue.size;
    return count;
  }

  acquire(request: SlotRequest): void {
    const queue = this.#enqueue(request);
    if (queue === undefined) return;
    this.#serveQueue(queue);
    queue.evictExcess(this.#service.queueRequests);
  }

  withdraw(request: SlotRequest): void {
    if (this.#ownerless.remove(request)) return;
    for (const queue of this.#queues.values()) {
      if (queue.remove(request)) return;
    }
  }

  release(slot: Slot, outcome: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    const queue = this.#queues.get(slot.address.server);
    if (outcome.kind === "answer") {
      queue?.recordAnswer(nowMs - slot.sentMs, nowMs);
    }
    this.#monitor.releaseSlot(slot, outcome);
    if (outcome.kind === "refusal") this.#handleRefusal(slot, outcome.refusal);
    if (queue !== undefined) this.#serveQueue(queue);
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#monitor.configure(service);
  }

  /** Always true: only the owner can serve a key, even after it failed. */
  hasUntriedServer(): boolean {
    return true;
  }

  /** Looks up the owner of every waiting request again. */
  refresh(): void {
    this.#monitor.refresh();
    const requests = this.#ownerless.drain();
    for (const queue of this.#queues.values()) requests.push(...queue.drain());
    for (const request of requests) this.#enqueue(request);
    for (const [server, queue] of this.#queues) {
      this.#serveQueue(queue);
      const isRemoved = this.#options.servers.server(server) === undefined;
      if (isRemoved && queue.size === 0) this.#queues.delete(server);
    }
    this.#expireRefusals();
  }

  /** Holds requests of the slice until a newer revision or the retry time. */
  #handleRefusal(slot: Slot, refusal: contracts.ServerRefusal): void {
    const isDraining = refusal === "draining";
    if (refusal !== "not-owner" && !isDraining) return;
    this.#blockSlice(slot.ownership!);
    if (isDraining) return;
    const { revision } = slot.ownership!;
    this.#options.owners.noteNotOwner(this.#service.name, revision);
  }

  #blockSlice(slice: NonNullable<Slot["ownership"]>): void {
    const retryAtMs = this.#options.clock.nowMs() + REFUSAL_RETRY_DELAY_MS;
    this.#refusals.set(slice.slice, {
      revision: slice.revision,
      retryAtMs,
    });
  }

  /**
   * Whether this VM may forward requests to the owner now. The check is
   * repeated right before the bytes are sent; checked only there, a request
   * that may not be forwarded would be retried in a loop and open a connection
   * each time.
   */
  #mayForward(owner: OwnedSlice): boolean {
    const { server, slice, fence } = owner;
    const { owners } = this.#options;
    return owners.mayForward(this.#service.name, server, slice, fence);
  }

  #expireRefusals(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [slice, refusal] of this.#refusals) {
      if (refusal.retryAtMs < nowMs) this.#refusals.delete(slice);
    }
  }

  /** Queues a request and returns its queue; undefined when it was refused. */
  #enqueue(request: SlotRequest): RequestQueue | undefined {
    const owner = this.#lookUpOwner(request);
    if (owner.kind === "none") {
      request.onRefused("no-owner", { message: "No server owns the key yet" });
      return undefined;
    }
    const canQueueAtOwner = owner.kind === "owned" && this.#isSliceOpen(owner);
    const queue = canQueueAtOwner
      ? this.#queueOf(owner.server)
      : this.#ownerless;
    queue.push(request);
    return queue;
  }

  #queueOf(server: contracts.ServerId): RequestQueue {
    const found = this.#queues.get(server);
    if (found !== undefined) return found;
    const queue = new RequestQueue();
    this.#queues.set(server, queue);
    return queue;
  }

  #serveQueue(queue: RequestQueue): void {
    if (queue === this.#ownerless) return;
    let next = queue.peek();
    while (next !== undefined && this.#serve(queue, next)) next = queue.peek();
  }

  /** Grants or requeues the request; false when it has to wait. */
  #serve(queue: RequestQueue, request: SlotRequest): boolean {
    const owner = this.#lookUpOwner(request);
    if (owner.kind !== "owned" || this.#queueOf(owner.server) !== queue) {
      queue.shift();
      this.#enqueue(request);
      return true;
    }
    const address = this.#options.servers.server(owner.server);
    if (address === undefined) return false;
    if (!this.#mayForward(owner)) {
      queue.shift();
      this.#blockSlice(owner);
      this.#enqueue(request);
      return true;
    }
    const [candidate] = this.#monitor.candidates([owner.server]);
    if (candidate === undefined) {
      const retryAfterMs = this.#monitor.backoffLeftMs([owner.server]);
      if (retryAfterMs === 0) return false;
      queue.shift();
      request.onRefused("queue-full", {
        retryAfterMs,
        message: BACKOFF_MESSAGE,
      });
      return true;
    }
    queue.shift();
    const { slice, fence, revision } = owner;
    request.onGranted(
      this.#monitor.acquireSlot(address, { slice, fence, revision }),
    );
    return true;
  }

  /** Whether requests of the slice may be sent to its owner after a refusal. */
  #isSliceOpen(owner: OwnedSlice): boolean {
    const refusal = this.#refusals.get(owner.slice);
    if (refusal === undefined) return true;
    const waitMs = refusal.retryAtMs - this.#options.clock.nowMs();
    if (owner.revision <= refusal.revision && waitMs > 0) {
      this.#retryIn(waitMs);
      return false;
    }
    this.#refusals.delete(owner.slice);
    return true;
  }

  #retryIn(waitMs: number): void {
    this.#retryTimer ??= setTimeout(() => {
      this.#retryTimer = undefined;
      for (const request of this.#ownerless.drain()) this.#enqueue(request);
      this.#serveAllQueues();
    }, Math.ceil(waitMs));
  }

  #serveAllQueues(): void {
    for (const queue of this.#queues.values()) this.#serveQueue(queue);
  }

  #lookUpOwner(request: SlotRequest): OwnerLookup {
    const { owners } = this.#options;
    return owners.lookup(this.#service.name, request.keyHash!);
  }
}
