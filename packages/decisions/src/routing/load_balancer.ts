/** Interface of the load balancing policies. */
import type * as contracts from "@guavatide/contracts";

/** A server that may take one more request, with its known load. */
export interface Candidate {
  readonly server: contracts.ServerId;
  /** Requests of this process in flight at the server. */
  readonly localInFlight: number;
  /**
   * Requests of all processes in flight: as last reported in an answer,
   * adjusted by what this process sent and abandoned since.
   */
  readonly reportedInFlight: number | undefined;
  /** Age of that report. */
  readonly reportAgeMs: number;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /**
   * Fraction of a full share of load that it should get; above 0, at most 1.
   */
  readonly weight: number;
}

/** Chooses a server for each request. May be stateful. */
export interface LoadBalancer {
  /** Returns the server to send to; undefined only for an empty list. */
  choose(
    candidates: readonly Candidate[],
    random: contracts.RandomSource,
  ): Candidate | undefined;
}
