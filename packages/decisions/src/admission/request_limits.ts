/**
 * Rates of requests that backend servers in need have named in their answers,
 * as the newest answer that any entry VM has received says.
 */
import type * as contracts from "@guavatide/contracts";

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
  /**
   * Requests that the server takes from all entry VMs together; undefined when
   * the answer names no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /** When an entry VM received the answer, on this VM's clock. */
  readonly observedAtMs: number;
}

/** An answer that this VM has received. */
export interface LimitAnswer {
  /** See {@link LimitObservation}. */
  readonly requestsPerSecond: number | undefined;
  /** Whether the server refused the request. */
  readonly isRefusal: boolean;
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** The newest observation of each server that has a limit, or had one. */
export class RequestLimits {
  readonly #newest = new Map<contracts.ServerId, LimitObservation>();
  #inForce = 0;

  /** Whether any limit is in force. */
  get hasAny(): boolean {
    return this.#inForce > 0;
  }

  /** The limit in force in requests a second; undefined for none. */
  limitOf(server: contracts.ServerId): number | undefined {
    return this.#newest.get(server)?.requestsPerSecond;
  }

  /**
   * Records an answer that this VM has received. One without a limit lifts it
   * only if its request was sent after the limit was last confirmed: the server
   * may have written an earlier answer before it was in need. A refusal without
   * one lifts nothing, as what writes it may have no load to tell.
   */
  recordAnswer(
    server: contracts.ServerId,
    { requestsPerSecond, isRefusal, sentAtMs, nowMs }: LimitAnswer,
  ): RequestLimitChange {
    if (requestsPerSecond === undefined) {
      const confirmedAtMs = this.#newest.get(server)?.observedAtMs;
      const isLater = confirmedAtMs !== undefined && sentAtMs > confirmedAtMs;
      if (isRefusal || !isLater) return "none";
    }
    return this.#apply(server, { requestsPerSecond, observedAtMs: nowMs });
  }

  /** Records what a peer knows. */
  recordPeerReport(
    server: contracts.ServerId,
    observation: LimitObservation,
  ): RequestLimitChange {
    const newestMs = this.#newest.get(server)?.observedAtMs;
    if (newestMs !== undefined && observation.observedAtMs <= newestMs) {
      return "none";
    }
    return this.#apply(server, observation);
  }

  /** The newest observation; undefined for a server that never had a limit. */
  observationOf(server: contracts.ServerId): LimitObservation | undefined {
    return this.#newest.get(server);
  }

  /** Servers that have a limit, or had one. */
  get servers(): Iterable<contracts.ServerId> {
    return this.#newest.keys();
  }

  /** Forgets a server that has ended. */
  forget(server: contracts.ServerId): void {
    if (this.limitOf(server) !== undefined) this.#inForce--;
    this.#newest.delete(server);
  }

  #apply(
    server: contracts.ServerId,
    observation: LimitObservation,
  ): RequestLimitChange {
    const before = this.limitOf(server);
    const after = observation.requestsPerSecond;
    if (before === undefined && after === undefined) return "none";
    this.#newest.set(server, observation);
    if (after === undefined) {
      this.#inForce--;
      return "lifted";
    }
    if (before === undefined) {
      this.#inForce++;
      return "imposed";
    }
    return before === after ? "confirmed" : "changed";
  }
}
