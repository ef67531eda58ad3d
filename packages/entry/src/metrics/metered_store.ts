/**
 * Counts every call to the platform's store by kind, object type and result: the
 * platform limits calls to a few thousand per second.
 */
import type * as contracts from "@guavatide/contracts";
import type { ResultAsync } from "neverthrow";
import type { CountLabels } from "./labelled_counts.ts";

type CallKind =
  | "get"
  | "list"
  | "put"
  | "delete"
  | "watch"
  /** Reads that may return data some seconds old. */
  | "stale get"
  | "stale list";

/** Counter of store calls. */
export interface StoreCallCounter {
  add(count: number, labels: CountLabels): void;
}

/** A store whose calls are counted. */
export class MeteredStore implements contracts.PlatformStore {
  readonly #store: contracts.PlatformStore;
  readonly #counter: StoreCallCounter;

  constructor(store: contracts.PlatformStore, counter: StoreCallCounter) {
    this.#store = store;
    this.#counter = counter;
  }

  get(
    name: string,
    options: Parameters<contracts.PlatformStore["get"]>[1],
  ) {
    const kind = options.mayBeStale ? "stale get" : "get";
    return this.#count(kind, name, this.#store.get(name, options));
  }

  list(
    prefix: string,
    options: Parameters<contracts.PlatformStore["list"]>[1],
  ) {
    const kind = options.mayBeStale ? "stale list" : "list";
    return this.#count(kind, prefix, this.#store.list(prefix, options));
  }

  put(
    name: string,
    value: string,
    options: Parameters<contracts.PlatformStore["put"]>[2],
  ) {
    return this.#count("put", name, this.#store.put(name, value, options));
  }

  delete(
    name: string,
    options: Parameters<contracts.PlatformStore["delete"]>[1],
  ) {
    return this.#count("delete", name, this.#store.delete(name, options));
  }

  watch(
    prefix: string,
    options: Parameters<contracts.PlatformStore["watch"]>[1],
  ) {
    return this.#count("watch", prefix, this.#store.watch(prefix, options));
  }

  #count<Value>(
    kind: CallKind,
    name: string,
    call: ResultAsync<Value, contracts.StoreError>,
  ): ResultAsync<Value, contracts.StoreError> {
    const [objects = ""] = name.split("/");
    const note = (result: string) =>
      this.#counter.add(1, { kind, objects, result });
    return call
      .map((value) => {
        note("ok");
        return value;
      })
      .mapErr((error) => {
        note(error.kind);
        return error;
      });
  }
}
