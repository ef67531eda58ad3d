/**
 * Requests that were given up while a server had them. One is to blame if the
 * server ends soon after, though it holds no connection any more that could
 * break.
 */
import * as timers from "node:timers/promises";
import { FailureLog } from "../utils/failure_log.ts";
import type { Logger } from "../utils/log.ts";
import type { CheckedServer, ServerEndCheck } from "./server_end_check.ts";

/** Options of {@link GivenUpRequests}. */
export interface GivenUpRequestsOptions<Request, Server> {
  readonly log: Logger;
  readonly endCheck: Pick<ServerEndCheck, "check">;
  /** Milliseconds since the Unix epoch. */
  readonly unixMs: () => number;
  /** A server has ended after it was last seen to run at `atMs`, in Unix ms. */
  readonly onEnded: (
    server: Server,
    requests: readonly Request[],
    atMs: number,
  ) => void;
}

/** Delays before a first and a second look at a server. */
const CHECK_DELAYS_MS = [300, 700];
const MAX_REQUESTS_PER_SERVER = 16;

/** Watches the servers at which requests were given up. */
export class GivenUpRequests<Request, Server extends CheckedServer> {
  readonly #options: GivenUpRequestsOptions<Request, Server>;
  readonly #errors: FailureLog;
  readonly #byServer = new Map<string, Set<Request>>();

  constructor(options: GivenUpRequestsOptions<Request, Server>) {
    this.#options = options;
    this.#errors = new FailureLog(options.log);
  }

  /** Notes a request that was given up at a server. */
  note(request: Request, server: Server): void {
    const name = `${server.server} ${server.bornMs}`;
    const watched = this.#byServer.get(name);
    if (watched !== undefined) {
      if (watched.size < MAX_REQUESTS_PER_SERVER) watched.add(request);
      return;
    }
    const requests = new Set([request]);
    this.#byServer.set(name, requests);
    const watching = this.#watch(server, requests)
      .finally(() => this.#byServer.delete(name));
    this.#errors.detach("check of a server with given-up requests", watching);
  }

  async #watch(server: Server, requests: ReadonlySet<Request>): Promise<void> {
    const { endCheck, unixMs, onEnded } = this.#options;
    for (const delayMs of CHECK_DELAYS_MS) {
      await timers.setTimeout(delayMs, undefined, { ref: false });
      const atMs = unixMs();
      if (await endCheck.check(server) !== "ended") continue;
      return onEnded(server, [...requests], atMs);
    }
  }
}
