import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import type { ConnectionPool } from "../../links/connection_pool.ts";
import type {
  AttemptRequest,
  AttemptResult,
} from "../../links/server_connection.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { serverEntryOf } from "../grants/grant_test_support.ts";
import type { PathSendOptions } from "./path_attempt.ts";
import { ServerPaths, type ServerPathsOptions } from "./server_paths.ts";

const SERVER = "s1" as contracts.ServerId;
const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
/** An attempt that is open for so long gets its server looked at. */
const SILENT_AFTER_MS = 2_000;

const REQUEST: AttemptRequest = {
  id: "q1" as contracts.RequestId,
  method: "GET",
  path: "/x",
  headers: [],
  body: undefined,
  maySend: () => true,
  onServerStamp: () => {},
};
const SEND_OPTIONS = {
  timeoutMs: 1_000,
  signal: new AbortController().signal,
  expectedMs: 20,
  isIdempotent: true,
  onPathLost: () => false,
};

/** Paths of a VM without peers that knows one server. */
function createPaths(options: Partial<ServerPathsOptions>): ServerPaths {
  return new ServerPaths({
    host: "127.0.0.1",
    zone: "z1" as contracts.ZoneId,
    registry: {
      ids: () => new Set([SERVER]),
      find: () => serverEntryOf(SERVER),
      mayReceive: () => true,
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
    ...options,
  });
}

/**
 * Guards against an attempt that stays open for good: its server counts as
 * silent, and is looked at again and again.
 */
test("should end an attempt whose connection can't be opened", async () => {
  let checks = 0;
  const lifeCycle = new LifeCycle();
  const paths = createPaths({
    registry: {
      ids: () => new Set([SERVER]),
      find: () => {
        checks++;
        return serverEntryOf(SERVER);
      },
      mayReceive: () => true,
      onChange: () => {},
    },
  });
  paths.start(lifeCycle);
  const result = await paths.sendDirect(
    serverEntryOf(SERVER),
    REQUEST,
    SEND_OPTIONS,
  ).catch(String);
  await timers.setTimeout(SILENT_AFTER_MS);
  await lifeCycle.stop();
  expect(typeof result === "object" && result.kind).toEqual("unknown");
  expect(checks).toEqual(0);
});

/** Guards against a request that waits for a connection while its server drains. */
test("should send nothing to a server that may get no requests any more", async () => {
  let mayReceive = true;
  const registry = {
    ids: () => new Set([SERVER]),
    find: () => serverEntryOf(SERVER),
    mayReceive: () => mayReceive,
    onChange: () => {},
  };
  let sent = 0;
  // The grace of the server ends while its connection is being made.
  const send = (request: AttemptRequest): Promise<AttemptResult> => {
    mayReceive = false;
    const message = "The request may not leave any more";
    if (!request.maySend()) {
      return Promise.resolve({ kind: "not-sent", isLocal: true, message });
    }
    sent++;
    return Promise.resolve({
      kind: "refusal",
      refusal: "busy",
      inFlight: undefined,
    });
  };
  const connections = {
    pool: () => ({ send }) as unknown as ConnectionPool,
    hasOpenConnection: () => true,
  };
  const paths = createPaths({ registry, connections });
  const request = {
    ...SEND_OPTIONS,
    priority: 0,
  } as unknown as PathSendOptions;
  const whileWaiting = await paths.send(
    serverEntryOf(SERVER),
    REQUEST,
    request,
  );
  const afterwards = await paths.send(serverEntryOf(SERVER), REQUEST, request);
  expect(sent).toEqual(0);
  for (const result of [whileWaiting, afterwards]) {
    expect(result.kind === "not-sent" && result.isServerGone).toEqual(true);
  }
});
