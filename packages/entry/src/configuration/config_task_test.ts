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

/** Carries heartbeats and fetches between the tasks of one test. */
class FakeNetwork {
  readonly tasks = new Map<contracts.VmId, configuration.ConfigTask>();
  readonly partitioned = new Set<contracts.VmId>();

  /** Delivers one heartbeat from every VM to every other. */
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
          const message = "The test partitioned this peer";
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
  readonly #watcherSelector: decisions.WatcherSelector;
  readonly #lifeCycles: LifeCycle[] = [];
  readonly vms: contracts.VmId[];

  private constructor(
    watcherSelector: decisions.WatcherSelector,
    size: number,
  ) {
    this.#watcherSelector = watcherSelector;
    this.vms = Array.from(
      { length: size },
      (_, index) => `entry-${index}` as contracts.VmId,
    );
    for (const vm of this.vms) this.add(vm);
  }

  static async start(t: TestContext, size: number): Promise<Cluster> {
    const cluster = new Cluster(await decisions.createWatcherSelector(), size);
    const heartbeats = setInterval(
      () => cluster.network.exchangeHeartbeats(),
      10,
    );
    t.after(() => clearInterval(heartbeats));
    t.after(() => Promise.all(cluster.#lifeCycles.map((each) => each.stop())));
    return cluster;
  }

  /** Starts a process of this name without any state. */
  add(vm: contracts.VmId): configuration.ConfigTask {
    const task = new configuration.ConfigTask({
      vm,
      store: this.store,
      peers: this.network.sourceFor(vm),
      watcherSelector: this.#watcherSelector,
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
  const endMs = performance.now() + DEADLINE_MS;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error("Condition not met in time");
    await timers.setTimeout(5);
  }
}

test("should deliver a revision to every VM through two watchers", async (t) => {
  const cluster = await Cluster.start(t, 7);
  await cluster.write(1);
  await cluster.waitFor(1);
  await cluster.write(2);
  await cluster.waitFor(2);
  const watchers = [...cluster.network.tasks.values()]
    .filter((task) => task.isWatcher);
  expect(watchers.length).toEqual(decisions.WATCHER_COUNT);
});

// A device between the two ends has dropped the state of the watch's connection:
// neither events nor errors arrive any more. The published cost split would never come into force.
test("should detect a stalled watch", async (t) => {
  const cluster = await Cluster.start(t, 3);
  await cluster.write(1);
  await cluster.waitFor(1);
  cluster.store.isWatchStalled = true;
  await cluster.write(2);
  await cluster.waitFor(2);
});

// The store becomes unavailable right after it accepted a publish, and an entry
// VM restarts without state. It must serve the published cost split, not an
// older one or none.
test("should fetch the revision from peers while the store is down", async (t) => {
  const cluster = await Cluster.start(t, 3);
  await cluster.write(4);
  await cluster.waitFor(4);
  cluster.store.fault = () => "down";
  const restarted = cluster.add(cluster.vms[1]!);
  await waitUntil(() => restarted.revision === 4);
  expect(restarted.config).toEqual(cluster.task(0).config);
});

// A VM that was partitioned during two publishes reconnects with its old
// revision, and the store is restored from an old backup. Neither may bring the
// old cost split back into force.
test("should not revert to an older revision of a peer or the store", async (t) => {
  const cluster = await Cluster.start(t, 4);
  await cluster.write(1);
  await cluster.waitFor(1);
  cluster.network.partitioned.add(cluster.vms[3]!);
  cluster.store.fault = () => "down";
  const applied: number[] = [];
  cluster.task(0).onApplied((config) => applied.push(config.revision));
  const objects = [...cluster.task(0).config!.objects];
  const by = { publishedBy: "ana", publishedAt: "2026-01-01T00:00:00Z" };
  cluster.task(0).notePublished({ ...by, revision: 3, objects });
  await waitUntil(() => cluster.task(1).revision === 3);
  expect(cluster.task(3).revision).toEqual(1);
  cluster.network.partitioned.clear();
  cluster.store.fault = () => "none";
  await cluster.write(2);
  await cluster.waitFor(3);
  const callsBefore = cluster.store.calls.length;
  await waitUntil(() => cluster.store.calls.length > callsBefore + 5);
  expect(applied).toEqual([3]);
  await cluster.waitFor(3);
});

// A peer replies with a delta on a base revision that this VM doesn't have. It
// must not be applied, and a full fetch must follow.
test("should fetch the full configuration when a delta does not fit", async (t) => {
  const cluster = await Cluster.start(t, 2);
  await cluster.write(1);
  await cluster.waitFor(1);
  cluster.store.fault = () => "down";
  const objects = [...cluster.task(0).config!.objects];
  const by = { publishedBy: "ana", publishedAt: "2026-01-01T00:00:00Z" };
  const deltaSince = cluster.task(0).deltaSince.bind(cluster.task(0));
  let isFirst = true;
  cluster.task(0).deltaSince = (have) => {
    const delta = deltaSince(isFirst ? have : 0);
    if (!isFirst || delta === undefined) return delta;
    isFirst = false;
    return { ...delta, baseRevision: 99 };
  };
  cluster.task(0).notePublished({ ...by, revision: 2, objects });
  await cluster.waitFor(2);
});
