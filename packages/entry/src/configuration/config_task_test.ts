import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test, type TestContext } from "node:test";
import * as timers from "node:timers/promises";
import { MonotonicClock } from "../utils/clock.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import { FakeStore } from "./fake_store_test.ts";
import * as configuration from "./mod.ts";

const DEADLINE_MS = 8000;
const NOOP_LOG = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Carries revisions and sets between the tasks of one test. */
class FakeNetwork {
  readonly tasks = new Map<contracts.VmId, configuration.ConfigTask>();
  readonly partitioned = new Set<contracts.VmId>();

  /** One heartbeat of every VM to every other. */
  exchangeHeartbeats(): void {
    for (const [from, task] of this.tasks) {
      for (const [to, other] of this.tasks) {
        if (
          from === to || this.partitioned.has(from) || this.partitioned.has(to)
        ) continue;
        other.notePeerRevision(from, task.revision);
      }
    }
  }

  sourceFor(vm: contracts.VmId): configuration.PeerConfigSource {
    return {
      liveVms: () => {
        if (this.partitioned.has(vm)) return [vm];
        const others = [...this.tasks.keys()];
        return others.filter((each) =>
          each === vm || !this.partitioned.has(each)
        );
      },
      serve: () => undefined,
      fetch: (to, { haveRevision }) => {
        const task = this.tasks.get(to);
        if (
          task === undefined || this.partitioned.has(vm) ||
          this.partitioned.has(to)
        ) {
          const message = "The test cut this peer off";
          return neverthrow.errAsync({ kind: "unreachable", message });
        }
        return neverthrow.okAsync(task.deltaSince(haveRevision) ?? null);
      },
      announce: () => this.exchangeHeartbeats(),
    };
  }
}

class Cluster {
  readonly store = new FakeStore();
  readonly network = new FakeNetwork();
  readonly #choice: decisions.WatcherSelector;
  readonly #lifeCycles: LifeCycle[] = [];
  readonly vms: contracts.VmId[];

  private constructor(choice: decisions.WatcherSelector, size: number) {
    this.#choice = choice;
    this.vms = Array.from(
      { length: size },
      (_, index) => `entry-${index}` as contracts.VmId,
    );
    for (const vm of this.vms) this.add(vm);
  }

