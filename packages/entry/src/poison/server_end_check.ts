/**
 * Tells whether a backend server has ended or only a connection to it: the
 * kernel closes all connections of a process that ends, and then refuses new
 * ones.
 */
import type * as contracts from "@guavatide/contracts";
import * as timers from "node:timers/promises";
import { probeConnection } from "../links/connection_probe.ts";

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

/** Options of {@link ServerEndCheck}. */
export interface ServerEndCheckOptions {
  /** Where checks leave from; the system's choice by default. */
  readonly localAddress?: string;
  /**
   * Whether another entry VM reaches the server; undefined when none could
   * tell. Asked before a server counts as ended.
   */
  readonly isReachedByPeer?: (
    entry: CheckedServer,
  ) => Promise<boolean | undefined>;
}

/**
 * Pauses before the looks at a server. The connections of a process that ends
 * are closed one after the other, so it may look as if it runs for a while.
 */
const LOOK_DELAYS_MS = [2, 13, 25, 110];
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
  readonly #isReachedByPeer: ServerEndCheckOptions["isReachedByPeer"];
  readonly #pending = new Map<string, Promise<ServerCondition>>();

  constructor(
    connections: OpenConnections,
    options: ServerEndCheckOptions = {},
  ) {
    this.#connections = connections;
    this.#localAddress = options.localAddress;
    this.#isReachedByPeer = options.isReachedByPeer;
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

  async #check(entry: CheckedServer): Promise<ServerCondition> {
    const { host, port } = entry;
    const target = { host, port, localAddress: this.#localAddress };
    let isAccepted = false;
    for (const [index, delayMs] of LOOK_DELAYS_MS.entries()) {
      await timers.setTimeout(delayMs);
      // Closes that have arrived are read before this continues.
      await timers.setImmediate();
      if (this.#connections.hasOpenConnection(entry.server)) continue;
      // New connections are dear: one more at the end is enough.
      if (isAccepted && index < LOOK_DELAYS_MS.length - 1) continue;
      const outcome = await probeConnection(target, {
        timeoutMs: CONNECT_TIMEOUT_MS,
      });
      if (outcome === "accepted") {
        isAccepted = true;
        continue;
      }
      if (outcome !== "refused") return "unknown";
      // A partition may refuse connections as well.
      const isReached = await this.#isReachedByPeer?.(entry);
      return isReached ? "unknown" : "ended";
    }
    return "running";
  }
}
