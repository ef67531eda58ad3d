/**
 * The fullest or emptiest server at hand while loads change: a binary heap
 * whose outdated entries are renewed or skipped when they come up.
 */
import type { WorkingServer } from "./working_set.ts";

interface HeapEntry {
  readonly server: WorkingServer;
  readonly rank: number;
}

/** Servers by rank, lowest first. */
export class ServerHeap {
  readonly #rankOf: (server: WorkingServer) => number;
  readonly #heap: HeapEntry[] = [];
  readonly #latest = new Map<WorkingServer, HeapEntry>();

  constructor(
    servers: Iterable<WorkingServer>,
    rankOf: (server: WorkingServer) => number,
  ) {
    this.#rankOf = rankOf;
    for (const server of servers) this.push(server);
  }

  /** Adds a server, or adds it anew after its load changed. */
  push(server: WorkingServer): void {
    const heap = this.#heap;
    const entry = { server, rank: this.#rankOf(server) };
    this.#latest.set(server, entry);
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.rank <= entry.rank) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  /** Removes and returns the server of the lowest rank. */
  pop(): WorkingServer | undefined {
    while (this.#heap.length > 0) {
      const entry = this.#popEntry();
      const { server } = entry;
      if (this.#latest.get(server) !== entry) continue;
      if (this.#rankOf(server) === entry.rank) {
        this.#latest.delete(server);
        return server;
      }
      this.push(server);
    }
    return undefined;
  }

  #popEntry(): HeapEntry {
    const heap = this.#heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) this.#sink(last);
    return top;
  }

  #sink(entry: HeapEntry): void {
    const heap = this.#heap;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && heap[right]!.rank < heap[child]!.rank) {
        child = right;
      }
      if (heap[child]!.rank >= entry.rank) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = entry;
  }
}
