/** Times that the ownership rules work with, and their defaults. */
import type * as contracts from "@guavatide/contracts";

/** Times of the ownership rules; see docs/design/ownership.md. */
export interface OwnershipSettings extends Readonly<contracts.LeaseTimings> {
  /** Time between two orders of one keeper to one server. */
  readonly renewMs: number;
  /** A server counts as lost after so long without an answer. */
  readonly detectMs: number;
  /** Keepers that renew each server. */
  readonly renewersPerServer: number;
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
  renewersPerServer: 2,
  unfencedMoveWaitMs: 2000,
  releaseWaitMs: 5000,
};

/**
 * Timings to act on at a revision. They come from the assignment and not from
 * the process's own settings: two entry VMs whose settings differ, as while new
 * ones are rolled out, would otherwise give leases that a mover does not wait
 * out, and a key would have two owners.
 */
export function activeTimings(
  assignment: contracts.Assignment | undefined,
  settings: contracts.LeaseTimings,
): contracts.LeaseTimings {
  return assignment?.leaseTimings?.at(-1) ?? settings;
}

/** The longest of all timings by which a lease may have been given. */
export function longestTimings(
  assignment: contracts.Assignment | undefined,
  settings: contracts.LeaseTimings,
): contracts.LeaseTimings {
  const listed = assignment?.leaseTimings ?? [settings];
  return {
    evidenceMs: Math.max(...listed.map(({ evidenceMs }) => evidenceMs)),
    leaseMs: Math.max(...listed.map(({ leaseMs }) => leaseMs)),
    clockRateMargin: Math.max(
      ...listed.map(({ clockRateMargin }) => clockRateMargin),
    ),
  };
}

/** How long a mover waits a silent server out, in milliseconds. */
export function leaseExpiryWaitMs(timings: contracts.LeaseTimings): number {
  const longest = timings.evidenceMs + timings.leaseMs;
  return longest * (1 + timings.clockRateMargin);
}
