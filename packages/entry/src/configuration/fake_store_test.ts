/** A store in memory whose replies can be lost, for tests of this folder. */
import type * as contracts from "@guavatide/contracts";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";

type Reply<Value> = neverthrow.ResultAsync<Value, contracts.StoreError>;

/** What the store does with a call, asked before it answers. */
export type Fault = "none" | "down" | "lost-reply";

export class FakeStore implements contracts.PlatformStore {
  readonly objects = new Map<string, contracts.StoredObject>();
  readonly calls: string[] = [];
  /** Decides the fault of each call; `call` is `method name`. */
  fault: (call: string) => Fault = () => "none";
  /** Runs after a write took effect and before it is answered. */
  afterWrite: (name: string) => void = () => undefined;
  /** Watches that bring nothing, without an error. */
  isWatchStalled = false;
  readonly #events: contracts.WatchEvent[] = [];
  #version = 0;

  get(name: string): Reply<contracts.StoredObject> {
    return this.#answer(`get ${name}`, () => {
      const found = this.objects.get(name);
      return found === undefined
        ? neverthrow.err(error("not-found"))
        : neverthrow.ok(found);
    });
  }

  list(
    prefix: string,
  ): Reply<{ objects: contracts.StoredObject[]; cursor: string }> {
    return this.#answer(`list ${prefix}`, () => {
      const objects = [...this.objects.values()]
        .filter((object) => object.name.startsWith(prefix));
      return neverthrow.ok({ objects, cursor: String(this.#events.length) });
    });
  }

  put(
    name: string,
    value: string,
    { condition }: { readonly condition: contracts.WriteCondition },
  ): Reply<string> {
    return this.#answer(`put ${name}`, () => {
      if (!this.#holds(name, condition)) {
        return neverthrow.err(error("conflict"));
      }
      const version = `v${++this.#version}`;
      const object = { name, version, value };
      this.objects.set(name, object);
      this.#events.push({ cursor: "", name, object });
      this.afterWrite(name);
      return neverthrow.ok(version);
    });
  }

  delete(
    name: string,
    { condition }: { readonly condition: contracts.WriteCondition },
  ): Reply<void> {
    return this.#answer(`delete ${name}`, () => {
      if (!this.objects.has(name)) return neverthrow.err(error("not-found"));
      if (!this.#holds(name, condition)) {
        return neverthrow.err(error("conflict"));
      }
      this.objects.delete(name);
      return neverthrow.ok(undefined);
    });
  }

  watch(
    prefix: string,
    options: contracts.CallOptions & { cursor: string; waitMs: number },
  ): Reply<contracts.WatchBatch> {
    return new neverthrow.ResultAsync(this.#poll(prefix, options));
  }

  async #poll(
    prefix: string,
    options: contracts.CallOptions & { cursor: string; waitMs: number },
  ): Promise<neverthrow.Result<contracts.WatchBatch, contracts.StoreError>> {
    const until = performance.now() + options.waitMs;
    const start = Number(options.cursor);
    while (performance.now() < until && !options.signal?.aborted) {
      const isReady = !this.isWatchStalled && this.#events.length > start;
      if (this.fault(`watch ${prefix}`) !== "none" || isReady) break;
      await timers.setTimeout(2);
    }
    return await this.#answer(`watch ${prefix}`, () => {
      const all = this.isWatchStalled ? [] : this.#events.slice(start);
      const events = all.filter((event) => event.name.startsWith(prefix));
      const cursor = String(this.#events.length);
      return neverthrow.ok({ cursor, events, reset: false });
    });
  }

  #holds(name: string, condition: contracts.WriteCondition): boolean {
    const version = this.objects.get(name)?.version;
    if (condition.kind === "any") return true;
    if (condition.kind === "absent") return version === undefined;
    return version === condition.version;
  }

  #answer<Value>(
    call: string,
    run: () => neverthrow.Result<Value, contracts.StoreError>,
  ): Reply<Value> {
    this.calls.push(call);
    const fault = this.fault(call);
    const result = fault === "down" ? undefined : run();
    return new neverthrow.ResultAsync(Promise.resolve(
      result === undefined || fault === "lost-reply"
        ? neverthrow.err(error("unavailable"))
        : result,
    ));
  }
}

function error(kind: contracts.StoreError["kind"]): contracts.StoreError {
  return { kind, message: `The fake store says ${kind}` };
}
