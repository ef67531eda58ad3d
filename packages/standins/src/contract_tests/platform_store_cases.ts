/**
 * Contract-test table of the platform's store. It runs against any
 * implementation of {@link PlatformStore} whose other side can be given
 * these faults.
 */
import {
  type PlatformStore,
  STORE_VALUE_LIMIT_BYTES,
  type StoredObject,
  type WriteCondition,
} from "@guavatide/contracts";
import { expect } from "earl";
import type { StoreFaultSettings } from "../platform_store/store_faults.ts";
import type { StoreCounters } from "../platform_store/store_app.ts";
import {
  type ContractCase,
  expectErrorKind,
  expectOk,
} from "./contract_case.ts";

/** An empty store and the control of its faults. */
export interface StoreFixture {
  readonly store: PlatformStore;
  setFaults(faults: StoreFaultSettings): Promise<void>;
  /** Calls that the store has counted. */
  counters(): Promise<StoreCounters>;
}

type StoreCase = ContractCase<StoreFixture>;

/** Long enough for a call that is to succeed. */
const CALL = { timeoutMs: 10_000 };
/** For a call that is to fail. */
const SHORT_CALL = { timeoutMs: 60 };
const ABSENT: WriteCondition = { kind: "absent" };
const ANY: WriteCondition = { kind: "any" };

async function put(
  fixture: StoreFixture,
  name: string,
  value: string,
): Promise<string> {
  const options = { ...CALL, condition: ANY };
  return expectOk(await fixture.store.put(name, value, options));
}

async function read(
  fixture: StoreFixture,
  name: string,
): Promise<StoredObject> {
  return expectOk(await fixture.store.get(name, CALL));
}

async function cursorOf(fixture: StoreFixture): Promise<string> {
  return expectOk(await fixture.store.list("", CALL)).cursor;
}

const ORDINARY: readonly StoreCase[] = [
  {
    name: "should read back what was written under its new version",
    async run(fixture) {
      const first = await put(fixture, "config/a", `{"n":1}`);
      const second = await put(fixture, "config/a", `{"n":2}`);
      expect(first).not.toEqual(second);
      expect(await read(fixture, "config/a")).toEqual({
        name: "config/a",
        version: second,
        value: `{"n":2}`,
      });
    },
  },
  {
    name: "should list only names with the prefix, in order",
    async run(fixture) {
      const names = ["a/2", "b/1", "a/1", "a/odd name%2F é?#"];
      for (const name of names) await put(fixture, name, "{}");
      const listed = expectOk(await fixture.store.list("a/", CALL));
      expect(listed.objects.map((object) => object.name)).toEqual([
        "a/1",
        "a/2",
        "a/odd name%2F é?#",
      ]);
    },
  },
  {
    name: "should tell a missing object from a missing answer",
    async run(fixture) {
      expectErrorKind(await fixture.store.get("none", CALL), "not-found");
      const options = { ...CALL, condition: ANY };
      expectErrorKind(await fixture.store.delete("none", options), "not-found");
    },
  },
  {
    name: "should hold a value of the limit and refuse one byte more",
    async run(fixture) {
      const largest = `"${"x".repeat(STORE_VALUE_LIMIT_BYTES - 2)}"`;
      await put(fixture, "large", largest);
      expect((await read(fixture, "large")).value.length).toEqual(
        STORE_VALUE_LIMIT_BYTES,
      );
      const options = { ...CALL, condition: ANY };
      const over = await fixture.store.put("large", `${largest} `, options);
      expectErrorKind(over, "refused");
    },
  },
  {
    name: "should let a watch wait and tell it of writes and deletions",
    async run(fixture) {
      const cursor = await cursorOf(fixture);
      const waiting = fixture.store.watch("w/", {
        ...CALL,
        cursor,
        waitMs: 9_000,
      });
      await put(fixture, "other", "{}");
      await put(fixture, "w/1", "{}");
      const told = expectOk(await waiting);
      expect(told.events.map((event) => event.name)).toEqual(["w/1"]);
      await fixture.store.delete("w/1", { ...CALL, condition: ANY });
      const next = expectOk(
        await fixture.store.watch("w/", {
          ...CALL,
          cursor: told.cursor,
          waitMs: 9_000,
        }),
      );
      expect(next.events.map((event) => event.object)).toEqual([undefined]);
    },
  },
  {
    name: "should end a watch without events after its wait",
    async run(fixture) {
      const cursor = await cursorOf(fixture);
      const options = { ...CALL, cursor, waitMs: 20 };
      const told = expectOk(await fixture.store.watch("w/", options));
      expect(told.events).toEqual([]);
      expect(told.reset).toEqual(false);
    },
  },
  {
    name: "should count each call once, a waiting watch as one",
    async run(fixture) {
      const cursor = await cursorOf(fixture);
      await put(fixture, "a", "{}");
      await read(fixture, "a");
      await fixture.store.watch("a", { ...CALL, cursor, waitMs: 20 });
      await fixture.store.delete("a", { ...CALL, condition: ANY });
      expect(await fixture.counters()).toEqual({
        get: 1,
        list: 1,
        put: 1,
        delete: 1,
        watch: 1,
      });
    },
  },
];

