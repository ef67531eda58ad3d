import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import { expect } from "earl";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as https from "node:https";
import * as net from "node:net";
import { test, type TestContext } from "node:test";
import * as selfsigned from "selfsigned";
import { FakeStore } from "../configuration/fake_store_test.ts";
import * as configuration from "../configuration/mod.ts";
import type { AdministrationRight } from "../settings/mod.ts";
import * as settings from "../settings/mod.ts";
import { MonotonicClock } from "../utils/clock.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import * as administration from "./mod.ts";

const ALL_RIGHTS: AdministrationRight[] = ["read", "edit", "publish", "drain"];
const VM = "entry-1" as contracts.VmId;
const SERVER = "availability-1" as contracts.ServerId;
const QUIET = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
const OBJECTS: Readonly<Record<string, object>> = {
  "place/plateau": { region: "dakar" },
  "partner/kayfa": { requestsPerSecond: 100, burstRequests: 20 },
  "partner/bitacora": { requestsPerSecond: 100, burstRequests: 20 },
  "service/availability": {
    partner: "kayfa",
    places: ["plateau"],
    keyed: true,
    slotsPerServer: 3,
    connectionsPerServer: 110,
  },
  "cost-share/split": split(60, 40),
};

function split(kayfa: number, bitacora: number): object {
  return {
    service: "availability",
    shares: [
      { partner: "kayfa", percent: kayfa },
      { partner: "bitacora", percent: bitacora },
    ],
  };
}

function token(
  operator: string,
  partners: "*" | string[],
  rights: AdministrationRight[] = ALL_RIGHTS,
): settings.AdministrationToken {
  const digest = crypto.createHash("sha256").update(`token-of-${operator}`);
  return settings.administrationTokenSchema.parse({
    tokenSha256: digest.digest("hex"),
    operator,
    partners,
    rights,
  });
}

const TOKENS = [
  token("root", "*"),
  token("ana", ["kayfa"]),
  token("blas", ["bitacora"]),
  token("reader", "*", ["read"]),
];

interface Answer {
  readonly status: number;
  readonly etag: string;
  // deno-lint-ignore no-explicit-any
  readonly body: any;
}

interface CallOptions {
  readonly as?: string;
  readonly body?: unknown;
  readonly ifMatch?: string;
  readonly isCreation?: boolean;
}

/** One entry VM's administration on a store in memory. */
class Desk {
  readonly store = new FakeStore();
  readonly lifeCycle = new LifeCycle();
  readonly config: configuration.ConfigTask;
  readonly audit: administration.StoreJournal<administration.AuditLine>;
  readonly door: administration.AdministrationDoor;

  constructor(
    choice: decisions.WatcherChoice,
    limits: Partial<settings.Settings["limits"]>,
    certificate?: { readonly cert: string; readonly key: string },
  ) {
    const shared = {
      vm: VM,
      store: this.store,
      clock: new MonotonicClock(),
      log: QUIET,
      timeoutMs: 400,
      callTimeoutMs: 100,
      valueLimitBytes: 1_000_000,
      now: () => "2026-01-01T00:00:00Z",
    };
    const drafts = new configuration.DraftStore(shared);
    const reader = new configuration.ConfigReader(shared);
    this.config = new configuration.ConfigTask({
      ...shared,
      choice,
      peers: aloneSource(),
      random: { next: () => 0.5 },
      watchWaitMs: 100,
      compareMs: 100,
      settleMs: 50,
      storeTimeoutMs: 100,
      peerTimeoutMs: 100,
    });
    const journal = { ...shared, lines: 50, flushMs: 10 };
    this.audit = new administration.StoreJournal({
      ...journal,
      prefix: administration.AUDIT_PREFIX,
      schema: administration.auditLineSchema,
    });
    this.door = new administration.AdministrationDoor({
      parts: {
        ...shared,
        drafts,
        publisher: new configuration.Publisher({ ...shared, drafts, reader }),
        config: this.config,
        audit: this.audit,
        moves: new administration.MoveJournal(journal),
        ...fakeViews(),
      },
      tokens: TOKENS,
      host: "127.0.0.1",
      port: 0,
      certificate,
      limits: {
        ...settings.defaultSettings().limits,
        bodyBytes: 4096,
        headerBytes: 2048,
        ...limits,
      },
    });
  }

