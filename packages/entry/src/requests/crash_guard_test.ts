import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import type * as z from "zod";
import type { ServerAddress } from "../contracts/views.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import type { CallerRequest } from "./caller_request.ts";
import { CrashGuard } from "./crash_guard.ts";
import { waitUntil, withFixture } from "./fakes_test_support.ts";
import type { PeerCallOptions, PeerRpc } from "./peer_rpc.ts";

/** Interval at which reports are sent again. */
const RETRY_INTERVAL_MS = 1_000;
/** Longer than the time for which reports are sent again. */
const CLOCK_STEP_MS = 120_000;
const SILENT = { debug() {}, info() {}, warn() {}, error() {} };

/** Guards of several VMs that call one another in memory. */
class GuardCluster {
  readonly lifeCycle = new LifeCycle();
  readonly #handlers = new Map<string, (params: unknown) => unknown>();
  readonly #members = new Set<contracts.VmId>();
  readonly cutOff = new Set<string>();
  unixMs = 1_000_000;

  start(name: string): CrashGuard {
    const vm = name as contracts.VmId;
    this.#members.add(vm);
    const peers: PeerRpc = {
      self: { vm, incarnation: name as contracts.Incarnation },
      members: () => [...this.#members],
      call: <Schema extends z.ZodType>(
        to: contracts.VmId,
        method: string,
        { params, schema }: PeerCallOptions<Schema>,
      ) => {
        if (this.cutOff.has(to)) return Promise.resolve(undefined);
        try {
          const reply = this.#handlers.get(`${to} ${method}`)!(params);
          return Promise.resolve(schema.parse(reply));
        } catch {
          return Promise.resolve(undefined);
        }
      },
      register: (method, schema, handler) => {
        const handleValid = (params: unknown) => handler(schema.parse(params));
        this.#handlers.set(`${vm} ${method}`, handleValid);
      },
    };
    return new CrashGuard({
      peers,
      endCheck: { check: () => Promise.resolve("ended" as const) },
      clock: { nowMs: () => performance.now() },
      unixMs: () => this.unixMs,
      lifeCycle: this.lifeCycle,
      log: SILENT,
    });
  }

  /** Three servers crash under the request, each seen by the next guard. */
  async crash(
    guards: readonly CrashGuard[],
    caller?: string,
  ): Promise<void> {
    for (let server = 0; server < 3; server++) {
      this.unixMs += 5_000;
      const guard = guards[server % guards.length]!;
      await guard.noteLostConnection(request(caller), address(server));
    }
  }
}

function request(caller = "c1"): CallerRequest {
  return {
    service: "svc" as contracts.ServiceId,
    method: "GET",
    pathAndQuery: "poison",
    headers: [],
    body: undefined,
    key: undefined,
    caller,
    timeoutMs: undefined,
    arrivedMs: 0,
    signal: new AbortController().signal,
  };
}

function address(index: number): ServerAddress {
  return {
    server: `s${index}` as contracts.ServerId,
    service: "svc" as contracts.ServiceId,
    zone: "z" as contracts.ZoneId,
    host: "127.0.0.1",
    port: 9,
    state: "live",
  };
}

function withGuards(
  run: (cluster: GuardCluster) => Promise<void>,
): Promise<void> {
  return withFixture(new GuardCluster(), run);
}

/** Each VM would send the request to three servers of its own. */
test("should count the crashes that different VMs have seen", () =>
  withGuards(async (cluster) => {
    const guards = ["a", "b", "c"].map((name) => cluster.start(name));
    await cluster.crash(guards);
    expect(guards.map((guard) => guard.isPoisonous(request())))
      .toEqual([true, true, true]);
  }));

/** Callers name themselves; peers must be able to read any name. */
test("should tell peers of callers whose names are not ids", () =>
  withGuards(async (cluster) => {
    const [first, second] = ["a", "b"].map((name) => cluster.start(name));
    for (const caller of ["team a/ä", ""]) {
      await cluster.crash([first!], caller);
      expect(second!.isPoisonous(request(caller))).toEqual(true);
    }
    const third = cluster.start("c");
    await waitUntil(() => third.isPoisonous(request("team a/ä")));
  }));

test("should tell a VM that was cut off once it is reached", () =>
  withGuards(async (cluster) => {
    const [first, second] = ["a", "b"].map((name) => cluster.start(name));
    cluster.cutOff.add("b");
    await cluster.crash([first!]);
    expect(second!.isPoisonous(request())).toEqual(false);
    cluster.cutOff.clear();
    await waitUntil(() => second!.isPoisonous(request()));
  }));

/** Guards against a VM that never learns of a crash because the wall clock was set. */
test("should tell a VM that was cut off while the wall clock was set ahead", () =>
  withGuards(async (cluster) => {
    const [first, second] = ["a", "b"].map((name) => cluster.start(name));
    // A VM that has just started asks its peers for the crashes that they know.
    await timers.setTimeout(1.5 * RETRY_INTERVAL_MS);
    cluster.cutOff.add("b");
    await cluster.crash([first!]);
    cluster.unixMs += CLOCK_STEP_MS;
    await timers.setTimeout(2 * RETRY_INTERVAL_MS);
    expect(second!.isPoisonous(request())).toEqual(false);
    cluster.cutOff.clear();
    await waitUntil(() => second!.isPoisonous(request()));
  }));

test("should tell a VM that starts which requests are poisonous", () =>
  withGuards(async (cluster) => {
    const first = cluster.start("a");
    await cluster.crash([first]);
    const second = cluster.start("b");
    await waitUntil(() => second.isPoisonous(request()));
  }));

/** Without versions of servers, only an answer shows a mended release. */
test("should let an attempt through every ten minutes and clear what is answered", () =>
  withGuards(async (cluster) => {
    const [first, second] = ["a", "b"].map((name) => cluster.start(name));
    await cluster.crash([first!]);
    cluster.unixMs += 600_000;
    expect(first!.isPoisonous(request())).toEqual(false);
    await first!.noteLostConnection(request(), address(9));
    expect(second!.isPoisonous(request())).toEqual(true);
    cluster.unixMs += 600_000;
    first!.noteAnswer(request());
    cluster.unixMs -= 600_000;
    expect(second!.isPoisonous(request())).toEqual(false);
  }));

/** The end of a server that drains says nothing of its requests. */
test("should not count a server that was about to leave", () =>
  withGuards(async (cluster) => {
    const guard = cluster.start("a");
    for (let server = 0; server < 5; server++) {
      cluster.unixMs += 5_000;
      const leaving = { ...address(server), state: "draining" as const };
      await guard.noteLostConnection(request(), leaving);
    }
    expect(guard.isPoisonous(request())).toEqual(false);
  }));

/** One end, seen a moment before and a moment after, must not be two servers. */
test("should count one end of a server once, whenever it is seen", () =>
  withGuards(async (cluster) => {
    const [guard, peer] = ["a", "b"].map((name) => cluster.start(name));
    for (const sinceMs of [0, 1_999]) {
      cluster.unixMs = 1_000_000 + sinceMs;
      await guard!.noteLostConnection(request("c1"), address(sinceMs), "run");
      cluster.unixMs += 2;
      await guard!.noteLostConnection(request("c1"), address(sinceMs));
      await peer!.noteLostConnection(request("c1"), address(sinceMs));
    }
    expect(guard!.isPoisonous(request("c1"))).toEqual(false);
    cluster.unixMs += 901;
    await peer!.noteLostConnection(request("c1"), address(7));
    expect(guard!.isPoisonous(request("c1"))).toEqual(true);
  }));

/** A server that is back at once must not have two of its ends counted as one. */
test("should count two ends of a server that names its runs as two", () =>
  withGuards(async (cluster) => {
    const guard = cluster.start("a");
    for (const run of ["first", "second", "third"]) {
      cluster.unixMs += 300;
      await guard.noteLostConnection(request(), address(1), run);
    }
    expect(guard.isPoisonous(request())).toEqual(true);
  }));