  static async start(t: TestContext, size: number): Promise<Cluster> {
    const fleet = new Cluster(await decisions.createWatcherSelector(), size);
    const beats = setInterval(() => fleet.network.exchangeHeartbeats(), 10);
    t.after(() => clearInterval(beats));
    t.after(() => Promise.all(fleet.#lifeCycles.map((each) => each.stop())));
    return fleet;
  }

  /** Starts a process with nothing in memory under this name. */
  add(vm: contracts.VmId): configuration.ConfigTask {
    const task = new configuration.ConfigTask({
      vm,
      store: this.store,
      peers: this.network.sourceFor(vm),
      watcherSelector: this.#choice,
      clock: new MonotonicClock(),
      random: { next: Math.random },
      log: NOOP_LOG,
      watchWaitMs: 200,
      compareIntervalMs: 100,
      peerDiscoveryMs: 50,
      storeTimeoutMs: 100,
      peerTimeoutMs: 100,
    });
    this.network.tasks.set(vm, task);
    const lifeCycle = new LifeCycle();
    this.#lifeCycles.push(lifeCycle);
    task.start(lifeCycle);
    return task;
  }

  task(index: number): configuration.ConfigTask {
    return this.network.tasks.get(this.vms[index]!)!;
  }

  write(revision: number, region = `region-${revision}`): Promise<unknown> {
    const objects = [{ kind: "place", name: "plateau", region }];
    const text = JSON.stringify(objects);
    const entry = {
      revision,
      publishedBy: "ana",
      publishedAt: "2026-01-01T00:00:00Z",
      nonce: `nonce-${revision}`,
      changes: [],
      changeCount: 0,
      chunks: 0,
    };
    const value = JSON.stringify({
      writer: "entry-0",
      checksum: configuration.checksumOf(text),
      text,
      drains: [],
      history: [entry],
    });
    const condition = { kind: "any" } as const;
    const name = configuration.CURRENT_NAME;
    return Promise.resolve(this.store.put(name, value, { condition }));
  }

  async waitFor(revision: number): Promise<void> {
    await waitUntil(() =>
      [...this.network.tasks.values()]
        .every((task) => task.revision === revision)
    );
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const until = performance.now() + DEADLINE_MS;
  while (!condition()) {
    if (performance.now() > until) throw new Error("Condition not met in time");
    await timers.setTimeout(5);
  }
}

test("should bring a revision to every VM through two watches", async (t) => {
  const fleet = await Cluster.start(t, 7);
  await fleet.write(1);
  await fleet.waitFor(1);
  await fleet.write(2);
  await fleet.waitFor(2);
  const watching = [...fleet.network.tasks.values()]
    .filter((task) => task.isWatcher);
  expect(watching.length).toEqual(decisions.WATCHER_COUNT);
});

// The connection under the watch was forgotten by something between the two
// ends: no event comes and no error either. The agreed split would stay out of
// force for good.
test("should notice a watch that has gone silent", async (t) => {
  const fleet = await Cluster.start(t, 3);
  await fleet.write(1);
  await fleet.waitFor(1);
  fleet.store.isWatchStalled = true;
  await fleet.write(2);
  await fleet.waitFor(2);
});

// The store goes away right after a publish was accepted, and an entry VM
// restarts empty. It must serve the accepted split, not an older one or none.
test("should get the revision from peers while the store is down", async (t) => {
  const fleet = await Cluster.start(t, 3);
  await fleet.write(4);
  await fleet.waitFor(4);
  fleet.store.fault = () => "down";
  const restarted = fleet.add(fleet.vms[1]!);
  await waitUntil(() => restarted.revision === 4);
  expect(restarted.config).toEqual(fleet.task(0).config);
});

// A VM was cut off through two publishes and comes back offering its old
// revision, and the store was restored from an old copy. Users would see the
// old cost split return.
test("should revert neither for a peer nor for the store", async (t) => {
  const fleet = await Cluster.start(t, 4);
  await fleet.write(1);
  await fleet.waitFor(1);
  fleet.network.partitioned.add(fleet.vms[3]!);
  fleet.store.fault = () => "down";
  const seen: number[] = [];
  fleet.task(0).onApplied((config) => seen.push(config.revision));
  const objects = [...fleet.task(0).config!.objects];
  const by = { publishedBy: "ana", publishedAt: "2026-01-01T00:00:00Z" };
  fleet.task(0).notePublished({ ...by, revision: 3, objects });
  await waitUntil(() => fleet.task(1).revision === 3);
  expect(fleet.task(3).revision).toEqual(1);
  fleet.network.partitioned.clear();
  fleet.store.fault = () => "none";
  await fleet.write(2);
  await fleet.waitFor(3);
  const gets = fleet.store.calls.length;
  await waitUntil(() => fleet.store.calls.length > gets + 5);
  expect(seen).toEqual([3]);
  await fleet.waitFor(3);
});

// A whole publish fails on its way to a peer that has moved on meanwhile; a
// delta for another revision must not be applied on top.
test("should fetch the whole set when a delta does not fit", async (t) => {
  const fleet = await Cluster.start(t, 2);
  await fleet.write(1);
  await fleet.waitFor(1);
  fleet.store.fault = () => "down";
  const objects = [...fleet.task(0).config!.objects];
  const by = { publishedBy: "ana", publishedAt: "2026-01-01T00:00:00Z" };
  const answer = fleet.task(0).deltaSince.bind(fleet.task(0));
  let isFirst = true;
  fleet.task(0).deltaSince = (have) => {
    const delta = answer(isFirst ? have : 0);
    if (!isFirst || delta === undefined) return delta;
    isFirst = false;
    return { ...delta, baseRevision: 99 };
  };
  fleet.task(0).notePublished({ ...by, revision: 2, objects });
  await fleet.waitFor(2);
});
