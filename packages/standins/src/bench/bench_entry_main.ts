/**
 * An entry process of the bench: the production request path with fixed servers
 * and peers, so that figures show the request path alone.
 */
import type {
  ConfigView,
  OwnerView,
  ServerAddress,
  ServerView,
} from "guavatide/contracts/views";
import * as links from "guavatide/links/connection_pools";
import * as requests from "guavatide/requests/mod";
import { SystemClock, SystemRandom } from "guavatide/utils/clock";
import { LifeCycle } from "guavatide/utils/life_cycle";
import { createLog } from "guavatide/utils/log";
import { RequestScheduler } from "guavatide/utils/request_scheduler";
import { PeerServer } from "guavatide/vms/peer_server";
import { Hono } from "hono";
import * as crypto from "node:crypto";
import * as perf from "node:perf_hooks";
import * as serve from "../http/serve.ts";
import { BenchPeers } from "./bench_peers.ts";
import * as messages from "./bench_messages.ts";

const HOST = "127.0.0.1";

/** One entry process; it routes once {@link BenchEntry.applySetup} ran. */
class BenchEntry {
  readonly #argument: messages.EntryArgument;
  readonly #lifeCycle = new LifeCycle();
  readonly #peerServer: PeerServer;
  readonly #peers: BenchPeers;
  #setup: messages.EntrySetup | undefined;
  #addresses: ServerAddress[] = [];
  readonly #loopDelay = perf.monitorEventLoopDelay({ resolution: 2 });
  readonly #counts = { requests: 0, retries: 0, ejections: 0 };

  constructor(argument: messages.EntryArgument) {
    this.#argument = argument;
    this.#peerServer = new PeerServer({
      host: HOST,
      port: 0,
      secret: argument.secret,
    });
    this.#peers = new BenchPeers(argument, this.#peerServer);
    this.#loopDelay.enable();
  }

  /** Listens for callers and for peers. */
  async listen(): Promise<{ callerPort: number; peerPort: number }> {
    const clock = new SystemClock();
    const router = new requests.RequestRouter({
      config: this.#config(),
      servers: this.#servers(),
      owners: NO_OWNERS,
      connectionPools: new links.ConnectionPools(
        links.CONNECTION_POOLS_DEFAULTS,
        this.#lifeCycle,
      ),
      hashKey,
      entryVmCount: () => this.#setup?.peers.length ?? 1,
      clock,
      random: new SystemRandom(),
      log: createLog({ format: "text", level: "warn" }),
      lifeCycle: this.#lifeCycle,
      metrics: this.#metrics(),
      maxTimeoutMs: requests.REQUEST_DEFAULTS.maxTimeoutMs,
      unfencedTimeoutMs: 2_000,
      peers: this.#peers,
    });
    const listener = new requests.CallerListener({
      settings: requests.REQUEST_DEFAULTS,
      clock,
      lifeCycle: this.#lifeCycle,
      scheduler: new RequestScheduler({
        clock,
        log: createLog({ format: "text", level: "warn" }).part("route"),
      }),
      route: (request) => router.route(request),
    });
    return {
      callerPort: await listener.listen(),
      peerPort: await this.#peerServer.listen(this.#lifeCycle),
    };
  }

  applySetup(setup: messages.EntrySetup): void {
    this.#setup = setup;
    this.#addresses = setup.servers.map((server) => ({
      ...server,
      service: setup.service.name,
      host: HOST,
      state: "live",
    }));
    this.#peers.setPeers(setup.peers);
    this.#loopDelay.reset();
  }

  usage(): messages.EntryUsage {
    const { user, system } = process.cpuUsage();
    return {
      cpuMs: (user + system) / 1000,
      residentBytes: process.memoryUsage.rss(),
      peerMessages: this.#peers.sent,
      loopDelayP99Ms: this.#loopDelay.percentile(99) / 1e6,
      ...this.#counts,
    };
  }

  stop(): Promise<unknown> {
    return this.#lifeCycle.stop();
  }

  #config(): ConfigView {
    return {
      revision: 1,
      service: (id) =>
        this.#setup?.service.name === id ? this.#setup.service : undefined,
      partner: (id) =>
        this.#setup?.partner.name === id ? this.#setup.partner : undefined,
    };
  }

  #servers(): ServerView {
    return {
      servers: () => this.#addresses,
      server: (id) => this.#addresses.find((address) => address.server === id),
      noteDraining: (id) => {
        this.#addresses = this.#addresses.map((address) =>
          address.server === id ? { ...address, state: "draining" } : address
        );
      },
    };
  }

  #metrics(): requests.RequestMetrics {
    return {
      finished: () => {
        this.#counts.requests++;
      },
      retried: () => {
        this.#counts.retries++;
      },
      ejected: () => {
        this.#counts.ejections++;
      },
      keyedWork: () => {},
    };
  }
}

/** No owners: the bench's services are unkeyed. */
const NO_OWNERS: OwnerView = {
  lookup: () => ({ kind: "none" }),
  mayForward: () => false,
  checksFences: () => true,
  noteForwarded: () => ({ done() {} }),
  onChange: () => () => {},
  noteNotOwner: () => {},
};

function hashKey(text: string): number {
  return crypto.createHash("md5").update(text).digest().readUInt32LE(0);
}

async function main(): Promise<void> {
  const argument = serve.readArgument(messages.entryArgumentSchema);
  const entry = new BenchEntry(argument);
  const ports = await entry.listen();
  const app = new Hono<serve.StandInEnv>();
  app.post("/setup", async (context) => {
    entry.applySetup(messages.entrySetupSchema.parse(await context.req.json()));
    return context.json({});
  });
  app.get("/usage", (context) => context.json(entry.usage()));
  const control = await serve.listen(app, { port: 0 });
  serve.stopOnSignal(async () => {
    await control.close();
    await entry.stop();
  });
  process.stdout.write(JSON.stringify({ port: control.port, ...ports }) + "\n");
}

await main();
