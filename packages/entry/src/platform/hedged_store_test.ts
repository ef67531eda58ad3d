import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { HedgedStore } from "./hedged_store.ts";

const NAME = "config/main";
const OBJECT = { name: NAME, version: "1", value: "{}" };
const TIMEOUT_MS = 1_000;
/** A read that is repeated once ends well before its timeout. */
const REPEATED_READ_MAX_MS = 600;

/** An answer takes so long over a slow link. */
const ARRIVING_MS = 800;
/** By then an answer that is still missing counts as lost. */
const LOST_AFTER_MAX_MS = 500;

type Answer = neverthrow.Result<unknown, contracts.StoreError>;

type ScriptedCall = contracts.CallOptions & { readonly waitMs?: number };

/** A store that gives each call its next answer; undefined: none comes. */
class ScriptedStore {
  readonly calls: ScriptedCall[] = [];
  lostAnswers = 0;
  /** If set, each call is answered after this time. */
  answerDelayMs: number | undefined;
  /** If set, parts of the answer arrive at this interval until then. */
  progressIntervalMs: number | undefined;
  readonly #answers: (Answer | undefined)[];

  constructor(...answers: (Answer | undefined)[]) {
    this.#answers = answers;
  }

  hedged(mayRepeat = true): HedgedStore {
    const store = this as unknown as contracts.PlatformStore;
    return new HedgedStore({
      store,
      clock: { nowMs: () => performance.now() },
      mayRepeat: () => mayRepeat,
      onLostAnswer: () => this.lostAnswers++,
    });
  }

  get(_name: string, options: ScriptedCall) {
    return this.#call(options);
  }

  watch(_prefix: string, options: ScriptedCall) {
    return this.#call(options);
  }

  put(_name: string, _value: string, options: ScriptedCall) {
    return this.#call(options);
  }

  #call(options: ScriptedCall) {
    this.calls.push(options);
    const answer = this.#answers.shift();
    return new neverthrow.ResultAsync(
      new Promise<Answer>((resolve) => {
        if (answer !== undefined) return resolve(answer);
        if (this.answerDelayMs !== undefined) {
          const progress = this.progressIntervalMs === undefined
            ? undefined
            : setInterval(
              () => options.onProgress?.(),
              this.progressIntervalMs,
            );
          const succeed = () => {
            clearInterval(progress);
            resolve(neverthrow.ok(OBJECT));
          };
          setTimeout(succeed, this.answerDelayMs);
          return;
        }
        const fail = () =>
          resolve(neverthrow.err({ kind: "unavailable", message: "timeout" }));
        setTimeout(fail, options.timeoutMs);
        options.signal?.addEventListener("abort", fail);
      }),
    );
  }
}

/** A lost answer must not cost a read its whole timeout. */
test("should repeat a read whose answer is lost", async () => {
  const script = new ScriptedStore(undefined, neverthrow.ok(OBJECT));
  const startMs = performance.now();
  const result = await script.hedged().get(NAME, { timeoutMs: TIMEOUT_MS });
  expect(result._unsafeUnwrap()).toEqual(OBJECT);
  expect(performance.now() - startMs < REPEATED_READ_MAX_MS).toEqual(true);
  expect(script.calls.length).toEqual(2);
  await timers.setTimeout(LOST_AFTER_MAX_MS);
  expect(script.lostAnswers).toEqual(1);
});

/** A watch that is repeated must not wait for the next change again. */
test("should ask at once for the changes that a lost answer had", async () => {
  const batch = { cursor: "2", events: [], reset: false };
  const script = new ScriptedStore(undefined, neverthrow.ok(batch));
  const options = { timeoutMs: TIMEOUT_MS, waitMs: 200, cursor: "1" };
  const result = await script.hedged().watch("config/", options);
  expect(result._unsafeUnwrap()).toEqual(batch);
  expect(script.calls.map(({ waitMs }) => waitMs)).toEqual([200, 50]);
});

/** Repeated calls are priced, and help nobody while the store is away. */
test("should not repeat reads while the store answers nobody", async () => {
  const script = new ScriptedStore(undefined, neverthrow.ok(OBJECT));
  const result = await script.hedged(false)
    .get(NAME, { timeoutMs: TIMEOUT_MS });
  expect(result._unsafeUnwrapErr().kind).toEqual("unavailable");
  expect(script.calls.length).toEqual(1);
});

