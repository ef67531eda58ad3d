/** Records the requests under which backend servers break off connections. */
import type * as contracts from "@guavatide/contracts";
import type {
  ServerCondition,
  ServerEndCheck,
} from "../links/server_end_check.ts";
import type { Logger } from "../utils/log.ts";
import type { FrontRequest } from "./front_request.ts";
import { identifyRequest } from "./request_identity.ts";

/** Options of {@link LostConnections}. */
export interface LostConnectionsOptions {
  readonly endCheck: ServerEndCheck;
  readonly log: Logger;
}

/** Finds out what ended each lost connection. */
export class LostConnections {
  readonly #options: LostConnectionsOptions;

  constructor(options: LostConnectionsOptions) {
    this.#options = options;
  }

  /** A server broke off the connection on which it had a request. */
  async note(
    request: FrontRequest,
    entry: contracts.RegisteredServer,
  ): Promise<ServerCondition> {
    const { endCheck, log } = this.#options;
    const condition = await endCheck.check(entry);
    const { fingerprint, caller } = identifyRequest(request);
    const { server, service } = entry;
    const { id } = request;
    const fields = { id, fingerprint, caller, server, service, condition };
    log.info("Connection lost under a request.", fields);
    return condition;
  }
}
