/** Timings of grants and handovers of key ranges. */

/** Timings in milliseconds, and the allowed clock drift. */
export interface GrantTimings {
  /** Minimum lease duration of a grant. */
  readonly holdMs: number;
  /** Interval between two renewals of a range by one entry VM. */
  readonly renewMs: number;
  /**
   * How long a VM may act on the confirmation that a map revision is current,
   * counted from when it sent the request for it.
   */
  readonly confirmationTtlMs: number;
  /**
   * Timeout of a grant call. Its connection is then reset, so that no byte of
   * the call leaves later.
   */
  readonly grantTimeoutMs: number;
  /** Longest network transit time of bytes that were sent. */
  readonly transitMs: number;
  /** A server counts as lost after this time without an answer to a grant. */
  readonly unresponsiveAfterMs: number;
  /** Largest relative drift between two clocks; 0.02 is 2 %. */
  readonly clockRateMargin: number;
}

/**
 * Default timings. The keys of a lost server are without an owner for less than
 * the 4 s required, and a lease outlasts two lost renewals.
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

/**
 * Longest time from the acknowledgement of a revision by a quorum until the
 * leases of a voter that does not know the revision have expired.
 */
export function maxFormerLeaseMs(timings: GrantTimings, leaseMs: number) {
  return timings.confirmationTtlMs + timings.grantTimeoutMs +
    maxLeaseLifetimeMs(timings, leaseMs);
}

/** Longest time from the end of a grant call until its lease has expired. */
export function maxLeaseLifetimeMs(
  { transitMs, clockRateMargin }: GrantTimings,
  leaseMs: number,
): number {
  return transitMs + leaseMs * (1 + clockRateMargin);
}