/** A refused call has an answer; the store must not get it once more. */
test("should return an error that the store has answered", async () => {
  const error = { kind: "not-found", message: "" } as const;
  const script = new ScriptedStore(neverthrow.err(error));
  const result = await script.hedged().get(NAME, { timeoutMs: TIMEOUT_MS });
  expect(result._unsafeUnwrapErr()).toEqual(error);
  expect(script.calls.length).toEqual(1);
});

/** Watches are renewed often after a lost answer, which a slow store can't bear. */
test("should not take the answer of a slow store for lost", async () => {
  const script = new ScriptedStore();
  script.answerDelayMs = 300;
  const result = await script.hedged().get(NAME, { timeoutMs: TIMEOUT_MS });
  expect(result._unsafeUnwrap()).toEqual(OBJECT);
  await timers.setTimeout(LOST_AFTER_MAX_MS);
  expect(script.lostAnswers).toEqual(0);
});

const WRITTEN = { name: NAME, version: "2", value: '{"a":1,"b":[2]}' };
const WRITE_OPTIONS = {
  timeoutMs: TIMEOUT_MS,
  condition: { kind: "version", version: "1" },
} as const;

/** A lost answer must not cost a write its whole timeout. */
test("should confirm a write whose answer is lost", async () => {
  const script = new ScriptedStore(undefined, neverthrow.ok(WRITTEN));
  const startMs = performance.now();
  const result = await script.hedged()
    .put(NAME, '{"b":[2],"a":1}', WRITE_OPTIONS);
  expect(result._unsafeUnwrap()).toEqual("2");
  expect(performance.now() - startMs < REPEATED_READ_MAX_MS).toEqual(true);
  await timers.setTimeout(LOST_AFTER_MAX_MS);
  expect(script.lostAnswers).toEqual(1);
});

/** A write that is still on its way must not count as failed or as done. */
test("should wait for the answer to a write that is not seen yet", async () => {
  const script = new ScriptedStore(undefined, neverthrow.ok(OBJECT));
  const result = await script.hedged()
    .put(NAME, WRITTEN.value, WRITE_OPTIONS);
  expect(result._unsafeUnwrapErr().kind).toEqual("unavailable");
  expect(script.calls.length).toEqual(2);
  expect(script.lostAnswers).toEqual(0);
});

/** Calls are priced, and a read tells nothing while the store is away. */
test("should not read back a write while the store answers nobody", async () => {
  const script = new ScriptedStore(undefined, neverthrow.ok(WRITTEN));
  const result = await script.hedged(false)
    .put(NAME, WRITTEN.value, WRITE_OPTIONS);
  expect(result._unsafeUnwrapErr().kind).toEqual("unavailable");
  expect(script.calls.length).toEqual(1);
});

/** Guards against a process that ends, and callers that wait, by an answer that the client can't read. */
for (const isAsync of [true, false]) {
  test(`should return an error when the client throws (async: ${isAsync})`, async () => {
    const fail = () => {
      throw new RangeError("Maximum call stack size exceeded");
    };
    const call = () => isAsync ? neverthrow.okAsync(OBJECT).map(fail) : fail();
    const client = {
      get: call,
      list: call,
      watch: call,
      put: call,
      delete: call,
    };
    const store = new HedgedStore({
      store: client as unknown as contracts.PlatformStore,
      clock: { nowMs: () => performance.now() },
      mayRepeat: () => true,
      onLostAnswer: () => {},
    });
    const results = await Promise.all([
      store.get(NAME, { timeoutMs: TIMEOUT_MS }),
      store.list("config/", { timeoutMs: TIMEOUT_MS }),
      store.watch("config/", { timeoutMs: TIMEOUT_MS, cursor: "1", waitMs: 0 }),
      store.put(NAME, "{}", WRITE_OPTIONS),
      store.delete(NAME, WRITE_OPTIONS),
    ]);
    for (const result of results) {
      const error = result._unsafeUnwrapErr();
      expect(error.kind).toEqual("unavailable");
      expect(error.message.includes("RangeError")).toEqual(true);
    }
  });
}

/** A repeated list shares the link with the first one, so that both are late. */
test("should not repeat a read whose answer is arriving", async () => {
  const store = new ScriptedStore(undefined);
  store.answerDelayMs = ARRIVING_MS;
  store.progressIntervalMs = 50;
  const result = await store.hedged().get(NAME, { timeoutMs: TIMEOUT_MS });
  expect(result.isOk()).toEqual(true);
  expect(store.calls.length).toEqual(1);
});
