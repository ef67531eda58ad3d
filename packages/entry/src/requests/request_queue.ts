/** Queue of requests that wait for slots, with an adaptive length limit. */
import * as routing from "@guavatide/decisions/routing/mod";
import type { SlotRequest } from "./slot_allocator.ts";

/** Waiting requests; those beyond the limit are evicted and refused. */
export class RequestQueue {
  readonly #queue = new routing.FairQueue<SlotRequest>();
  readonly #queueLimit = new routing.QueueLimit();

  get size(): number {
    return this.#queue.size;
  }

  push(request: SlotRequest): void {
    this.#queue.push(request);
  }

  peek(): SlotRequest | undefined {
    return this.#queue.peek();
  }

  shift(): SlotRequest | undefined {
    return this.#queue.shift();
  }

  remove(request: SlotRequest): boolean {
    return this.#queue.remove(request);
  }

  /** Removes and returns all requests. */
  drain(): SlotRequest[] {
    const requests = [...this.#queue.items()];
    for (const request of requests) this.#queue.remove(request);
    return requests;
  }

  /**
   * Records the duration of an answered attempt, from which the limit is
   * computed.
   */
  recordAnswer(attemptMs: number, nowMs: number): void {
    const isWaiting = this.#queue.size > 0;
    this.#queueLimit.recordAnswer(attemptMs, { nowMs, isWaiting });
  }

  /**
   * Refuses requests with `queue-full` until no more wait than the servers can
   * drain in an acceptable time, and no more than `maxRequests`.
   */
  evictExcess(maxRequests: number): void {
    const limit = this.#queueLimit.limit(maxRequests);
    while (this.#queue.size > limit) {
      this.#queue.evict()!.onRefused("queue-full", {
        retryAfterMs: this.#queueLimit.drainMs(limit),
        message: "Too many requests wait for the service; come back later",
      });
    }
  }
}
