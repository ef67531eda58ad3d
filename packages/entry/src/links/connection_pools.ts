/** All connections of this entry VM to backend servers, one pool per server. */
import type * as contracts from "@guavatide/contracts";
import * as contractValues from "@guavatide/contracts";
import type { ServerAddress } from "../contracts/views.ts";
import { HttpChannel, type HttpRequest } from "../platform/http_channel.ts";
import { MonotonicClock } from "../utils/clock.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { AnswerDecoder } from "./answer_decoder.ts";
import { type ConnectionCounts, ConnectionPool } from "./connection_pool.ts";
import { NativeAnswerDecoder } from "./native_answer_decoder.ts";

/** Options of {@link ConnectionPools}. */
export interface ConnectionPoolsOptions {
  /** Address that connections leave from; the system's choice by default. */
  readonly localAddress?: string | undefined;
  readonly connectTimeoutMs: number;
  readonly idleTimeoutMs: number;
  readonly maxAnnouncedIdleTimeoutMs?: number | undefined;
  readonly answerLimitBytes: number;
  readonly decoder: AnswerDecoder;
  /** See {@link ServerConnectionOptions}. */
  readonly onAnswerBytes?: ((bytes: number) => void) | undefined;
  /** See {@link ServerConnectionOptions}. */
  readonly onAnswerGivenUp?: ((bytes: number) => void) | undefined;
  /** See {@link ServerConnectionOptions}. */
  readonly mayReadAnswer?: ((bytes: number) => boolean) | undefined;
  /** Timeout of a probe or a cancellation. */
  readonly controlTimeoutMs: number;
}

/** Defaults of {@link ConnectionPoolsOptions}. */
export const CONNECTION_POOLS_DEFAULTS: ConnectionPoolsOptions = {
  connectTimeoutMs: 500,
  // Below the idle timeout of common servers: when a server closes a connection
  // just as a request is sent, it is unknown whether the request ran.
  idleTimeoutMs: 4000,
  answerLimitBytes: 8 * 1024 * 1024,
  decoder: new NativeAnswerDecoder(),
  controlTimeoutMs: 500,
};

/** Largest answer to a probe or a cancellation, which is read and dropped. */
const MAX_CONTROL_ANSWER_BYTES = 1_048_576;

interface ServerPool {
  readonly host: string;
  readonly port: number;
  readonly pool: ConnectionPool;
}

interface ControlChannel {
  readonly origin: string;
  readonly channel: HttpChannel;
}

/** Pools by server; a server whose address changes gets a new pool. */
export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #pools = new Map<contracts.ServerId, ServerPool>();
  readonly #controlChannels = new Map<contracts.ServerId, ControlChannel>();
  readonly #clock = new MonotonicClock();

  constructor(options: ConnectionPoolsOptions, lifeCycle: LifeCycle) {
    this.#options = options;
    lifeCycle.onStop({
      name: "connections to backend servers",
      timeoutMs: 2000,
      run: () => this.#close(),
    });
  }

  /** The pool of a server, created on first use. */
  pool(
    address: Pick<ServerAddress, "server" | "host" | "port">,
    linkLimit: number,
  ): ConnectionPool {
    const known = this.#pools.get(address.server);
    const isSame = known?.host === address.host && known.port === address.port;
    if (known !== undefined && isSame) return known.pool;
    known?.pool.close();
    const { host, port } = address;
    const pool = new ConnectionPool({
      ...this.#options,
      clock: this.#clock,
      host,
      port,
      connectionLimit: linkLimit,
    });
    this.#pools.set(address.server, { host, port, pool });
    return pool;
  }

  /** Number of connections to each server; a busy one has a request in flight. */
  counts(): ReadonlyMap<contracts.ServerId, ConnectionCounts> {
    return new Map(
      [...this.#pools].map(([server, { pool }]) => [server, pool.counts]),
    );
  }

  /** Whether any connection to the server is open. */
  hasOpenConnection(server: contracts.ServerId): boolean {
    return this.#pools.get(server)?.pool.hasOpenConnection ?? false;
  }

  /** Closes the pools of all other servers. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const [server, entry] of this.#pools) {
      if (servers.has(server)) continue;
      entry.pool.close();
      this.#pools.delete(server);
    }
    for (const server of this.#controlChannels.keys()) {
      if (!servers.has(server)) this.#closeControl(server);
    }
  }

  /**
   * Asks a server to cancel a request whose caller no longer waits. Best effort:
   * errors are ignored, and the request may still run.
   */
  cancel(address: ServerAddress, id: contracts.RequestId): void {
    const path = `/control/requests/${id}`;
    this.#controlCall(address, { method: "DELETE", path }).catch(() => {});
  }

  /** Whether a server responds to a probe over a separate connection. */
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
    options: HttpRequest,
  ): Promise<number> {
    const result = await this.#controlChannel(address)
      .call(options, { timeoutMs: this.#options.controlTimeoutMs });
    if (result.isErr()) throw new Error(result.error.message);
    return result.value.status;
  }

  /** The channel of a server for probes and cancellations. */
  #controlChannel(address: ServerAddress): HttpChannel {
    const { server } = address;
    const origin = contractValues.originOf(address);
    const known = this.#controlChannels.get(server);
    if (known?.origin === origin) return known.channel;
    this.#closeControl(server);
    const channel = new HttpChannel(origin, {
      connections: 1,
      localAddress: this.#options.localAddress,
      connectTimeoutMs: this.#options.connectTimeoutMs,
      maxResponseBytes: MAX_CONTROL_ANSWER_BYTES,
    });
    this.#controlChannels.set(server, { origin, channel });
    return channel;
  }

  #closeControl(server: contracts.ServerId): void {
    const known = this.#controlChannels.get(server);
    this.#controlChannels.delete(server);
    known?.channel.close().catch(() => {});
  }

  #close(): void {
    this.keepOnly(new Set());
  }
}
