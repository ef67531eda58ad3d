/** Timing settings of key ownership, and their defaults. */
import type * as contracts from "@guavatide/contracts";

/** Timing settings of key ownership; see docs/design/ownership.md. */
export interface OwnershipSettings extends Readonly<contracts.LeaseTimings> {
  /** Interval of lease commands from one entry VM to one server. */
  readonly renewMs: number;
  /** Time without a reply after which a server counts as lost. */
  readonly detectMs: number;
  /** Entry VMs that renew the leases of each server. */
  readonly renewersPerServer: number;
  /**
   * Longest time that a request may run at a server which does not check
   * fences, after the last entry VM lost the right to forward to it. After this
   * time its slices are granted to the next owner without a report of every
   * entry VM.
   */
  readonly unfencedMoveWaitMs: number;
  /**
   * How long a handover waits for the release by a server that still answers.
   */
  readonly releaseWaitMs: number;
}

/**
 * Defaults. While the store is up, a failed server costs at most detection
 * (1000 ms and one renewal interval), a lease expiry of (500 + 1000) * 1.02 =
 * 1530 ms, two writes and one command: about 2.9 s, below the required 4 s.
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
 * Lease timings to act on at a revision. They come from the assignment and not
 * from the process's own settings: while new settings are rolled out, two entry
 * VMs may differ, and one could grant leases that outlast a controller's wait,
 * so that a key would have two owners.
 */
export function activeTimings(
  assignment: contracts.Assignment | undefined,
  settings: contracts.LeaseTimings,
): contracts.LeaseTimings {
  return assignment?.leaseTimings?.at(-1) ?? settings;
}

/** The longest of all timings by which a lease may have been granted. */
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

/**
 * Time in milliseconds after which the leases of an unresponsive server have
 * expired.
 */
export function leaseExpiryWaitMs(timings: contracts.LeaseTimings): number {
  const longest = timings.evidenceMs + timings.leaseMs;
  return longest * (1 + timings.clockRateMargin);
}
