/** A bounded queue of requests that wait for slots. */
import * as routing from "@guavatide/decisions/routing/mod";
import type { SlotWish } from "./slot_allocator.ts";

/** Waiting requests, with refusals for those that find no room. */
export class Lane {
  readonly #queue = new routing.FairQueue<SlotWish>();
  readonly #limit = new routing.QueueLimit();

  get size(): number {
    return this.#queue.size;
  }

  push(wish: SlotWish): void {
    this.#queue.push(wish);
  }

  peek(): SlotWish | undefined {
    return this.#queue.peek();
  }

  shift(): SlotWish | undefined {
    return this.#queue.shift();
  }

  remove(wish: SlotWish): boolean {
    return this.#queue.remove(wish);
  }

  /** Takes out everything. */
  drain(): SlotWish[] {
    const wishes = [...this.#queue.items()];
    for (const wish of wishes) this.#queue.remove(wish);
    return wishes;
  }

  /** A request from this queue was answered after this time. */
  noteAnswered(attemptMs: number, nowMs: number): void {
    const isWaiting = this.#queue.size > 0;
    this.#limit.recordAnswer(attemptMs, { nowMs, isWaiting });
  }

  /**
   * Refuses requests until no more wait than can be served in a useful time,
   * and at most `mostRequests`.
   */
  shorten(mostRequests: number): void {
    const limit = this.#limit.limit(mostRequests);
    while (this.#queue.size > limit) {
      this.#queue.evict()!.refused("queue-full", {
        retryAfterMs: this.#limit.drainMs(limit),
        message: "Too many requests wait for the service; come back later",
      });
    }
  }
}