  static async open(
    t: TestContext,
    limits: Partial<settings.Settings["limits"]> = {},
  ): Promise<Desk> {
    const desk = new Desk(await decisions.createWatcherChoice(), limits);
    t.after(() => desk.lifeCycle.stop());
    return desk;
  }

  async call(
    method: string,
    path: string,
    options: CallOptions = {},
  ): Promise<Answer> {
    const headers = new Headers();
    const { as = "root", ifMatch, isCreation, body } = options;
    headers.set("authorization", `Bearer token-of-${as}`);
    if (ifMatch !== undefined) headers.set("if-match", ifMatch);
    if (isCreation) headers.set("if-none-match", "*");
    const response = await this.door.createApp().request(path, {
      method,
      headers,
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await response.text();
    return {
      status: response.status,
      etag: response.headers.get("etag") ?? "",
      body: text === "" ? undefined : JSON.parse(text),
    };
  }

  async fill(): Promise<void> {
    for (const [path, body] of Object.entries(OBJECTS)) {
      const options = { body, isCreation: true };
      const created = await this.call("PUT", `/v1/objects/${path}`, options);
      expect(created.status).toEqual(201);
    }
  }

  async publish(as = "root"): Promise<Answer> {
    const { tag } = (await this.call("GET", "/v1/diff")).body;
    return await this.call("POST", "/v1/publish", { as, ifMatch: `"${tag}"` });
  }

  etagOf(path: string): Promise<string> {
    return this.call("GET", `/v1/objects/${path}`).then(({ etag }) => etag);
  }
}

function aloneSource(): configuration.PeerConfigSource {
  return {
    liveVms: () => [VM],
    serve: () => undefined,
    fetch: () => {
      throw new Error("There is no peer");
    },
    announce: () => undefined,
  };
}

function fakeViews() {
  const address = {
    server: SERVER,
    service: "availability",
    zone: "plateau",
    host: "127.0.0.1",
    port: 1,
    state: "live",
  } as never;
  return {
    servers: {
      servers: () => [address],
      server: (id: contracts.ServerId) => id === SERVER ? address : undefined,
      noteDraining: () => undefined,
    },
    owners: {
      lookup: () => ({ kind: "none" }) as const,
      mayForward: () => true,
      checksFences: () => true,
      noteForwarded: () => ({ done: () => undefined }),
      onChange: () => () => undefined,
      noteNotOwner: () => undefined,
    },
    ownership: { assignment: () => undefined, hashOf: () => 7 },
  };
}

// Somebody without a token tries paths and methods. Any difference between
// two answers would tell what there is to attack.
test("should tell a wrong token nothing", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  const tries: readonly (readonly [method: string, path: string])[] = [
    ["GET", "/v1/objects/service/availability"],
    ["GET", "/v1/objects/service/nothing"],
    ["GET", "/nothing"],
    ["PUT", "/v1/objects/place/plateau"],
    ["POST", "/v1/publish"],
    ["DELETE", "/v1/drains/availability-1"],
  ];
  const answers = await Promise.all(
    tries.map(([method, path]) => desk.call(method, path, { as: "nobody" })),
  );
  expect(answers[0]!.status).toEqual(401);
  for (const answer of answers) expect(answer).toEqual(answers[0]!);
});

interface RightCase {
  readonly as: string;
  readonly method: string;
  readonly path: string;
  readonly body?: object;
  readonly status: number;
}

const RIGHT_CASES: readonly RightCase[] = [
  { as: "reader", method: "GET", path: "objects", status: 200 },
  { as: "reader", method: "PUT", path: "objects/place/plateau", status: 403 },
  { as: "reader", method: "POST", path: "publish", status: 403 },
  { as: "reader", method: "PUT", path: `drains/${SERVER}`, status: 403 },
  { as: "blas", method: "PUT", path: `drains/${SERVER}`, status: 403 },
  { as: "ana", method: "PUT", path: `drains/${SERVER}`, status: 200 },
  { as: "root", method: "PUT", path: "drains/unknown", status: 404 },
  {
    as: "blas",
    method: "PUT",
    path: "objects/service/availability",
    body: OBJECTS["service/availability"]!,
    status: 403,
  },
  {
    as: "ana",
    method: "PUT",
    path: "objects/place/plateau",
    body: OBJECTS["place/plateau"]!,
    status: 403,
  },
  {
    as: "blas",
    method: "PUT",
    path: "objects/cost-share/split",
    body: split(50, 50),
    status: 200,
  },
];

for (const { as, method, path, body, status } of RIGHT_CASES) {
  test(`should answer ${status} to ${as} for ${method} ${path}`, async (t) => {
    const desk = await Desk.open(t);
    await desk.fill();
    await desk.publish();
    const isObject = path.startsWith("objects/");
    const ifMatch = isObject
      ? await desk.etagOf(path.slice("objects/".length))
      : undefined;
    const answer = await desk.call(method, `/v1/${path}`, {
      as,
      body,
      ifMatch,
    });
    expect(answer.status).toEqual(status);
  });
}

// Two partners open the same cost split and both save.
test("should name the newer version to the slower of two editors", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  const path = "/v1/objects/cost-share/split";
  const ifMatch = await desk.etagOf("cost-share/split");
  const answers = await Promise.all([
    desk.call("PUT", path, { as: "ana", body: split(55, 45), ifMatch }),
    desk.call("PUT", path, { as: "blas", body: split(50, 50), ifMatch }),
  ]);
  const [won, lost] = answers.sort((a, b) => a.status - b.status);
  expect([won!.status, lost!.status]).toEqual([200, 412]);
  const version = won!.etag.replaceAll('"', "");
  expect(lost!.body.error.message.includes(version)).toEqual(true);
  expect(lost!.body.error.current.version).toEqual(version);
});

