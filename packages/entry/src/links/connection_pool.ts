/** The connections from this entry VM to one backend server. */
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
  /** This VM's share of the connections that the server accepts. */
  readonly connectionLimit: number;
  readonly clock: contracts.Clock;
}

/** Options of {@link ConnectionPool.send}. */
export interface SendOptions {
  /** The request is abandoned this long after the call. */
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
  /** Called with a function that gives the request up. */
  readonly onStarted?: (abandon: (message: string) => void) => void;
}

/** Number of connections of a pool, for metrics. */
export interface ConnectionCounts {
  readonly idle: number;
  readonly busy: number;
}

/** A limited number of connections; the most recently used one is reused first. */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions;
  readonly #idle: ServerConnection[] = [];
  readonly #busy = new Set<ServerConnection>();
  /** The server's clock, from the stamps in its responses. */
  readonly serverClock: ServerClock;
  #isClosed = false;

  constructor(options: ConnectionPoolOptions) {
    this.#options = options;
    this.serverClock = new ServerClock(options.clock);
  }

  get counts(): ConnectionCounts {
    return { idle: this.#idle.length, busy: this.#busy.size };
  }

  /** Whether the server keeps any connection of this pool open. */
  get hasOpenConnection(): boolean {
    return [...this.#idle, ...this.#busy].some(({ isOpen }) => isOpen);
  }

  /** Whether a request can be sent without a new connection. */
  get hasIdleConnection(): boolean {
    return this.#idle.some(({ isUsable }) => isUsable);
  }

  /**
   * Sends a request over an idle connection, or over a new one. Results in
   * `not-sent` when the connection limit is reached.
   */
  async send(
    request: AttemptRequest,
    options: SendOptions,
  ): Promise<AttemptResult> {
    const connection = this.#acquire(request.id);
    if (connection === undefined) {
      const message = "All connections are in use";
      return { kind: "not-sent", isLocal: true, message };
    }
    const receivedBytes = connection.bytesReceived;
    const timer = setTimeout(
      () =>
        connection.abandon(
          "timeout-after-send",
          "No answer before the deadline",
        ),
      options.timeoutMs,
    );
    const onAbort = () =>
      connection.abandon("connection-lost", "The caller has gone");
    options.signal.addEventListener("abort", onAbort, { once: true });
    options.onStarted?.((message) =>
      connection.abandon("connection-lost", message)
    );
    const result = await connection.send(request);
    clearTimeout(timer);
    options.signal.removeEventListener("abort", onAbort);
    this.#release(connection);
    const hasNoResponse = result.kind === "unknown" &&
      connection.bytesReceived === receivedBytes;
    if (!hasNoResponse) return result;
    this.#retireIdle();
    return { ...result, isSilent: true };
  }

  /** Closes idle connections, and each busy one when its request ends. */
  close(): void {
    this.#isClosed = true;
    this.#retireIdle();
  }

  #acquire(id: contracts.RequestId): ServerConnection | undefined {
    let conn = this.#takeIdle(id);
    if (conn === undefined) {
      const isFull = this.#busy.size >= this.#options.connectionLimit;
      if (isFull || this.#isClosed) return undefined;
      conn = new ServerConnection(this.#options);
    }
    this.#busy.add(conn);
    return conn;
  }

  /**
   * A request that the server has refused leaves again over another connection:
   * an extra refusal would bear its id, and say that it has not run. Requests
   * without an id are refused each time.
   */
  #takeIdle(id: contracts.RequestId): ServerConnection | undefined {
    const usable = this.#idle.splice(0).filter(({ isUsable }) => isUsable);
    const index = usable.findLastIndex(({ lastRequest }) =>
      id === "" || lastRequest !== id
    );
    const [taken] = index < 0 ? [] : usable.splice(index, 1);
    this.#idle.push(...usable);
    return taken;
  }

  #release(connection: ServerConnection): void {
    this.#busy.delete(connection);
    if (this.#isClosed) connection.retire();
    if (connection.isUsable) this.#idle.push(connection);
  }

  /**
   * Closes idle connections. After a request without one byte of response they
   * may be broken too, without a reset; the next request opens a new one.
   */
  #retireIdle(): void {
    for (const connection of this.#idle.splice(0)) connection.retire();
  }
}
