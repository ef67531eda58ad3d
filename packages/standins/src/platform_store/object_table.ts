/**
 * Named objects with versions, conditional updates and a log of changes: the
 * state of the stand-in of the platform's store.
 */
import {
  STORE_VALUE_LIMIT_BYTES,
  type StoredObject,
  type WatchBatch,
  type WatchEvent,
  type WriteCondition,
} from "@guavatide/contracts";

const MAX_LOG_EVENTS = 10_000;

/** What became of a write. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: string }
  | { readonly kind: "conflict" }
  | { readonly kind: "not-found" }
  | { readonly kind: "too-large" };

interface LoggedEvent {
  readonly sequence: number;
  readonly name: string;
  readonly object?: StoredObject;
  /** A fault control: the event is never told. */
  readonly isSkipped: boolean;
}

/** The objects and the log of their changes. */
export class ObjectTable {
  readonly #objects = new Map<string, StoredObject>();
  readonly #listeners = new Set<() => void>();
  #log: LoggedEvent[] = [];
  #sequence = 0;
  #firstTold = 1;
  #eventsToSkip = 0;

  /** The object, or undefined. */
  get(name: string): StoredObject | undefined {
    return this.#objects.get(name);
  }

  /** Every object whose name begins with `prefix`, and where to watch on. */
  list(prefix: string): { objects: StoredObject[]; cursor: string } {
    const objects = [...this.#objects.values()]
      .filter((object) => object.name.startsWith(prefix))
      .sort((a, b) => a.name < b.name ? -1 : 1);
    return { objects, cursor: String(this.#sequence) };
  }

  /** Writes the object if the condition holds. */
  put(name: string, value: string, condition: WriteCondition): WriteOutcome {
    if (Buffer.byteLength(value) > STORE_VALUE_LIMIT_BYTES) {
      return { kind: "too-large" };
    }
    if (!this.#holds(name, condition)) return { kind: "conflict" };
    const version = `v${this.#sequence + 1}`;
    const object = { name, version, value };
    this.#objects.set(name, object);
    this.#append(name, object);
    return { kind: "written", version };
  }

  /** Deletes the object if the condition holds. */
  delete(name: string, condition: WriteCondition): WriteOutcome {
    if (!this.#objects.has(name)) return { kind: "not-found" };
    if (!this.#holds(name, condition)) return { kind: "conflict" };
    this.#objects.delete(name);
    this.#append(name, undefined);
    return { kind: "written", version: `v${this.#sequence}` };
  }

  /** Events after `cursor`; a reset when the log no longer reaches back. */
  eventsAfter(prefix: string, cursor: string): WatchBatch {
    const after = /^\d+$/.test(cursor) ? Number(cursor) : -1;
    const now = String(this.#sequence);
    if (after + 1 < this.#firstTold || after > this.#sequence) {
      return { cursor: now, events: [], reset: true };
    }
    const first = this.#log[0]?.sequence ?? this.#firstTold;
    const events: WatchEvent[] = this.#log
      .slice(Math.max(0, after + 1 - first))
      .filter((event) => !event.isSkipped)
      .filter((event) => event.name.startsWith(prefix))
      .map(({ sequence, name, object }) => ({
        cursor: String(sequence),
        name,
        object,
      }));
    return { cursor: now, events, reset: false };
  }

  /** Calls back on each change until the returned function is called. */
  onChange(callback: () => void): () => void {
    this.#listeners.add(callback);
    return () => this.#listeners.delete(callback);
  }

  /** Fault control: the next events are never told to any watch. */
  skipEvents(count: number): void {
    this.#eventsToSkip = count;
  }

  /** Fault control: forgets the log, so that every watch is reset. */
  compactLog(): void {
    this.#log = [];
    this.#sequence++;
    this.#firstTold = this.#sequence + 1;
    this.#tellListeners();
  }

  #holds(name: string, condition: WriteCondition): boolean {
    const present = this.#objects.get(name);
    switch (condition.kind) {
      case "any":
        return true;
      case "absent":
        return present === undefined;
      case "version":
        return present?.version === condition.version;
    }
  }

  #append(name: string, object: StoredObject | undefined): void {
    this.#sequence++;
    const isSkipped = this.#eventsToSkip > 0;
    if (isSkipped) this.#eventsToSkip--;
    this.#log.push({ sequence: this.#sequence, name, object, isSkipped });
    if (this.#log.length > MAX_LOG_EVENTS) {
      this.#log = this.#log.slice(-MAX_LOG_EVENTS / 2);
      this.#firstTold = this.#log[0]!.sequence;
    }
    this.#tellListeners();
  }

  #tellListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