const CONFLICTS: readonly StoreCase[] = [
  {
    name: "should let exactly one of many racing writers win",
    async run(fixture) {
      // Two planners or two operators read the same version and both write.
      // Were both told that they won, one edit would vanish without a word.
      const version = await put(fixture, "raced", "0");
      const condition = { kind: "version", version } as const;
      const results = await Promise.all(
        Array.from(
          { length: 8 },
          (_, writer) =>
            fixture.store.put("raced", `${writer + 1}`, { ...CALL, condition }),
        ),
      );
      const winners = results.flatMap((result, writer) =>
        result.isOk() ? [`${writer + 1}`] : []
      );
      expect(winners.length).toEqual(1);
      expect((await read(fixture, "raced")).value).toEqual(winners[0]!);
      const losers = results.filter((result) => result.isErr());
      for (const loser of losers) expectErrorKind(loser, "conflict");
    },
  },
  {
    name: "should leave the object alone when a condition fails",
    async run(fixture) {
      // A writer that was paused comes back with a version of long ago.
      const old = await put(fixture, "kept", "1");
      const present = await put(fixture, "kept", "2");
      const stale = { kind: "version", version: old } as const;
      for (const condition of [ABSENT, stale]) {
        const options = { ...CALL, condition };
        expectErrorKind(
          await fixture.store.put("kept", "3", options),
          "conflict",
        );
      }
      const options = { ...CALL, condition: stale };
      expectErrorKind(await fixture.store.delete("kept", options), "conflict");
      expect((await read(fixture, "kept")).version).toEqual(present);
    },
  },
];

