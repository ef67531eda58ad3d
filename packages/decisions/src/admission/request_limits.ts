/**
 * Rates of requests that backend servers in need have named in their answers,
 * as the newest answer that any entry VM has received says.
 */
import type * as contracts from "@guavatide/contracts";

/** A limit in force. Times are those of this VM's clock. */
export interface RequestLimit {
  /** Requests that the server takes from all entry VMs together. */
  readonly requestsPerSecond: number;
  /** When this VM first heard of it. */
  readonly sinceMs: number;
  /** When an entry VM received the newest answer that names it. */
  readonly confirmedAtMs: number;
}

/** What an observation has changed. */
export type RequestLimitChange =
  | "imposed"
  | "changed"
  | "confirmed"
  | "lifted"
  /** It is older than what is known, or says nothing new. */
  | "none";

/** An answer, as far as it concerns its server's limit. */
export interface LimitObservation {
  /** Undefined when the answer names no limit. */
  readonly requestsPerSecond: number | undefined;
  readonly observedAtMs: number;
}

/** Newest observation of one server that has named a limit. */
interface ServerState {
  limit: RequestLimit | undefined;
  observedAtMs: number;
}

/** Limits of all servers that have named one. */
export class RequestLimits {
  readonly #servers = new Map<contracts.ServerId, ServerState>();
  #inForce = 0;

  /** Whether any limit is in force. */
  get hasAny(): boolean {
    return this.#inForce > 0;
  }

  /** The server's limit in force; undefined for none. */
  limitOf(server: contracts.ServerId): RequestLimit | undefined {
    return this.#servers.get(server)?.limit;
  }

  /**
   * Records an answer that this VM has received. One without a limit lifts it
   * only if its request was sent after the limit was last confirmed: the server
   * may have written an earlier answer before it was in need.
   */
  recordAnswer(
    server: contracts.ServerId,
    requestsPerSecond: number | undefined,
    { sentAtMs, nowMs }: { readonly sentAtMs: number; readonly nowMs: number },
  ): RequestLimitChange {
    const known = this.#servers.get(server)?.limit;
    if (requestsPerSecond === undefined) {
      const isLater = known !== undefined && sentAtMs > known.confirmedAtMs;
      if (!isLater) return "none";
    }
    return this.#apply(
      server,
      { requestsPerSecond, observedAtMs: nowMs },
      nowMs,
    );
  }

  /** Records what a peer knows. */
  recordPeerReport(
    server: contracts.ServerId,
    observation: LimitObservation,
    nowMs: number,
  ): RequestLimitChange {
    const newestMs = this.#servers.get(server)?.observedAtMs;
    if (newestMs !== undefined && observation.observedAtMs <= newestMs) {
      return "none";
    }
    return this.#apply(server, observation, nowMs);
  }

  /** The newest observation; undefined for a server that never had a limit. */
  observationOf(server: contracts.ServerId): LimitObservation | undefined {
    const state = this.#servers.get(server);
    if (state === undefined) return undefined;
    return {
      requestsPerSecond: state.limit?.requestsPerSecond,
      observedAtMs: state.observedAtMs,
    };
  }

  /** Servers that have a limit, or had one. */
  get servers(): Iterable<contracts.ServerId> {
    return this.#servers.keys();
  }

  /** Forgets a server that has ended. */
  forget(server: contracts.ServerId): void {
    if (this.limitOf(server) !== undefined) this.#inForce--;
    this.#servers.delete(server);
  }

  #apply(
    server: contracts.ServerId,
    { requestsPerSecond, observedAtMs }: LimitObservation,
    nowMs: number,
  ): RequestLimitChange {
    const known = this.#servers.get(server)?.limit;
    const limit = requestsPerSecond === undefined ? undefined : {
      requestsPerSecond,
      sinceMs: known?.sinceMs ?? nowMs,
      confirmedAtMs: observedAtMs,
    };
    if (known === undefined && limit === undefined) return "none";
    this.#inForce += Number(limit !== undefined) - Number(known !== undefined);
    this.#servers.set(server, { limit, observedAtMs });
    if (limit === undefined) return "lifted";
    if (known === undefined) return "imposed";
    return known.requestsPerSecond === requestsPerSecond
      ? "confirmed"
      : "changed";
  }
}
