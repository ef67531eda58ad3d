/** Slots of an unkeyed service by what this entry VM knows alone. */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import { RequestQueue } from "./request_queue.ts";
import { ServerMonitor, type ServerMonitorOptions } from "./server_monitor.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";

/** Options of {@link LocalAllocator}. */
export interface LocalAllocatorOptions extends ServerMonitorOptions {
  /** Policy for choosing servers, in place of the service's own. */
  readonly policy?: string;
  readonly random: contracts.RandomSource;
}

/** Queue and choice of one entry VM for one service. */
export class LocalAllocator implements SlotAllocator {
  readonly #options: LocalAllocatorOptions;
  readonly #lane = new RequestQueue();
  readonly #watch: ServerMonitor;
  #service: contracts.Service;
  #choice: routing.LoadBalancer;

  constructor(options: LocalAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
    this.#choice = this.#createChoice();
    this.#watch = new ServerMonitor(options, () => this.#pump());
  }

  get waitingCount(): number {
    return this.#lane.size;
  }

  acquire(wish: SlotRequest): void {
    this.#lane.push(wish);
    this.#pump();
    // Only now: a request that found a server at once takes no place.
    this.#lane.evictExcess(this.#service.queueRequests);
  }

  withdraw(wish: SlotRequest): void {
    this.#lane.remove(wish);
  }

  release(slot: Slot, end: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    if (end.kind === "answer") {
      this.#lane.recordAnswer(nowMs - slot.sentMs, nowMs);
    }
    this.#watch.releaseSlot(slot, end);
    this.#pump();
  }

  configure(service: contracts.Service): void {
    const isOtherPolicy = service.policy !== this.#service.policy;
    this.#service = service;
    if (isOtherPolicy) this.#choice = this.#createChoice();
    this.#watch.configure(service);
  }

  hasUntriedServer(tried: ReadonlySet<contracts.ServerId>): boolean {
    return this.#watch.liveServers().some((address) =>
      !tried.has(address.server)
    );
  }

  refresh(): void {
    this.#watch.refresh();
    this.#pump();
  }

  #createChoice(): routing.LoadBalancer {
    const policy = this.#options.policy ?? this.#service.policy;
    return routing.createLoadBalancer(policy);
  }

  #pump(): void {
    let wish = this.#lane.peek();
    while (wish !== undefined && this.#serve(wish)) wish = this.#lane.peek();
  }

  /** Grants or refuses the request; false when it has to wait. */
  #serve(wish: SlotRequest): boolean {
    const live = this.#watch.liveServers().filter((it) =>
      !wish.tried.has(it.server)
    );
    if (live.length === 0) {
      this.#lane.shift();
      wish.onRefused("no-server", { message: "No other live server is known" });
      return true;
    }
    const ids = live.map((address) => address.server);
    const candidates = this.#watch.candidates(ids);
    const chosen = this.#choice.choose(candidates, this.#options.random);
    if (chosen === undefined) return false;
    this.#lane.shift();
    const address = live.find((it) => it.server === chosen.server)!;
    wish.onGranted(this.#watch.acquireSlot(address));
    return true;
  }
}
