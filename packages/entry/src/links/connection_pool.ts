/** The links from this entry VM to one backend server. */
import type * as contracts from "@guavatide/contracts";
import { ServerClock } from "./server_clock.ts";
import {
  type AttemptRequest,
  type AttemptResult,
  ServerConnection,
  type ServerConnectionOptions,
} from "./server_connection.ts";

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions extends ServerConnectionOptions {
  /** This VM's share of the connections that the server takes. */
  readonly connectionLimit: number;
  readonly clock: contracts.Clock;
}

/** Options of {@link ConnectionPool.send}. */
export interface SendOptions {
  /** Gives up after this time, counted from the call. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Connections of a pool, for metrics. */
export interface ConnectionCounts {
  readonly idle: number;
  readonly busy: number;
}

/** A bounded set of links; the one used last is used next. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #idle: ServerConnection[] = [];
  readonly #busy = new Set<ServerConnection>();
  /** The server's clock, as its answers tell it. */
  readonly serverClock: ServerClock;
  #isClosed = false;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.serverClock = new ServerClock(options.clock);
  }

  get counts(): ConnectionCounts {
    return { idle: this.#idle.length, busy: this.#busy.size };
  }

  /** Sends a request over a free link, or over a new one. */
  async send(
    request: AttemptRequest,
    options: SendOptions,
  ): Promise<AttemptResult> {
    const link = this.#take();
    if (link === undefined) {
      const message = "All connections are in use";
      return { kind: "not-sent", isLocal: true, message };
    }
    const receivedBytes = link.bytesReceived;
    const timer = setTimeout(
      () => link.abandon("timeout-after-send", "No answer before the deadline"),
      options.timeoutMs,
    );
    const onAbort = () =>
      link.abandon("connection-lost", "The caller has gone");
    options.signal.addEventListener("abort", onAbort, { once: true });
    const result = await link.send(request);
    clearTimeout(timer);
    options.signal.removeEventListener("abort", onAbort);
    this.#giveBack(link);
    const isSilent = result.kind === "unknown" &&
      link.bytesReceived === receivedBytes;
    if (isSilent) this.#retireIdle();
    return result;
  }

  /** Closes the idle links and each busy one as its request ends. */
  close(): void {
    this.#isClosed = true;
    this.#retireIdle();
  }

  #take(): ServerConnection | undefined {
    let link = this.#idle.pop();
    while (link !== undefined && !link.isUsable) link = this.#idle.pop();
    if (link === undefined) {
      const isFull = this.#busy.size >= this.#options.connectionLimit;
      if (isFull || this.#isClosed) return undefined;
      link = new ServerConnection(this.#options);
    }
    this.#busy.add(link);
    return link;
  }

  #giveBack(link: ServerConnection): void {
    this.#busy.delete(link);
    if (this.#isClosed) link.retire();
    if (link.isUsable) this.#idle.push(link);
  }

  /**
   * After a request without one byte of answer the older connections may be
   * lost without a sign; the next request opens a new one.
   */
  #retireIdle(): void {
    for (const link of this.#idle.splice(0)) link.retire();
  }
}