const FAULTS: readonly StoreCase[] = [
  {
    name: "should say unavailable when a write took effect without its reply",
    async run(fixture) {
      // The connection dies between the store's write and its reply. A client
      // that said "failed", or wrote again by itself, would let its caller
      // decide on something that is not so.
      await fixture.setFaults({ loseRepliesOfWrites: 1 });
      const options = { ...CALL, condition: ABSENT };
      const result = await fixture.store.put("lost", "1", options);
      expectErrorKind(result, "unavailable");
      expect((await read(fixture, "lost")).value).toEqual("1");
      expect((await fixture.counters()).put).toEqual(1);
    },
  },
  {
    name: "should say unavailable on 5xx, whether or not it took effect",
    async run(fixture) {
      // A proxy of the platform gives 5xx in place of an answer that it lost.
      const options = { ...CALL, condition: ABSENT };
      await fixture.setFaults({ failWritesAfterEffect: 1 });
      expectErrorKind(
        await fixture.store.put("a", "1", options),
        "unavailable",
      );
      expect((await read(fixture, "a")).value).toEqual("1");
      await fixture.setFaults({ failCalls: 1 });
      expectErrorKind(
        await fixture.store.put("b", "1", options),
        "unavailable",
      );
      expectErrorKind(await fixture.store.get("b", CALL), "not-found");
    },
  },
  ...(["hang", "refuse"] as const).map((outage): StoreCase => ({
    name: `should end every kind of call in an outage (${outage}) and recover`,
    async run(fixture) {
      // The store is away for long. Each call has to end by its deadline, and
      // the first call afterwards has to meet a connection that works.
      const { store } = fixture;
      await put(fixture, "a", "1");
      await fixture.setFaults({ outage });
      const write = { ...SHORT_CALL, condition: ANY };
      const watch = { ...SHORT_CALL, cursor: "0", waitMs: 10 };
      const results = await Promise.all([
        store.get("a", SHORT_CALL),
        store.list("a", SHORT_CALL),
        store.put("a", "2", write),
        store.delete("a", write),
        store.watch("a", watch),
      ]);
      for (const result of results) expectErrorKind(result, "unavailable");
      await fixture.setFaults({ outage: "none" });
      expect((await read(fixture, "a")).value).toEqual("1");
    },
  })),
  {
    name: "should end a call to a slow store by its deadline",
    async run(fixture) {
      await put(fixture, "a", "1");
      await fixture.setFaults({ delayMs: 500 });
      expectErrorKind(await fixture.store.get("a", SHORT_CALL), "unavailable");
      await fixture.setFaults({ delayMs: 0 });
      expect((await read(fixture, "a")).value).toEqual("1");
    },
  },
  {
    name: "should end a cancelled call long before its deadline",
    async run(fixture) {
      await fixture.setFaults({ outage: "hang" });
      const controller = new AbortController();
      const call = fixture.store.get("a", {
        timeoutMs: 100_000,
        signal: controller.signal,
      });
      controller.abort();
      expectErrorKind(await call, "unavailable");
    },
  },
  {
    name: "should end a watch that went silent, and list what it missed",
    async run(fixture) {
      // Something between the two ends has lost track of the connection: no
      // error comes and no event either. Only the call's deadline shows it.
      const cursor = await cursorOf(fixture);
      await fixture.setFaults({ watch: "silent" });
      await put(fixture, "w/1", "{}");
      const options = { ...SHORT_CALL, cursor, waitMs: 10 };
      expectErrorKind(await fixture.store.watch("w/", options), "unavailable");
      const listed = expectOk(await fixture.store.list("w/", CALL));
      expect(listed.objects.length).toEqual(1);
    },
  },
  ...(["empty", "skips"] as const).map((fault): StoreCase => ({
    name: `should list what a watch never told (${fault})`,
    async run(fixture) {
      // The watch answers in good order and leaves events out. Nothing in its
      // answers shows that; a reader has to list from time to time.
      const cursor = await cursorOf(fixture);
      if (fault === "empty") await fixture.setFaults({ watch: "empty" });
      else await fixture.setFaults({ skipEvents: 1 });
      await put(fixture, "w/1", "{}");
      const options = { ...CALL, cursor, waitMs: 20 };
      const told = expectOk(await fixture.store.watch("w/", options));
      expect(told.events).toEqual([]);
      const listed = expectOk(await fixture.store.list("w/", CALL));
      expect(listed.objects.length).toEqual(1);
    },
  })),
  {
    name: "should tell a watch whose events are gone to list anew",
    async run(fixture) {
      // A reader was paused for longer than the store keeps its changes.
      const cursor = await cursorOf(fixture);
      await put(fixture, "w/1", "{}");
      await fixture.setFaults({ forgetLog: true });
      const options = { ...CALL, cursor, waitMs: 9_000 };
      const told = expectOk(await fixture.store.watch("w/", options));
      expect(told.reset).toEqual(true);
    },
  },
];

/** Every row of the table. */
export const PLATFORM_STORE_CASES: readonly StoreCase[] = [
  ...ORDINARY,
  ...CONFLICTS,
  ...FAULTS,
];
