import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { serverEntryOf } from "../grants/grant_test_support.ts";
import { ServerPaths, type ServerPathsOptions } from "./server_paths.ts";

const SERVER = "s1" as contracts.ServerId;
const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
/** An attempt that is open for so long gets its server looked at. */
const SILENT_AFTER_MS = 2_000;

/**
 * Guards against an attempt that stays open for good: its server counts as
 * silent, and is looked at again and again.
 */
test("should end an attempt whose connection can't be opened", async () => {
  let checks = 0;
  const lifeCycle = new LifeCycle();
  const paths = new ServerPaths({
    host: "127.0.0.1",
    zone: "z1" as contracts.ZoneId,
    registry: {
      ids: () => new Set([SERVER]),
      find: () => {
        checks++;
        return serverEntryOf(SERVER);
      },
      onChange: () => {},
    },
    connections: {
      pool: () => {
        throw new TypeError("Invalid URL");
      },
      hasOpenConnection: () => false,
    },
    connectionLimitOf: () => 1,
    gossip: { live: [], roleWeights: new Map() },
    reach: {
      reaches: () => false,
      reachesAny: () => false,
      noteOwnChange: () => {},
    } as unknown as ServerPathsOptions["reach"],
    relays: {
      attempt: () => Promise.resolve({ kind: "unavailable" }),
      check: () => Promise.resolve([]),
    },
    backoffs: { leftMs: () => 0 },
    onNotices: () => {},
    clock: { nowMs: () => performance.now() },
    random: { next: () => 0.5 },
    log: SILENT,
  });
  paths.start(lifeCycle);
  const result = await paths.sendDirect(serverEntryOf(SERVER), {
    id: "q1" as contracts.RequestId,
    method: "GET",
    path: "/x",
    headers: [],
    body: undefined,
    maySend: () => true,
    onServerStamp: () => {},
  }, {
    timeoutMs: 1_000,
    signal: new AbortController().signal,
    expectedMs: 20,
    isIdempotent: true,
    onPathLost: () => false,
  }).catch(String);
  await timers.setTimeout(SILENT_AFTER_MS);
  await lifeCycle.stop();
  expect(typeof result === "object" && result.kind).toEqual("unknown");
  expect(checks).toEqual(0);
});
