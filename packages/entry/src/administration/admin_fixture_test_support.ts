/** Test fixture: the administration API of one entry VM on an in-memory store. */
import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import { expect } from "earl";
import * as crypto from "node:crypto";
import type { TestContext } from "node:test";
import { FakeStore } from "../configuration/fake_store_test.ts";
import * as configuration from "../configuration/mod.ts";
import type { AdministrationRight } from "../settings/mod.ts";
import * as settings from "../settings/mod.ts";
import { MonotonicClock } from "../utils/clock.ts";
import { LifeCycle } from "../utils/life_cycle.ts";
import * as administration from "./mod.ts";

const ALL_RIGHTS: AdministrationRight[] = ["read", "edit", "publish", "drain"];
export const VM = "entry-1" as contracts.VmId;
export const SERVER = "availability-1" as contracts.ServerId;
export const SILENT_LOG = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
export const OBJECTS: Readonly<Record<string, object>> = {
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
  "cost-share/split": costShare(60, 40),
};

export function costShare(kayfa: number, bitacora: number): object {
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

interface ApiResponse {
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

/** The administration API of one entry VM on an in-memory store. */
export class AdminFixture {
  readonly store = new FakeStore();
  readonly lifeCycle = new LifeCycle();
  readonly config: configuration.ConfigTask;
  readonly audit: administration.StoreJournal<administration.AuditLine>;
  readonly server: administration.AdminServer;

  constructor(
    watcherSelector: decisions.WatcherSelector,
    limits: Partial<settings.Settings["limits"]>,
    certificate?: { readonly cert: string; readonly key: string },
  ) {
    const shared = {
      vm: VM,
      store: this.store,
      clock: new MonotonicClock(),
      log: SILENT_LOG,
      timeoutMs: 400,
      callTimeoutMs: 100,
      valueLimitBytes: 1_000_000,
      now: () => "2026-01-01T00:00:00Z",
    };
    const drafts = new configuration.DraftStore(shared);
    const reader = new configuration.ConfigReader(shared);
    this.config = new configuration.ConfigTask({
      ...shared,
      watcherSelector,
      peers: singleVmSource(),
      random: { next: () => 0.5 },
      watchWaitMs: 100,
      compareIntervalMs: 100,
      peerDiscoveryMs: 50,
      storeTimeoutMs: 100,
      peerTimeoutMs: 100,
    });
    const journal = { ...shared, linesPerSlot: 50, flushIntervalMs: 10 };
    this.audit = new administration.StoreJournal({
      ...journal,
      prefix: administration.AUDIT_PREFIX,
      schema: administration.auditLineSchema,
    });
    this.server = new administration.AdminServer({
      dependencies: {
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
  ): Promise<AdminFixture> {
    const fixture = new AdminFixture(
      await decisions.createWatcherSelector(),
      limits,
    );
    t.after(() => fixture.lifeCycle.stop());
    return fixture;
  }

  async call(
    method: string,
    path: string,
    options: CallOptions = {},
  ): Promise<ApiResponse> {
    const headers = new Headers();
    const { as = "root", ifMatch, isCreation, body } = options;
    headers.set("authorization", `Bearer token-of-${as}`);
    if (ifMatch !== undefined) headers.set("if-match", ifMatch);
    if (isCreation) headers.set("if-none-match", "*");
    const response = await this.server.createApp().request(path, {
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

  async createObjects(): Promise<void> {
    for (const [path, body] of Object.entries(OBJECTS)) {
      const options = { body, isCreation: true };
      const created = await this.call("PUT", `/v1/objects/${path}`, options);
      expect(created.status).toEqual(201);
    }
  }

  async publish(as = "root"): Promise<ApiResponse> {
    const { tag } = (await this.call("GET", "/v1/diff")).body;
    return await this.call("POST", "/v1/publish", { as, ifMatch: `"${tag}"` });
  }

  etagOf(path: string): Promise<string> {
    return this.call("GET", `/v1/objects/${path}`).then(({ etag }) => etag);
  }
}

function singleVmSource(): configuration.PeerConfigSource {
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
    ownership: { assignment: () => undefined, hashKey: () => 7 },
  };
}
