/** A bounded queue of requests that wait for slots. */
import * as routing from "@guavatide/decisions/routing/mod";
import type { SlotWish } from "./slot_allocator.ts";

/** Waiting requests, with refusals for those that find no room. */
export class Lane {
  readonly #queue = new routing.FairQueue<SlotWish>();

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

  /** Refuses requests until at most `limit` wait. */
  shorten(limit: number, retryAfterMs?: number): void {
    while (this.#queue.size > limit) {
      this.#queue.displace()!.refused("queue-full", {
        retryAfterMs,
        message: "Too many requests wait for the service; come back later",
      });
    }
  }
}
