import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { waitUntil, withFixture } from "../../requests/fakes_test_support.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { KindWatch } from "./kind_watch.ts";
import type { ObjectChange } from "./object_table.ts";
import { SystemClock } from "../../utils/clock.ts";
import { createJumpingClock } from "../../utils/clock_test_support.ts";
import { StoreHealth } from "./store_health.ts";
import { NO_ANSWER } from "./store_test_support.ts";

const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
const PREFIX = "config/";
const PEER = "vm2" as contracts.VmId;
/** A change has to be known this long after a reader has learned of it. */
const CHANGE_BOUND_MS = 2_000;
/** Interval of the statuses of readers. */
const STATUS_INTERVAL_MS = 300;
/** Timeout of a call to a peer. */
const PEER_TIMEOUT_MS = 600;
/** Shorter than the timeout of a list. */
const SLOW_LIST_MS = 900;

/** A watch with defaults for all that a test does not look at. */
function createWatch(
  { store, ...options }:
    & Pick<ConstructorParameters<typeof KindWatch>[0], "relay">
    & Partial<Omit<ConstructorParameters<typeof KindWatch>[0], "store">>
    & { readonly store: object },
): KindWatch {
  const clock = options.clock ?? new SystemClock();
  return new KindWatch({
    store: store as contracts.PlatformStore,
    health: new StoreHealth({ clock, log: SILENT }),
    prefix: PREFIX,
    log: SILENT,
    clock,
    random: { next: () => 0.5 },
    onList: () => {},
    onChanges: () => {},
    ...options,
  });
}

/** A VM that is not a reader; its peer answers nothing, and its store slowly. */
class BehindVm {
  readonly lifeCycle = new LifeCycle();
  #version = 1;
  #listDelayMs = 0;
  #knownVersion = 0;
  #knownAtMs = 0;
  readonly watch = createWatch({
    store: this.#store(),
    relay: this.#relay(),
    onList: ([object]) => this.#knownVersion = Number(object!.version),
    onChanges: ([change]) => {
      this.#knownVersion = Number(change!.object!.version);
      this.#knownAtMs = performance.now();
    },
  });

