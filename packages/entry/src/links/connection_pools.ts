/** All links of this entry VM to backend servers, one pool a server. */
import type * as contracts from "@guavatide/contracts";
import * as undici from "undici";
import type { ServerAddress } from "../contracts/views.ts";
import { MonotonicClock } from "../utils/clock.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { AnswerDecoder } from "./answer_decoder.ts";
import { type ConnectionCounts, ConnectionPool } from "./connection_pool.ts";
import { NativeAnswerDecoder } from "./native_answer_decoder.ts";

/** Options of {@link ConnectionPools}. */
export interface ConnectionPoolsOptions {
  readonly connectTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly answerLimitBytes: number;
  readonly decoder: AnswerDecoder;
  /** Time a probe or a cancellation may take. */
  readonly controlTimeoutMs: number;
}

/** Defaults of {@link ConnectionPoolsOptions}. */
export const CONNECTION_POOLS_DEFAULTS: ConnectionPoolsOptions = {
  connectTimeoutMs: 500,
  // Below the idle limit of common servers: a connection closed just as a
  // request leaves makes that request's fate unknown.
  idleTimeoutMs: 4000,
  answerLimitBytes: 8 * 1024 * 1024,
  decoder: new NativeAnswerDecoder(),
  controlTimeoutMs: 500,
};

interface ServerPool {
  readonly host: string;
  readonly port: number;
  readonly pool: ConnectionPool;
}

/** Pools by server; a server that changes its address gets a new one. */
export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #places = new Map<contracts.ServerId, ServerPool>();
  readonly #control: undici.Agent;
  readonly #clock = new MonotonicClock();

  constructor(options: ConnectionPoolsOptions, lifeCycle: LifeCycle) {
    this.#options = options;
    this.#control = new undici.Agent({
      connections: 1,
      connect: { timeout: options.connectTimeoutMs },
      keepAliveTimeout: 1000,
      headersTimeout: options.controlTimeoutMs,
      bodyTimeout: options.controlTimeoutMs,
    });
    lifeCycle.onStop({
      name: "links to backend servers",
      timeoutMs: 2000,
      run: () => this.#close(),
    });
  }

  /** The pool of a server, made on first use. */
  pool(
    address: Pick<ServerAddress, "server" | "host" | "port">,
    linkLimit: number,
  ): ConnectionPool {
    const found = this.#places.get(address.server);
    const isSame = found?.host === address.host && found.port === address.port;
    if (found !== undefined && isSame) return found.pool;
    found?.pool.close();
    const { host, port } = address;
    const pool = new ConnectionPool({
      ...this.#options,
      clock: this.#clock,
      host,
      port,
      connectionLimit: linkLimit,
    });
    this.#places.set(address.server, { host, port, pool });
    return pool;
  }

  /** Connections to each server; a busy one has a request in flight. */
  counts(): ReadonlyMap<contracts.ServerId, ConnectionCounts> {
    return new Map(
      [...this.#places].map(([server, { pool }]) => [server, pool.counts]),
    );
  }

  /** Drops the pools of servers that are gone. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const [server, place] of this.#places) {
      if (servers.has(server)) continue;
      place.pool.close();
      this.#places.delete(server);
    }
  }

  /**
   * Asks a server to stop working on a request that nobody waits for. Best
   * effort: the request's fate stays as it is.
   */
  cancel(address: ServerAddress, id: contracts.RequestId): void {
    const path = `/control/requests/${id}`;
    this.#controlCall(address, { method: "DELETE", path }).catch(() => {});
  }

  /** Whether a server answers at all, asked over a connection of its own. */
  async probe(address: ServerAddress): Promise<boolean> {
    try {
      const path = "/control/load";
      return await this.#controlCall(address, { method: "GET", path }) < 500;
    } catch {
      return false;
    }
  }

  async #controlCall(
    address: ServerAddress,
    options: { readonly method: "GET" | "DELETE"; readonly path: string },
  ): Promise<number> {
    const reply = await this.#control.request({
      origin: `http://${address.host}:${address.port}`,
      method: options.method,
      path: options.path,
      signal: AbortSignal.timeout(this.#options.controlTimeoutMs),
    });
    await reply.body.dump();
    return reply.statusCode;
  }

  async #close(): Promise<void> {
    this.keepOnly(new Set());
    await this.#control.destroy();
  }
}
