/** Times of ownership by grants, and where each figure comes from. */

/** Times that grants and moves of key ranges work with. */
export interface GrantTimings {
  /** Length of time that a grant gives. */
  readonly holdMs: number;
  /** Between two renewals of a range by one keeper. */
  readonly renewMs: number;
  /** How long evidence for a map revision is good. */
  readonly evidenceMs: number;
  /**
   * A grant without an answer is given up after this time and its connection
   * reset, so that its bytes arrive by then or never.
   */
  readonly orderTimeoutMs: number;
  /** A server counts as lost after so long without an answer to a grant. */
  readonly silentMs: number;
  /** Largest relative difference in rate between two clocks. */
  readonly clockRateMargin: number;
}

/**
 * Defaults. A lost server's last grant left at most `renewMs` before the loss
 * or is the first one unanswered; its time is over `orderTimeoutMs + 1.02 *
 * holdMs` = 1.83 s after it left. With two writes and one grant its keys are
 * served again about 2.2 s after the loss; 4 s are asked for. Four renewals fit
 * into a hold, so that two lost ones and a retransmission do not end it.
 */
export const DEFAULT_GRANT_TIMINGS: GrantTimings = {
  holdMs: 1_500,
  renewMs: 350,
  evidenceMs: 700,
  orderTimeoutMs: 300,
  silentMs: 700,
  clockRateMargin: 0.02,
};

/** Longest time from a grant's leaving until what it gave is over. */
export function grantLifeMs(timings: GrantTimings): number {
  const { orderTimeoutMs, holdMs, clockRateMargin } = timings;
  return orderTimeoutMs + holdMs * (1 + clockRateMargin);
}
