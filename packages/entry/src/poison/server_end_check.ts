/**
 * Tells whether a backend server has ended or only a connection to it: the
 * kernel closes all connections of a process that ends, and then refuses new
 * ones.
 */
import type * as contracts from "@guavatide/contracts";
import * as net from "node:net";
import * as timers from "node:timers/promises";

/**
 * What is known of a server that broke off a connection. `unknown`: no answer
 * to a new connection, as when a link is cut.
 */
export type ServerCondition = "ended" | "running" | "unknown";

/** An incarnation of a server and its address. */
export type CheckedServer = Pick<
  contracts.RegisteredServer,
  "server" | "bornMs" | "host" | "port"
>;

/** Connections to servers, as {@link ServerEndCheck} uses them. */
export interface OpenConnections {
  /** Whether a connection to the server is open. */
  hasOpenConnection(server: contracts.ServerId): boolean;
}

/** Time for the other connections of a server that has ended to close. */
const SIBLING_CLOSE_MS = 2;
/** A server that refuses connections does so within a round trip. */
const CONNECT_TIMEOUT_MS = 300;

/** Longest wait, before a retry, for what became of a server. */
const RETRY_WAIT_MS = 50;

/** The condition of a server, or `unknown` when a retry can wait no longer. */
export function conditionBeforeRetry(
  condition: Promise<ServerCondition>,
): Promise<ServerCondition> {
  const wait = timers.setTimeout(RETRY_WAIT_MS, "unknown" as const, {
    ref: false,
  });
  return Promise.race([condition, wait]);
}

/** Checks servers; requests lost at the same time share one check. */
export class ServerEndCheck {
  readonly #connections: OpenConnections;
  readonly #localAddress: string | undefined;
  readonly #pending = new Map<string, Promise<ServerCondition>>();

  /** `localAddress`: where checks leave from; the system's choice by default. */
  constructor(connections: OpenConnections, localAddress?: string) {
    this.#connections = connections;
    this.#localAddress = localAddress;
  }

  /** Checks a server that has just broken off a connection. Never rejects. */
  check(entry: CheckedServer): Promise<ServerCondition> {
    const name = `${entry.server} ${entry.bornMs}`;
    const pending = this.#pending.get(name);
    if (pending !== undefined) return pending;
    const check = this.#check(entry).finally(() => this.#pending.delete(name));
    this.#pending.set(name, check);
    return check;
  }

  async #check(
    { server, host, port }: CheckedServer,
  ): Promise<ServerCondition> {
    await timers.setTimeout(SIBLING_CLOSE_MS);
    // Closes that have arrived are read before this continues.
    await timers.setImmediate();
    if (this.#connections.hasOpenConnection(server)) return "running";
    return connect({ host, port, localAddress: this.#localAddress });
  }
}

function connect(target: net.TcpNetConnectOpts): Promise<ServerCondition> {
  return new Promise((resolve) => {
    const socket = net.connect(target);
    const end = (condition: ServerCondition) => {
      resolve(condition);
      socket.destroy();
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => end("unknown"));
    socket.once("connect", () => end("running"));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        end(code === "ECONNREFUSED" ? "ended" : "unknown"),
    );
  });
}
