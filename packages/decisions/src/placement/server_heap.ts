/**
 * Priority queue of servers whose loads change: a binary heap whose outdated
 * entries are updated or skipped when they are popped.
 */
import type { WorkingServer } from "./working_set.ts";

interface HeapEntry {
  readonly server: WorkingServer;
  readonly key: number;
}

/** Min-heap of servers. */
export class ServerHeap {
  readonly #keyOf: (server: WorkingServer) => number;
  readonly #heap: HeapEntry[] = [];
  readonly #latest = new Map<WorkingServer, HeapEntry>();

  constructor(
    servers: Iterable<WorkingServer>,
    keyOf: (server: WorkingServer) => number,
  ) {
    this.#keyOf = keyOf;
    for (const server of servers) this.push(server);
  }

  /** Adds a server, or updates its key after its load changed. */
  push(server: WorkingServer): void {
    const heap = this.#heap;
    const entry = { server, key: this.#keyOf(server) };
    this.#latest.set(server, entry);
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.key <= entry.key) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  /** Removes and returns the server with the lowest key; undefined if empty. */
  pop(): WorkingServer | undefined {
    while (this.#heap.length > 0) {
      const entry = this.#popEntry();
      const { server } = entry;
      if (this.#latest.get(server) !== entry) continue;
      if (this.#keyOf(server) === entry.key) {
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
    if (heap.length > 0) this.#siftDown(last);
    return top;
  }

  #siftDown(entry: HeapEntry): void {
    const heap = this.#heap;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && heap[right]!.key < heap[child]!.key) {
        child = right;
      }
      if (heap[child]!.key >= entry.key) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = entry;
  }
}
