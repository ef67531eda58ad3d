/**
 * State of the stand-in for the platform's store: named objects with versions,
 * conditional writes and a change log for watches.
 */
import {
  STORE_VALUE_LIMIT_BYTES,
  type StoredObject,
  type WatchBatch,
  type WatchEvent,
  type WriteCondition,
} from "@guavatide/contracts";

const MAX_LOG_EVENTS = 10_000;

/** Outcome of a write. */
export type WriteOutcome =
  | { readonly kind: "written"; readonly version: string }
  | { readonly kind: "conflict" }
  | { readonly kind: "not-found" }
  | { readonly kind: "too-large" };

interface LoggedEvent {
  readonly sequence: number;
  readonly name: string;
  readonly object?: StoredObject;
  /** Fault injection: no watch receives the event. */
  readonly isSkipped: boolean;
}

/** The objects and their change log. */
export class ObjectTable {
  readonly #objects = new Map<string, StoredObject>();
  readonly #listeners = new Set<() => void>();
  #log: LoggedEvent[] = [];
  #sequence = 0;
  #firstRetained = 1;
  #eventsToSkip = 0;

  /** The object, or undefined when there is none. */
  get(name: string): StoredObject | undefined {
    return this.#objects.get(name);
  }

  /** Objects whose name starts with `prefix`, and the cursor to watch from. */
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
    if (!this.#isMet(name, condition)) return { kind: "conflict" };
    const version = `v${this.#sequence + 1}`;
    const object = { name, version, value };
    this.#objects.set(name, object);
    this.#append(name, object);
    return { kind: "written", version };
  }

  /** Deletes the object if the condition holds. */
  delete(name: string, condition: WriteCondition): WriteOutcome {
    if (!this.#objects.has(name)) return { kind: "not-found" };
    if (!this.#isMet(name, condition)) return { kind: "conflict" };
    this.#objects.delete(name);
    this.#append(name, undefined);
    return { kind: "written", version: `v${this.#sequence}` };
  }

  /** Events after `cursor`; a reset when the log no longer contains them. */
  eventsAfter(prefix: string, cursor: string): WatchBatch {
    const after = /^\d+$/.test(cursor) ? Number(cursor) : -1;
    const head = String(this.#sequence);
    if (after + 1 < this.#firstRetained || after > this.#sequence) {
      return { cursor: head, events: [], reset: true };
    }
    const first = this.#log[0]?.sequence ?? this.#firstRetained;
    const events: WatchEvent[] = this.#log
      .slice(Math.max(0, after + 1 - first))
      .filter((event) => !event.isSkipped)
      .filter((event) => event.name.startsWith(prefix))
      .map(({ sequence, name, object }) => ({
        cursor: String(sequence),
        name,
        object,
      }));
    return { cursor: head, events, reset: false };
  }

  /** Calls `callback` on each change; returns a function that unsubscribes. */
  onChange(callback: () => void): () => void {
    this.#listeners.add(callback);
    return () => this.#listeners.delete(callback);
  }

  /** Fault injection: no watch receives the next `count` events. */
  skipEvents(count: number): void {
    this.#eventsToSkip = count;
  }

  /** Fault injection: discards the log, so that every watch is reset. */
  compactLog(): void {
    this.#log = [];
    this.#sequence++;
    this.#firstRetained = this.#sequence + 1;
    this.#notifyListeners();
  }

  #isMet(name: string, condition: WriteCondition): boolean {
    const current = this.#objects.get(name);
    switch (condition.kind) {
      case "any":
        return true;
      case "absent":
        return current === undefined;
      case "version":
        return current?.version === condition.version;
    }
  }

  #append(name: string, object: StoredObject | undefined): void {
    this.#sequence++;
    const isSkipped = this.#eventsToSkip > 0;
    if (isSkipped) this.#eventsToSkip--;
    this.#log.push({ sequence: this.#sequence, name, object, isSkipped });
    if (this.#log.length > MAX_LOG_EVENTS) {
      this.#log = this.#log.slice(-MAX_LOG_EVENTS / 2);
      this.#firstRetained = this.#log[0]!.sequence;
    }
    this.#notifyListeners();
  }

  #notifyListeners(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
