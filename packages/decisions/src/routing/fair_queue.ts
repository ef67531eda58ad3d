/**
 * A queue that serves tenants round-robin and, within a tenant, the earliest
 * deadline first. If it grows too long, the tenant with the most requests loses
 * its latest one, so that one tenant's burst evicts only its own requests.
 */

/** An item of a {@link FairQueue}. */
export interface Queued {
  readonly tenant: string;
  /** Monotonic time by which the item must be served. */
  readonly deadlineMs: number;
}

/** A fair, deadline-ordered queue; its user limits its length with `evict`. */
export class FairQueue<T extends Queued> {
  /** Tenants in round-robin order; each list is sorted by deadline. */
  readonly #tenants = new Map<string, T[]>();
  #size = 0;

  /** Number of queued items of all tenants. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item. */
  push(item: T): void {
    const items = this.#tenants.get(item.tenant) ?? [];
    let index = items.length;
    while (index > 0 && items[index - 1]!.deadlineMs > item.deadlineMs) index--;
    items.splice(index, 0, item);
    this.#tenants.set(item.tenant, items);
    this.#size++;
  }

  /** Removes and returns the latest item of the tenant with the most items. */
  evict(): T | undefined {
    let longest: T[] = [];
    for (const items of this.#tenants.values()) {
      if (items.length >= longest.length) longest = items;
    }
    const evicted = longest.at(-1);
    if (evicted !== undefined) this.remove(evicted);
    return evicted;
  }

  /** Returns the next item without removing it. */
  peek(): T | undefined {
    for (const items of this.#tenants.values()) return items[0];
    return undefined;
  }

  /**
   * Removes and returns the next item; its tenant goes to the end of the order.
   */
  shift(): T | undefined {
    const item = this.peek();
    if (item === undefined) return undefined;
    this.remove(item);
    const rest = this.#tenants.get(item.tenant);
    if (rest !== undefined) {
      this.#tenants.delete(item.tenant);
      this.#tenants.set(item.tenant, rest);
    }
    return item;
  }

  /** Removes an item at any position; false if it is not queued. */
  remove(item: T): boolean {
    const items = this.#tenants.get(item.tenant);
    const index = items?.indexOf(item) ?? -1;
    if (items === undefined || index < 0) return false;
    items.splice(index, 1);
    this.#size--;
    if (items.length === 0) this.#tenants.delete(item.tenant);
    return true;
  }

  /** All items, in no particular order. */
  *items(): IterableIterator<T> {
    for (const items of this.#tenants.values()) yield* items;
  }
}