  async start(): Promise<void> {
    this.watch.start(this.lifeCycle);
    await waitUntil(() => this.#knownVersion === 1);
    this.#listDelayMs = SLOW_LIST_MS;
  }

  /** The version that this VM has learned of last. */
  get knownVersion(): number {
    return this.#knownVersion;
  }

  /** The version that the store lists; a list under way has an older one. */
  set storeVersion(version: number) {
    this.#version = version;
  }

  /** A change that a reader relays. */
  relay(fromPosition: number, toPosition: number): void {
    const object = objectOf(toPosition);
    this.watch.applyRelayed({
      fromPosition,
      toPosition,
      events: [{ name: object.name, object }],
      madeAfterMs: performance.now(),
    }, PEER);
  }

  /** Changes the object, and reports the new position as readers do. */
  async timeUntilKnown(): Promise<number> {
    this.#version = 2;
    const startMs = performance.now();
    while (this.#knownVersion < 2) {
      await timers.setTimeout(STATUS_INTERVAL_MS);
      this.watch.notePeerPosition(this.#version, PEER);
    }
    return this.#knownAtMs - startMs;
  }

  #relay() {
    return {
      isReader: false,
      add() {},
      publish() {},
      requestChanges() {},
      fetchSnapshot: async () => {
        await timers.setTimeout(PEER_TIMEOUT_MS);
        return undefined;
      },
    } as unknown as ConstructorParameters<typeof KindWatch>[0]["relay"];
  }

  #store() {
    return {
      list: () =>
        new neverthrow.ResultAsync((async () => {
          const object = objectOf(this.#version);
          await timers.setTimeout(this.#listDelayMs);
          return neverthrow.ok({ objects: [object], cursor: object.version });
        })()),
    };
  }
}

function objectOf(version: number): contracts.StoredObject {
  return { name: `${PREFIX}main`, version: String(version), value: "{}" };
}

/** Steps that are each sensible must not add up to more than the bound. */
test("should know a change in time when messages, peer and list fail or are slow", () =>
  withFixture(new BehindVm(), async (vm) => {
    await vm.start();
    expect(await vm.timeUntilKnown() <= CHANGE_BOUND_MS).toEqual(true);
  }));

/** A list that the store has answered late must not bring back older objects. */
test("should keep a relayed change when a list that began before it ends", () =>
  withFixture(new BehindVm(), async (vm) => {
    await vm.start();
    vm.storeVersion = 2;
    vm.watch.notePeerPosition(2, PEER);
    await timers.setTimeout(STATUS_INTERVAL_MS * 2 + 100);
    vm.watch.notePeerPosition(2, PEER);
    // The fetch from the peer has failed and the list is under way by then.
    await timers.setTimeout(PEER_TIMEOUT_MS + 100);
    vm.relay(1, 3);
    expect(vm.knownVersion).toEqual(3);
    await timers.setTimeout(SLOW_LIST_MS);
    expect(vm.knownVersion).toEqual(3);
  }));

/**
 * Guards against changes that are never learned: one page of a list may be older
 * than another, and the position is that of the older one.
 */
for (const isReader of [false, true]) {
  test(
    `should miss no change of an older page (${
      isReader ? "reader" : "other VM"
    })`,
    async () => {
      const lifeCycle = new LifeCycle();
      const requested: number[] = [];
      const objects = [99, 105].map((version) => ({
        name: `servers/s${version}`,
        version: String(version),
        value: "{}",
      }));
      const watch = createWatch({
        store: {
          list: () => neverthrow.okAsync({ objects, cursor: "100" }),
          watch: (_prefix: string, { cursor }: { readonly cursor: string }) => {
            requested.push(Number(cursor));
            const pending = timers.setTimeout(STATUS_INTERVAL_MS, {
              cursor: "105",
              events: [],
              reset: false,
            });
            return neverthrow.ResultAsync.fromSafePromise(pending);
          },
        },
        prefix: "servers/",
        relay: {
          isReader,
          isStoreSteady: true,
          schedule: { plan: () => STATUS_INTERVAL_MS, remove() {} },
          add() {},
          noteStorePosition() {},
          requestChanges: (_prefix: string, position: number) =>
            requested.push(position),
          fetchSnapshot: () => Promise.resolve(undefined),
        } as unknown as ConstructorParameters<typeof KindWatch>[0]["relay"],
      });
      watch.start(lifeCycle);
      await waitUntil(() => watch.snapshot !== undefined);
      watch.notePeerPosition(105, PEER);
      await waitUntil(() => requested.length > 0, 1_000).catch(() => {});
      await lifeCycle.stop();
      expect(requested[0]).toEqual(100);
    },
  );
}

const SERVERS = "servers/";
const ODD_NAME = "servers/odd";
const RESTART_MAX_MS = 1_000;

function serverAt(name: string, version: number): contracts.StoredObject {
  return { name, version: String(version), value: "{}" };
}

/** A batch of changes that a reader has passed on to its peers. */
interface PublishedChanges {
  readonly fromPosition: number;
  readonly toPosition: number;
  readonly events: readonly ObjectChange[];
  readonly madeAfterMs: number;
}

/**
 * The relay of a reader; `publish` gets the changes that are passed on, and
 * watches wait for `waitMs`.
 */
function readerRelay(
  publish: (changes: PublishedChanges) => void = () => {},
  waitMs = STATUS_INTERVAL_MS,
) {
  return {
    isReader: true,
    isStoreSteady: true,
    schedule: { plan: () => waitMs, remove() {} },
    add() {},
    noteStorePosition() {},
    publish: (_prefix: string, changes: PublishedChanges) => publish(changes),
  } as unknown as ConstructorParameters<typeof KindWatch>[0]["relay"];
}

/** A reader whose listeners fail on one object, and whose store may throw. */
class FailingReader {
  readonly lifeCycle = new LifeCycle(SILENT);
  readonly known = new Map<string, string>();
  readonly cursors: string[] = [];
  /** Called with each call to the store. */
  onCall: () => void = () => {};
  /** Objects of the list, and of the first watch. */
  readonly listed = [serverAt("servers/a", 1)];
  readonly changed: contracts.StoredObject[] = [];
  readonly watch = createWatch({
    store: this.#store(),
    prefix: SERVERS,
    relay: readerRelay(),
    onList: (objects) => objects.forEach((object) => this.#learn(object)),
    onChanges: (changes) =>
      changes.forEach(({ object }) => this.#learn(object!)),
  });

  start(): void {
    this.watch.start(this.lifeCycle);
  }

  #learn({ name, version }: contracts.StoredObject): void {
    if (name === ODD_NAME) throw new RangeError("Too deep");
    this.known.set(name, version);
  }

  #store() {
    return {
      list: () => {
        this.onCall();
        return neverthrow.okAsync({ objects: this.listed, cursor: "1" });
      },
      watch: (_prefix: string, { cursor }: { readonly cursor: string }) => {
        this.onCall();
        this.cursors.push(cursor);
        const last = this.changed.at(-1)?.version ?? "1";
        const events = cursor === last ? [] : this.changed
          .map((object) => ({ cursor: last, name: object.name, object }));
        const pending = timers.setTimeout(20, {
          cursor: last,
          events,
          reset: false,
        });
        return neverthrow.ResultAsync.fromSafePromise(pending);
      },
    };
  }
}

/** Guards against a first list that is lost as a whole for one odd object. */
test("should pass on all other objects of a list when the listener fails on one", () =>
  withFixture(new FailingReader(), async (reader) => {
    reader.listed.unshift(serverAt(ODD_NAME, 1));
    reader.start();
    await waitUntil(() => reader.cursors.length >= 2);
    expect([...reader.known]).toEqual([["servers/a", "1"]]);
  }));

/** Guards against changes, and a position, that are lost for one odd change. */
test("should pass on all other changes when the listener fails on one", () =>
  withFixture(new FailingReader(), async (reader) => {
    reader.changed.push(serverAt(ODD_NAME, 2), serverAt("servers/b", 3));
    reader.start();
    await waitUntil(() => reader.cursors.includes("3"), RESTART_MAX_MS);
    expect(reader.known.get("servers/b")).toEqual("3");
    expect(reader.cursors.slice(0, 2)).toEqual(["1", "3"]);
  }));

/** Guards against a VM that no longer follows the list after an error. */
test("should go on watching from its position after steps that throw", () =>
  withFixture(new FailingReader(), async (reader) => {
    let calls = 0;
    reader.onCall = () => {
      calls++;
      // The first list, and the first watch after it.
      if (calls === 1 || calls === 3) throw new RangeError("Too deep");
    };
    reader.changed.push(serverAt("servers/b", 3));
    reader.start();
    await waitUntil(
      () => reader.known.get("servers/b") === "3",
      RESTART_MAX_MS,
    );
    expect(reader.cursors[0]).toEqual("1");
  }));

/**
 * Guards against a change that a reader sends whole as it knows no version before
 * it: peers then fetch everything, from one VM, all at once.
 */
test("should not send a change again that a peer has relayed", async () => {
  const lifeCycle = new LifeCycle();
  const published: PublishedChanges[] = [];
  const watch = createWatch({
    store: {
      list: () => neverthrow.okAsync({ objects: [objectOf(1)], cursor: "1" }),
      watch: () => {
        const object = objectOf(5);
        const pending = timers.setTimeout(STATUS_INTERVAL_MS, {
          cursor: "9",
          events: [{ name: object.name, object }],
          reset: false,
        });
        return neverthrow.ResultAsync.fromSafePromise(pending);
      },
    },
    relay: readerRelay((changes) => published.push(changes)),
  });
  watch.start(lifeCycle);
  await waitUntil(() => watch.snapshot !== undefined);
  const object = objectOf(5);
  watch.applyRelayed({
    fromPosition: 1,
    toPosition: 5,
    events: [{ name: object.name, object }],
    madeAfterMs: performance.now(),
  }, PEER);
  await waitUntil(() => published.length > 0, 2 * STATUS_INTERVAL_MS);
  await lifeCycle.stop();
  // What follows it may only be applied by VMs that know it.
  const [{ fromPosition, toPosition, events }] = published as [
    PublishedChanges,
  ];
  expect(events).toEqual([]);
  expect([fromPosition, toPosition]).toEqual([5, 9]);
});

/**
 * Guards against a change that counts as just made, as the answer that brought
 * it has waited in a suspension of the machine.
 */
test("should not date a change by an answer that may have waited in a suspension", async () => {
  const lifeCycle = new LifeCycle();
  const { clock, jumpWallClock } = createJumpingClock();
  const startMs = performance.now();
  const published: PublishedChanges[] = [];
  const watch = createWatch({
    store: {
      list: () => neverthrow.okAsync({ objects: [objectOf(1)], cursor: "1" }),
      watch: () => {
        const object = objectOf(5);
        const waitMs = 1.6 * STATUS_INTERVAL_MS;
        const answered = timers.setTimeout(waitMs).then(() => {
          jumpWallClock(2_000);
          const events = [{ name: object.name, object }];
          return { cursor: "5", events, reset: false };
        });
        return neverthrow.ResultAsync.fromSafePromise(answered);
      },
    },
    clock,
    relay: readerRelay((changes) => published.push(changes)),
  });
  watch.start(lifeCycle);
  await waitUntil(() => published.length > 0, 4 * STATUS_INTERVAL_MS);
  await lifeCycle.stop();
  const listedMs = startMs + STATUS_INTERVAL_MS / 2;
  expect(published[0]!.madeAfterMs).toBeLessThan(listedMs);
});

/** Answers of the store take so long. */
const SLOW_ANSWER_MS = 300;
/** Other calls fail, and one is answered, at this interval. */
const FLAP_INTERVAL_MS = 200;

/**
 * Guards against a reader that starts over each time that the store is back, and
 * learns of nothing while a slow store loses some of its answers.
 */
test("should learn of changes while the store is unreachable and back again and again", async () => {
  const lifeCycle = new LifeCycle();
  const clock = new SystemClock();
  const health = new StoreHealth({ clock, log: SILENT });
  const known = new Set<string>();
  let calls = 0;
  const answer = <Value>(value: () => Value) =>
    neverthrow.ResultAsync.fromSafePromise(
      timers.setTimeout(SLOW_ANSWER_MS).then(value),
    );
  const watch = createWatch({
    store: {
      list: () => {
        calls++;
        return answer(() => ({ objects: [objectOf(1)], cursor: "1" }));
      },
      watch: () => {
        calls++;
        const object = objectOf(5);
        const events = [{ name: object.name, object }];
        return answer(() => ({ cursor: "5", events, reset: false }));
      },
    },
    health,
    clock,
    relay: readerRelay(),
    onChanges: (changes) => {
      for (const { object } of changes) known.add(object!.version);
    },
  });
  try {
    watch.start(lifeCycle);
    await waitUntil(() => watch.snapshot !== undefined);
    lifeCycle.every(FLAP_INTERVAL_MS, () => {
      for (const result of [NO_ANSWER, NO_ANSWER, neverthrow.ok({})]) {
        health.startCall().noteResult(result);
      }
    }, "answers of other calls");
    await waitUntil(() => known.has("5"), 10 * SLOW_ANSWER_MS);
    expect(calls).toBeLessThanOrEqual(4);
  } finally {
    await lifeCycle.stop();
  }
});

/** Wait of a watch while the store is steady. */
const LONG_WAIT_MS = 5_000;
const CHECK_ANSWER_MS = 100;

/**
 * Guards against a change that is learned seconds late because the answers to
 * the watch and to the check for it were both lost.
 */
test("should learn of a change when the check for it gets no answer", async () => {
  const lifeCycle = new LifeCycle();
  const clock = new SystemClock();
  const known = new Set<string>();
  const object = objectOf(5);
  const batch = {
    cursor: object.version,
    events: [{ name: object.name, object }],
    reset: false,
  };
  let longWatches = 0;
  const watch = createWatch({
    store: {
      list: () => neverthrow.okAsync({ objects: [objectOf(1)], cursor: "1" }),
      watch: (
        _prefix: string,
        { waitMs, signal }: {
          readonly waitMs: number;
          readonly signal?: AbortSignal;
        },
      ) => {
        if (waitMs === LONG_WAIT_MS && ++longWatches > 1) {
          return neverthrow.okAsync(batch);
        }
        const unansweredMs = signal === undefined
          ? CHECK_ANSWER_MS
          : LONG_WAIT_MS;
        const unanswered = timers.setTimeout(unansweredMs, undefined, {
          signal,
        });
        return new neverthrow.ResultAsync(
          unanswered.then(() => NO_ANSWER, () => NO_ANSWER),
        );
      },
    },
    clock,
    relay: readerRelay(() => {}, LONG_WAIT_MS),
    onChanges: () => known.add(object.version),
  });
  try {
    watch.start(lifeCycle);
    await waitUntil(() => longWatches === 1);
    watch.noteStorePosition(Number(object.version), clock.nowMs());
    await waitUntil(() => known.has(object.version), CHANGE_BOUND_MS);
  } finally {
    await lifeCycle.stop();
  }
});
