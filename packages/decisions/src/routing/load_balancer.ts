/** How a server is chosen among those that may take one more request. */
import type * as contracts from "@guavatide/contracts";

/** A server that may take one more request, with what is known of its load. */
export interface Candidate {
  readonly server: contracts.ServerId;
  /** Requests of this process in flight at the server. */
  readonly localInFlight: number;
  /**
   * Requests of all processes in flight, as last reported in an answer and
   * corrected by what this process sent or finished since.
   */
  readonly reportedInFlight: number | undefined;
  /** Age of that report. */
  readonly reportAgeMs: number;
  /** Requests that the server runs at once. */
  readonly slots: number;
  /** Share of its full load that the server should get, above 0, at most 1. */
  readonly weight: number;
}

/** A policy for choosing a server. It may keep state of its own. */
export interface LoadBalancer {
  /** Returns nothing only for an empty list. */
  choose(
    candidates: readonly Candidate[],
    random: contracts.RandomSource,
  ): Candidate | undefined;
}
