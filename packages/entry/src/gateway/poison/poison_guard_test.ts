import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import type * as z from "zod";
import type { ServerCondition } from "../../poison/server_end_check.ts";
import { LabelledCounts } from "../../metrics/labelled_counts.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { waitUntil, withFixture } from "../../requests/fakes_test_support.ts";
import type { FrontRequest } from "../forwarding/front_request.ts";
import { PoisonGuard } from "./poison_guard.ts";
import { StoreHealth } from "../store/store_health.ts";

const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
const PREFIX = "poisonrequests/";
const SERVICE = "svc" as contracts.ServiceId;

type Handler = (params: never) => void;

/** Guards of several VMs, a store and a registry in memory. */
class GuardCluster {
  readonly lifeCycle = new LifeCycle();
  readonly #handlers: { vm: string; method: string; handler: Handler }[] = [];
  /** VMs that get no datagrams. */
  readonly cutOff = new Set<string>();
  readonly objects = new Map<string, string>();
  /** VMs that read the store for all; undefined for all VMs. */
  readers: readonly string[] | undefined;
  /** VMs that have called the store to write. */
  readonly writers = new Set<string>();
  /** VMs that the store turns away. */
  readonly turnedAway = new Set<string>();
  condition: ServerCondition = "ended";
  isDraining = false;
  softwareVersion = "v1";

  start(vm: string): PoisonGuard {
    const clock = { nowMs: () => performance.now() };
    const guard = new PoisonGuard({
      store: this.#store(vm),
      health: new StoreHealth({ clock, log: SILENT }),
      prefix: PREFIX,
      gossip: {
        on: <Params>(
          method: string,
          _schema: z.ZodType<Params>,
          handler: (params: Params) => void,
        ) => void this.#handlers.push({ vm, method, handler }),
        broadcast: (method, params) => {
          if (this.cutOff.has(vm)) return;
          for (const other of this.#handlers) {
            const isReached = other.vm !== vm && !this.cutOff.has(other.vm);
            if (!isReached || other.method !== method) continue;
            other.handler(params as never);
          }
        },
      },
      registry: {
        servers: () => [0, 1, 2, 3, 4, 5].map((index) => this.server(index)),
        staying: () => [this.server(0)],
      },
      endCheck: { check: () => Promise.resolve(this.condition) },
      clock,
      unixMs: () => Date.now(),
      log: SILENT,
      counts: new LabelledCounts(),
      isReader: () => this.readers?.includes(vm) ?? true,
    });
    guard.start(this.lifeCycle);
    return guard;
  }

  server(index: number): contracts.RegisteredServer {
    return {
      server: `s${index}` as contracts.ServerId,
      bornMs: 1,
      service: SERVICE,
      softwareVersion: this.softwareVersion,
      host: "127.0.0.1",
      port: 9,
      zone: "z1" as contracts.ZoneId,
      slots: 2,
      isDraining: this.isDraining,
      warmUpLeftMs: 0,
    };
  }

  /** Servers break off connections under the request, seen by one guard. */
  async lose(guard: PoisonGuard, servers: readonly number[]): Promise<void> {
    for (const index of servers) {
      await guard.noteLostConnection(request(), this.server(index));
    }
  }

  #store(vm: string): contracts.PlatformStore {
    const unavailable = { kind: "unavailable", message: "down" } as const;
    const unused = () => neverthrow.errAsync(unavailable);
    return {
      get: unused,
      list: unused,
      watch: unused,
      put: (name, value) => {
        this.writers.add(vm);
        if (this.turnedAway.has(vm)) return neverthrow.errAsync(unavailable);
        this.objects.set(name, value);
        return neverthrow.okAsync("1");
      },
      delete: (name) => {
        this.objects.delete(name);
        return neverthrow.okAsync(undefined);
      },
    };
  }
}

function request(caller = "10.0.0.1"): FrontRequest {
  return {
    id: "q1",
    method: "GET",
    target: "/x",
    host: "booths.example",
    headers: [],
    body: undefined,
    key: 3,
    caller,
    deadlineMs: 1_000,
    arrivedMs: 0,
    lagMs: 0,
    signal: new AbortController().signal,
  };
}

function withGuards(
  run: (cluster: GuardCluster) => Promise<void>,
): Promise<void> {
  return withFixture(new GuardCluster(), run);
}