test("should ask for the version of every change", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  const path = "/v1/objects/cost-share/split";
  const edited = await desk.call("PUT", path, { body: split(50, 50) });
  const deleted = await desk.call("DELETE", path);
  const published = await desk.call("POST", "/v1/publish");
  expect([edited.status, deleted.status, published.status])
    .toEqual([428, 428, 428]);
});

test("should publish a whole set and refuse a half-made one", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  expect((await desk.publish()).body.revision).toEqual(1);
  expect(desk.config.revision).toEqual(1);
  const ifMatch = await desk.etagOf("cost-share/split");
  const path = "/v1/objects/cost-share/split";
  await desk.call("PUT", path, { body: split(50, 40), ifMatch });
  const refused = await desk.publish();
  expect(refused.status).toEqual(422);
  expect(refused.body.error.findings[0].kind).toEqual("shares-sum");
  expect(desk.config.revision).toEqual(1);
});

test("should not publish another partner's change", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  await desk.publish();
  const path = "/v1/objects/partner/kayfa";
  const ifMatch = await desk.etagOf("partner/kayfa");
  const body = { requestsPerSecond: 1, burstRequests: 1 };
  await desk.call("PUT", path, { as: "ana", body, ifMatch });
  const refused = await desk.publish("blas");
  expect(refused.status).toEqual(403);
  expect(refused.body.error.objects).toEqual(["partner/kayfa"]);
});

test("should drain a server and return it", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  await desk.publish();
  const path = `/v1/drains/${SERVER}`;
  await desk.call("PUT", path, { body: { reason: "disk" } });
  const drained = await desk.call("GET", "/v1/servers");
  expect(drained.body.servers[0].drain.reason).toEqual("disk");
  await desk.call("DELETE", path);
  expect(desk.config.drains()).toEqual([]);
});

test("should keep an audit line of each change", async (t) => {
  const desk = await Desk.open(t);
  await desk.fill();
  await desk.publish("blas");
  await desk.publish();
  await desk.audit.flush();
  const { lines } = (await desk.call("GET", "/v1/audit")).body;
  const newest = lines.slice(0, 2)
    .map((line: administration.AuditLine) => `${line.operator} ${line.result}`);
  expect(newest.sort()).toEqual(["blas refused", "root done"]);
  expect(lines.length).toEqual(Object.keys(OBJECTS).length + 2);
});

