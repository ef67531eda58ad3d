/** Times that the ownership rules work with, and their defaults. */

/** Times of the ownership rules; see docs/design/ownership.md. */
export interface OwnershipSettings {
  /** How long evidence for a revision is good, from before it was asked. */
  readonly evidenceMs: number;
  /** Lease of a server, counted from the server's own stamp. */
  readonly leaseMs: number;
  /** Time between two orders of one keeper to one server. */
  readonly renewMs: number;
  /** A server counts as lost after so long without an answer. */
  readonly detectMs: number;
  /** Largest relative difference in rate between two clocks. */
  readonly clockRateMargin: number;
  /** Keepers that renew each server. */
  readonly renewers: number;
  /**
   * Longest time that a request may run at a server which checks no fences,
   * after the last entry VM lost the right to forward. Its slices are given on
   * after it without every entry VM's word.
   */
  readonly unfencedMoveWaitMs: number;
  /** How long a mover waits for a release while the server still answers. */
  readonly releaseWaitMs: number;
}

/**
 * Defaults. A server lost with the store up costs at most detection (1000 and
 * one renewal interval), a wait of (500 + 1000) * 1.02 = 1530, two writes and
 * one order: about 2.9 s, under the 4 s that are asked for.
 */
export const DEFAULT_OWNERSHIP_SETTINGS: OwnershipSettings = {
  evidenceMs: 500,
  leaseMs: 1000,
  renewMs: 250,
  detectMs: 1000,
  clockRateMargin: 0.02,
  renewers: 2,
  unfencedMoveWaitMs: 2000,
  releaseWaitMs: 5000,
};

/** How long a mover waits a silent server out, in milliseconds. */
export function waitOutMs(settings: OwnershipSettings): number {
  const longest = settings.evidenceMs + settings.leaseMs;
  return longest * (1 + settings.clockRateMargin);
}