test("should refuse at all VMs what servers have crashed under at different ones", () =>
  withGuards(async (cluster) => {
    const guards = ["a", "b", "c"].map((vm) => cluster.start(vm));
    for (const [index, guard] of guards.entries()) {
      expect(guard.isPoisonous(request())).toEqual(false);
      await cluster.lose(guard, [index]);
    }
    expect(guards.every((guard) => guard.isPoisonous(request())))
      .toEqual(true);
  }));

/** Resets and cut links would have innocent requests refused. */
test("should count neither reset connections nor servers that do not answer", () =>
  withGuards(async (cluster) => {
    const guard = cluster.start("a");
    for (const condition of ["running", "unknown"] as const) {
      cluster.condition = condition;
      await cluster.lose(guard, [0, 1, 2, 3]);
    }
    expect(guard.isPoisonous(request())).toEqual(false);
  }));

/** The end of a server that drains says nothing of its requests. */
test("should not count a server that was about to leave", () =>
  withGuards(async (cluster) => {
    const guard = cluster.start("a");
    cluster.isDraining = true;
    await cluster.lose(guard, [0, 1, 2, 3]);
    expect(guard.isPoisonous(request())).toEqual(false);
  }));

/** The VM that saw the last crash may be lost before it has written. */
test("should keep a record that the witness does not write", () =>
  withGuards(async (cluster) => {
    const witness = cluster.start("a");
    cluster.start("b");
    cluster.turnedAway.add("a");
    await cluster.lose(witness, [0, 1, 2]);
    await waitUntil(() => cluster.objects.size === 1);
  }));

/** The number of calls must not grow with the number of VMs. */
test("should have only the witness and the readers write", () =>
  withGuards(async (cluster) => {
    cluster.readers = ["c"];
    const witness = cluster.start("a");
    for (const vm of ["b", "c", "d", "e"]) cluster.start(vm);
    cluster.turnedAway.add("a");
    await cluster.lose(witness, [0, 1, 2]);
    await waitUntil(() => cluster.objects.size === 1);
    await new Promise((resolve) => setTimeout(resolve, 600));
    expect([...cluster.writers].sort()).toEqual(["a", "c"]);
  }));

/** Two VMs that know of different crashes write one after the other. */
test("should write again what a VM with fewer crashes has overwritten", () =>
  withGuards(async (cluster) => {
    const guard = cluster.start("a");
    await cluster.lose(guard, [0, 1, 2]);
    await waitUntil(() => [...cluster.objects.values()].join().includes("s2"));
    // The guard notes that its last write is done.
    await new Promise((resolve) => setTimeout(resolve, 600));
    const [[name, value]] = [...cluster.objects] as [[string, string]];
    const fewer = JSON.stringify({
      crashes: JSON.parse(value).crashes.slice(1),
    });
    cluster.objects.set(name, fewer);
    guard.applyChanges([{
      name,
      object: { name, version: "2", value: fewer },
    }]);
    await waitUntil(() => cluster.objects.get(name) === value);
  }));

test("should learn from the store what was told while a VM was cut off", () =>
  withGuards(async (cluster) => {
    const first = cluster.start("a");
    const second = cluster.start("b");
    cluster.cutOff.add("b");
    await cluster.lose(first, [0, 1, 2]);
    await waitUntil(() => [...cluster.objects.values()].join().includes("s2"));
    const [[name, value]] = [...cluster.objects] as [[string, string]];
    expect(second.isPoisonous(request())).toEqual(false);
    second.applyList([{ name, version: "1", value }]);
    expect(second.isPoisonous(request())).toEqual(true);
  }));

test("should ignore a record that can't be read", () =>
  withGuards((cluster) => {
    const guard = cluster.start("a");
    for (const value of ["no JSON", "{}", '{"crashes":[{}]}']) {
      guard.applyList([{ name: `${PREFIX}x`, version: "1", value }]);
    }
    expect(guard.isPoisonous(request())).toEqual(false);
    return Promise.resolve();
  }));

/** An answer must reach the VMs that know of crashes, and the store. */
test("should clear at all VMs and in the store what one VM has seen answered", () =>
  withGuards(async (cluster) => {
    const [first, second] = ["a", "b"].map((vm) => cluster.start(vm));
    await cluster.lose(first!, [0, 1, 2]);
    await waitUntil(() => cluster.objects.size === 1);
    await new Promise((resolve) => setTimeout(resolve, 2));
    second!.noteAnswer(request());
    expect(first!.isPoisonous(request())).toEqual(false);
    await waitUntil(() => cluster.objects.size === 0);
  }));
