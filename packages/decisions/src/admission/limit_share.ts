/**
 * This VM's part of the rate that a server has named, as the coordinator of its
 * requests. Needs no agreement: the parts of coordinators that can't reach one
 * another sum up to no more than the rate.
 */

/** The VMs that may coordinate a server, as one of them sees them. */
export interface CoordinatorView {
  /** Whether this VM is the first of those that are up. */
  readonly isFirst: boolean;
  /** VMs that are up, this one included. */
  readonly liveCount: number;
  /** VMs that are up or were a while ago. */
  readonly knownCount: number;
}

/**
 * Part of a VM that coordinates for callers which don't hear the first one, or
 * have no answer from it.
 */
const SUBSTITUTE_SHARE = 0.25;
/**
 * Calls that renew leases may exceed the limit by this fraction, and by this
 * many a second; beyond it they take the place of requests.
 */
const CONTROL_EXCESS_RATIO = 0.25;
const CONTROL_EXCESS_PER_SECOND = 0.75;
/** Without a request from time to time, no answer could lift a limit of zero. */
const MIN_REQUESTS_PER_SECOND = 0.2;

/** Fraction of the rate that a coordinator may grant. */
export function coordinatorShare(
  { isFirst, liveCount, knownCount }: CoordinatorView,
): number {
  const heard = liveCount / Math.max(1, knownCount);
  return isFirst ? heard : heard * SUBSTITUTE_SHARE;
}

/** Requests a second that a limit leaves beside calls that renew leases. */
export function requestsBesideControl(
  limitPerSecond: number,
  controlCallsPerSecond: number,
): number {
  const mostCalls = limitPerSecond + controlCallsAllowed(limitPerSecond);
  return Math.max(
    MIN_REQUESTS_PER_SECOND,
    Math.min(limitPerSecond, mostCalls - controlCallsPerSecond),
  );
}

/** Calls a second that renew leases within the excess they may have. */
export function controlCallsAllowed(limitPerSecond: number): number {
  return limitPerSecond * CONTROL_EXCESS_RATIO + CONTROL_EXCESS_PER_SECOND;
}
