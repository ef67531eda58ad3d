/** Allocates slots of an unkeyed service by local state of this entry VM. */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import { RequestQueue } from "./request_queue.ts";
import {
  BACKOFF_MESSAGE,
  ServerMonitor,
  type ServerMonitorOptions,
} from "./server_monitor.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";

/** Options of {@link LocalAllocator}. */
export interface LocalAllocatorOptions extends ServerMonitorOptions {
  /** Load balancing policy that overrides the service's own. */
  readonly policy?: string;
  readonly random: contracts.RandomSource;
}

/** Queue and load balancer of one entry VM for one service. */
export class LocalAllocator implements SlotAllocator {
  readonly #options: LocalAllocatorOptions;
  readonly #queue = new RequestQueue();
  readonly #monitor: ServerMonitor;
  #service: contracts.Service;
  #balancer: routing.LoadBalancer;

  constructor(options: LocalAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#balancer = this.#createBalancer();
    this.#monitor = new ServerMonitor(options, () => this.#serveQueue());
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  acquire(request: SlotRequest): void {
    this.#queue.push(request);
    this.#serveQueue();
    // Evicts last: a request that is granted at once does not count as queued.
    this.#queue.evictExcess(this.#service.queueRequests);
  }

  withdraw(request: SlotRequest): void {
    this.#queue.remove(request);
  }

  release(slot: Slot, outcome: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    if (outcome.kind === "answer") {
      this.#queue.recordAnswer(nowMs - slot.sentMs, nowMs);
    }
    this.#monitor.releaseSlot(slot, outcome);
    this.#serveQueue();
  }

  configure(service: contracts.Service): void {
    const hasPolicyChanged = service.policy !== this.#service.policy;
    this.#service = service;
    if (hasPolicyChanged) this.#balancer = this.#createBalancer();
    this.#monitor.configure(service);
  }

  hasUntriedServer(tried: ReadonlySet<contracts.ServerId>): boolean {
    return this.#monitor.liveServers().some((address) =>
      !tried.has(address.server)
    );
  }

  refresh(): void {
    this.#monitor.refresh();
    this.#serveQueue();
  }

  #createBalancer(): routing.LoadBalancer {
    const policy = this.#options.policy ?? this.#service.policy;
    return routing.createLoadBalancer(policy);
  }

  #serveQueue(): void {
    let next = this.#queue.peek();
    while (next !== undefined && this.#serve(next)) next = this.#queue.peek();
  }

  /** Refuses the next request if all servers ask to be left alone. */
  #refuseIfBackingOff(
    request: SlotRequest,
    servers: readonly contracts.ServerId[],
  ): boolean {
    const retryAfterMs = this.#monitor.backoffLeftMs(servers);
    if (retryAfterMs === 0) return false;
    this.#queue.shift();
    request.onRefused("queue-full", { retryAfterMs, message: BACKOFF_MESSAGE });
    return true;
  }

  /** Grants or refuses the next request; false when it has to wait. */
  #serve(request: SlotRequest): boolean {
    const liveServers = this.#monitor.liveServers().filter((it) =>
      !request.tried.has(it.server)
    );
    if (liveServers.length === 0) {
      this.#queue.shift();
      request.onRefused("no-server", {
        message: "No other live server is known",
      });
      return true;
    }
    const ids = liveServers.map((address) => address.server);
    const candidates = this.#monitor.candidates(ids);
    const chosen = this.#balancer.choose(candidates, this.#options.random);
    if (chosen === undefined) return this.#refuseIfBackingOff(request, ids);
    this.#queue.shift();
    const address = liveServers.find((it) => it.server === chosen.server)!;
    request.onGranted(this.#monitor.acquireSlot(address));
    return true;
  }
}
