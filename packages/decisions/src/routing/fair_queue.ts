/**
 * A queue that is fair between tenants and, within a tenant, serves
 * the earliest deadline first. When it has grown too long, the tenant with the
 * most waiting requests loses its latest one, so that one tenant's burst
 * displaces only its own requests.
 */

/** What the queue needs to know of an item. */
export interface Queued {
  readonly tenant: string;
  /** Monotonic time after which the item is of no use. */
  readonly deadlineMs: number;
}

/** A fair, deadline-ordered queue; its user bounds it with `displace`. */
export class FairQueue<T extends Queued> {
  /** Tenants in the order of their turn; each list is sorted by deadline. */
  readonly #tenants = new Map<string, T[]>();
  #size = 0;

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

  /** Takes out the latest item of the tenant with the most items. */
  evict(): T | undefined {
    let longest: T[] = [];
    for (const items of this.#tenants.values()) {
      if (items.length >= longest.length) longest = items;
    }
    const displaced = longest.at(-1);
    if (displaced !== undefined) this.remove(displaced);
    return displaced;
  }

  /** The item whose turn it is, left in place. */
  peek(): T | undefined {
    for (const items of this.#tenants.values()) return items[0];
    return undefined;
  }

  /** Takes out the item whose turn it is and ends its tenant's turn. */
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

  /** Takes out an item wherever it stands. Returns whether it was there. */
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
