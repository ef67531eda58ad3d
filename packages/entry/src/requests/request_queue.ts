/** A bounded queue of requests that wait for slots. */
import * as routing from "@guavatide/decisions/routing/mod";
import type { SlotRequest } from "./slot_allocator.ts";

/** Waiting requests, with refusals for those that find no room. */
export class RequestQueue {
  readonly #queue = new routing.FairQueue<SlotRequest>();
  readonly #limit = new routing.QueueLimit();

  get size(): number {
    return this.#queue.size;
  }

  push(wish: SlotRequest): void {
    this.#queue.push(wish);
  }

  peek(): SlotRequest | undefined {
    return this.#queue.peek();
  }

  shift(): SlotRequest | undefined {
    return this.#queue.shift();
  }

  remove(wish: SlotRequest): boolean {
    return this.#queue.remove(wish);
  }

  /** Takes out everything. */
  drain(): SlotRequest[] {
    const wishes = [...this.#queue.items()];
    for (const wish of wishes) this.#queue.remove(wish);
    return wishes;
  }

  /** A request from this queue was answered after this time. */
  recordAnswer(attemptMs: number, nowMs: number): void {
    const isWaiting = this.#queue.size > 0;
    this.#limit.recordAnswer(attemptMs, { nowMs, isWaiting });
  }

  /**
   * Refuses requests until no more wait than can be served in a useful time,
   * and at most `mostRequests`.
   */
  evictExcess(mostRequests: number): void {
    const limit = this.#limit.limit(mostRequests);
    while (this.#queue.size > limit) {
      this.#queue.evict()!.onRefused("queue-full", {
        retryAfterMs: this.#limit.drainMs(limit),
        message: "Too many requests wait for the service; come back later",
      });
    }
  }
}
