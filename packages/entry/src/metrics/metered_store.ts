/**
 * Counts every call to the platform's store by kind and result: the platform
 * counts them too and allows a few thousand a second.
 */
import type * as contracts from "@guavatide/contracts";
import type { ResultAsync } from "neverthrow";
import type { Metrics } from "./metrics.ts";

type CallKind = "get" | "list" | "put" | "delete" | "watch";

/** A store whose calls are counted. */
export class MeteredStore implements contracts.PlatformStore {
  readonly #store: contracts.PlatformStore;
  readonly #metrics: Metrics;

  constructor(store: contracts.PlatformStore, metrics: Metrics) {
    this.#store = store;
    this.#metrics = metrics;
  }

  get(name: string, options: contracts.CallOptions) {
    return this.#count("get", this.#store.get(name, options));
  }

  list(prefix: string, options: contracts.CallOptions) {
    return this.#count("list", this.#store.list(prefix, options));
  }

  put(
    name: string,
    value: string,
    options: Parameters<contracts.PlatformStore["put"]>[2],
  ) {
    return this.#count("put", this.#store.put(name, value, options));
  }

  delete(
    name: string,
    options: Parameters<contracts.PlatformStore["delete"]>[1],
  ) {
    return this.#count("delete", this.#store.delete(name, options));
  }

  watch(
    prefix: string,
    options: Parameters<contracts.PlatformStore["watch"]>[1],
  ) {
    return this.#count("watch", this.#store.watch(prefix, options));
  }

  #count<Value>(
    kind: CallKind,
    call: ResultAsync<Value, contracts.StoreError>,
  ): ResultAsync<Value, contracts.StoreError> {
    const note = (result: string) =>
      this.#metrics.storeCalls.add(1, { kind, result });
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
