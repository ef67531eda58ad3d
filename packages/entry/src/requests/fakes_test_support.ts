/** Fake views and a fake backend server for tests of the request path. */
import type * as contracts from "@guavatide/contracts";
import * as names from "@guavatide/contracts";
import * as http from "node:http";
import type * as net from "node:net";
import type {
  ConfigView,
  OwnerLookup,
  OwnerView,
  ServerAddress,
  ServerView,
} from "../contracts/views.ts";
import {
  CONNECTION_POOLS_DEFAULTS,
  ConnectionPools,
} from "../links/connection_pools.ts";
import { SystemClock, SystemRandom } from "../utils/clock.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import { createLog } from "../utils/log.ts";
import { RequestScheduler } from "../utils/request_scheduler.ts";
import { CallerListener } from "./caller_listener.ts";
import { NOOP_METRICS } from "./request_metrics.ts";
import { RequestRouter } from "./request_router.ts";
import { REQUEST_DEFAULTS, type RequestSettings } from "./request_settings.ts";

/** A backend server that answers with a handler of the test. */
export class FakeBackend {
  readonly server: http.Server;
  /** Requests of callers in order of arrival, without control requests. */
  readonly received: http.IncomingMessage[] = [];
  /** Ids of cancelled requests. */
  readonly cancelled: string[] = [];
  address!: ServerAddress;

  constructor(
    answer: (
      incoming: http.IncomingMessage,
      response: http.ServerResponse,
    ) => void = answerOk,
  ) {
    this.server = http.createServer((incoming, response) => {
      if (incoming.url!.startsWith("/control/requests/")) {
        this.cancelled.push(incoming.url!.split("/").at(-1)!);
        response.end();
        return;
      }
      if (incoming.url!.startsWith("/control/")) {
        response.end("{}");
        return;
      }
      this.received.push(incoming);
      answer(incoming, response);
    });
  }

  async listen(server: string, service: contracts.ServiceId): Promise<void> {
    await new Promise<void>((resolve) =>
      this.server.listen(0, "127.0.0.1", resolve)
    );
    this.address = {
      server: server as contracts.ServerId,
      service,
      zone: "z" as contracts.ZoneId,
      host: "127.0.0.1",
      port: (this.server.address() as net.AddressInfo).port,
      state: "live",
    };
  }
}

/** Answers 200 with the request's id and the body "hello". */
export function answerOk(
  incoming: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.setHeader(
    names.REQUEST_ID_HEADER,
    incoming.headers[names.REQUEST_ID_HEADER]!,
  );
  response.setHeader(names.IN_FLIGHT_HEADER, "0");
  response.setHeader("content-type", "text/plain");
  response.end("hello");
}

/** Creates a handler that refuses requests with the given reason. */
export function answerRefusal(refusal: contracts.ServerRefusal) {
  return (
    incoming: http.IncomingMessage,
    response: http.ServerResponse,
  ): void => {
    response.statusCode = 503;
    response.setHeader(names.NOT_RUN_HEADER, refusal);
    answerOk(incoming, response);
  };
}

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
  readonly service?: Partial<contracts.Service>;
  readonly partner?: Partial<contracts.Partner>;
  readonly settings?: Partial<RequestSettings>;
  readonly owners?: OwnerView;
}

/** Request path of one entry VM with fake views. */
export interface TestEntry {
  readonly url: string;
  readonly lifeCycle: LifeCycle;
  readonly addresses: ServerAddress[];
}

export const TEST_SERVICE = "booths" as contracts.ServiceId;

/** Starts a listener and a router for the given backend servers. */
export async function startEntry(
  backends: readonly FakeBackend[],
  options: StartEntryOptions = {},
): Promise<TestEntry> {
  for (const [index, backend] of backends.entries()) {
    await backend.listen(`s${index}`, TEST_SERVICE);
  }
  const lifeCycle = new LifeCycle();
  for (const backend of backends) {
    lifeCycle.onStop({
      name: "backend",
      timeoutMs: 1000,
      run: () => {
        backend.server.closeAllConnections();
        backend.server.close();
      },
    });
  }
  const addresses = backends.map((backend) => backend.address);
  const service: contracts.Service = {
    kind: "service",
    name: TEST_SERVICE,
    partner: "kayfa" as contracts.PartnerId,
    places: ["z" as contracts.ZoneId],
    keyed: false,
    slotsPerServer: 2,
    connectionsPerServer: 110,
    idempotentMethods: ["GET", "HEAD"],
    timeoutMs: 2000,
    queueRequests: 8,
    imbalanceWeight: 1,
    churnWeight: 1,
    ...options.service,
  };
  const partner: contracts.Partner = {
    kind: "partner",
    name: service.partner,
    requestsPerSecond: 10_000,
    burstRequests: 10_000,
    ...options.partner,
  };
  const config: ConfigView = {
    revision: 1,
    service: (id) => id === service.name ? service : undefined,
    partner: (id) => id === partner.name ? partner : undefined,
  };
  const servers: ServerView = {
    servers: () => addresses,
    server: (id) => addresses.find((address) => address.server === id),
    noteDraining: (id) => {
      const index = addresses.findIndex((address) => address.server === id);
      addresses[index] = { ...addresses[index]!, state: "draining" };
    },
  };
  const owners: OwnerView = options.owners ?? {
    lookup: (): OwnerLookup => ({ kind: "none" }),
    mayForward: () => true,
    checksFences: () => true,
    noteForwarded: () => ({ done() {} }),
    onChange: () => () => {},
    noteNotOwner: () => {},
  };
  const settings = { ...REQUEST_DEFAULTS, lingerMs: 0, ...options.settings };
  const clock = new SystemClock();
  const router = new RequestRouter({
    config,
    servers,
    owners,
    connectionPools: new ConnectionPools(CONNECTION_POOLS_DEFAULTS, lifeCycle),
    hashKey: (key) => key.length,
    entryVmCount: () => 9,
    clock,
    random: new SystemRandom(),
    log: createLog({ format: "text", level: "silent" }),
    lifeCycle,
    metrics: NOOP_METRICS,
    maxTimeoutMs: settings.maxTimeoutMs,
    unfencedTimeoutMs: 400,
  });
  const listener = new CallerListener({
    settings,
    clock,
    lifeCycle,
    scheduler: new RequestScheduler({
      clock,
      log: createLog({ format: "text", level: "silent" }).part("route"),
    }),
    route: (request) => router.route(request),
  });
  const port = await listener.listen();
  return { url: `http://127.0.0.1:${port}`, lifeCycle, addresses };
}

/** Runs a test with a fixture and stops the fixture's life cycle at its end. */
export async function withFixture<
  Fixture extends { readonly lifeCycle: LifeCycle },
>(
  fixture: Fixture,
  run: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  try {
    await run(fixture);
  } finally {
    await fixture.lifeCycle.stop();
  }
}

/** Polls a condition. Errors: rejects after the timeout. */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs = 5000,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error("The wait timed out");
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}
