/** Times of ownership by grants, and where each figure comes from. */

/** Times that grants and moves of key ranges work with. */
export interface GrantTimings {
  /** Length of time that a grant gives at least. */
  readonly holdMs: number;
  /** Between two renewals of a range by one keeper. */
  readonly renewMs: number;
  /** How long evidence for a map revision is good. */
  readonly evidenceMs: number;
  /**
   * A grant without an answer is given up after this time and its connection
   * reset, so that its bytes leave by then or never.
   */
  readonly orderTimeoutMs: number;
  /** Longest time that bytes which have left are on their way. */
  readonly transitMs: number;
  /** A server counts as lost after so long without an answer to a grant. */
  readonly silentMs: number;
  /** Largest relative difference in rate between two clocks. */
  readonly clockRateMargin: number;
}

/**
 * Defaults. A server is lost at 0 ms; grants to it stay unanswered from 450 ms
 * on at the latest, it counts as lost at 1 150 ms and the last grant ends at
 * 1 450 ms. What that may have given is over 1.02 * `holdMs` + `transitMs` =
 * 1 630 ms later, so its keys are served again after 3.1 s at the latest; 4 s
 * are asked for. Three renewals fit into a hold, so that two lost ones and a
 * retransmission do not end it. Renewals are most of what keepers do.
 */
export const DEFAULT_GRANT_TIMINGS: GrantTimings = {
  holdMs: 1_500,
  renewMs: 450,
  evidenceMs: 700,
  orderTimeoutMs: 300,
  transitMs: 100,
  silentMs: 700,
  clockRateMargin: 0.02,
};

/** Longest time from the end of a grant call until what it gave is over. */
export function grantLifeMs(
  { transitMs, clockRateMargin }: GrantTimings,
  holdMs: number,
): number {
  return transitMs + holdMs * (1 + clockRateMargin);
}