// Entry VMs are replaced under new names all the time; audit lines without a
// bound would fill the platform's store.
test("should bound the journal and share its slots", async (t) => {
  const desk = await Desk.open(t);
  for (let vm = 0; vm < 40; vm++) {
    const journal = new administration.MoveJournal({
      vm: `entry-${vm}` as contracts.VmId,
      store: desk.store,
      clock: new MonotonicClock(),
      log: QUIET,
      lines: 3,
      flushMs: 1000,
      callTimeoutMs: 100,
    });
    const step = { slice: "0-1", step: "settle", from: [], to: SERVER };
    const steps = Array.from({ length: 5 }, () => ({ ...step, reason: "r" }));
    journal.noteSteps({
      service: "availability" as contracts.ServiceId,
      revision: 1,
      steps: steps as never,
    });
    await journal.flush();
  }
  const slots = [...desk.store.objects.values()];
  expect(slots.length <= 16).toEqual(true);
  for (const { value } of slots) expect(JSON.parse(value).length).toEqual(3);
});

const BAD_REQUESTS: readonly {
  readonly name: string;
  readonly body: string;
  readonly headers?: Record<string, string>;
  readonly status: number;
}[] = [
  { name: "no JSON", body: "{", status: 400 },
  { name: "a field too many", body: '{"region":"d","x":1}', status: 400 },
  { name: "another name", body: '{"name":"other"}', status: 400 },
  { name: "a body over the limit", body: "x".repeat(5000), status: 413 },
  {
    name: "headers over the limit",
    body: "",
    headers: { "x-long": "x".repeat(3000) },
    status: 431,
  },
];

for (const { name, body, headers, status } of BAD_REQUESTS) {
  test(`should answer ${status} to ${name}`, async (t) => {
    const desk = await Desk.open(t);
    const port = await desk.door.listen(desk.lifeCycle);
    const seen = await new Promise<number | undefined>((resolve, reject) => {
      const request = http.request({
        host: "127.0.0.1",
        port,
        method: "PUT",
        path: "/v1/objects/place/plateau",
        agent: false,
        headers: {
          "authorization": "Bearer token-of-root",
          "if-none-match": "*",
          ...headers,
        },
      }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      request.on("error", reject);
      request.end(body);
    });
    expect(seen).toEqual(status);
  });
}

// Somebody opens a connection and sends a request byte by byte. Connections
// held for good would keep operators out.
test("should end a request whose headers do not arrive", async (t) => {
  const desk = await Desk.open(t, { headerTimeoutMs: 50 });
  const port = await desk.door.listen(desk.lifeCycle);
  const answer = await new Promise<string>((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    socket.on("error", reject);
    socket.on("close", () => resolve(text));
    socket.write("GET /v1/objects HTTP/1.1\r\n");
  });
  expect(answer.startsWith("HTTP/1.1 408 ")).toEqual(true);
});

// A token that travels in clear can be read by anybody on the way and used to
// change the agreement.
test("should answer over TLS, and nothing else, with a certificate", async (t) => {
  const pems = selfsigned.generate([{ name: "commonName", value: "entry-1" }], {
    keySize: 2048,
    algorithm: "sha256",
  });
  const certificate = { cert: pems.cert, key: pems.private };
  const choice = await decisions.createWatcherChoice();
  const desk = new Desk(choice, {}, certificate);
  t.after(() => desk.lifeCycle.stop());
  const port = await desk.door.listen(desk.lifeCycle);
  const at = { host: "127.0.0.1", port, path: "/v1/check", agent: false };
  const status = await new Promise((resolve, reject) => {
    const options = {
      ...at,
      ca: pems.cert,
      checkServerIdentity: () => undefined,
    };
    https.get(options, (response) => {
      response.resume();
      resolve(response.statusCode);
    }).on("error", reject);
  });
  expect(status).toEqual(401);
  const isRefused = await new Promise((resolve) => {
    http.get(at, () => resolve(false)).on("error", () => resolve(true));
  });
  expect(isRefused).toEqual(true);
});
