/** Times of ownership by grants. */

/** Times that grants and moves of key ranges work with. */
export interface GrantTimings {
  /** Length of time that a grant gives at least. */
  readonly holdMs: number;
  /** Between two renewals of a range by one keeper. */
  readonly renewMs: number;
  /** How long evidence for a map revision is good. */
  readonly confirmationTtlMs: number;
  /**
   * A grant without an answer is given up after this time and its connection
   * reset, so that its bytes leave by then or never.
   */
  readonly grantTimeoutMs: number;
  /** Longest time that bytes which have left are on their way. */
  readonly transitMs: number;
  /** A server counts as lost after so long without an answer to a grant. */
  readonly unresponsiveAfterMs: number;
  /** Largest relative difference in rate between two clocks. */
  readonly clockRateMargin: number;
}

/**
 * Defaults. They keep the time without an owner after the loss of a server
 * below the 4 s required; a hold outlasts two lost renewals.
 */
export const DEFAULT_GRANT_TIMINGS: GrantTimings = {
  holdMs: 1_500,
  renewMs: 450,
  confirmationTtlMs: 700,
  grantTimeoutMs: 300,
  transitMs: 100,
  unresponsiveAfterMs: 700,
  clockRateMargin: 0.02,
};

/** Longest time from the end of a grant call until what it gave is over. */
export function maxLeaseLifetimeMs(
  { transitMs, clockRateMargin }: GrantTimings,
  holdMs: number,
): number {
  return transitMs + holdMs * (1 + clockRateMargin);
}
