/**
 * Lease duration of grants. A server fails work that outlives its lease, and
 * the keys of a lost server stay unavailable until the longest lease expires.
 */
import type * as contracts from "@guavatide/contracts";
import type { GrantTimings } from "./grant_timings.ts";

/** Lease duration as a multiple of the longest target latency. */
const LEASE_PER_TARGET_LATENCY = 2;
/** Upper limit of the lease duration, whatever target latency routes set. */
const MAX_LEASE_MS = 6_000;

/** Limits of {@link desiredLeaseMs}. */
export interface LeaseLimits {
  /** Minimum lease duration. */
  readonly leastMs: number;
  /** Longest lease that the servers accept. */
  readonly mostMs: number;
}

/** Lease duration that suits the target latencies of a service's routes. */
export function desiredLeaseMs(
  targetLatenciesMs: readonly number[],
  { leastMs, mostMs }: LeaseLimits,
): number {
  const desiredMs = Math.ceil(
    LEASE_PER_TARGET_LATENCY * Math.max(0, ...targetLatenciesMs),
  );
  return Math.min(mostMs, Math.max(leastMs, Math.min(MAX_LEASE_MS, desiredMs)));
}

/**
 * Lease duration of the grants of a map. It never decreases from one revision
 * to the next, so no earlier grant lasts longer.
 */
export function leaseDurationMs(
  map: Pick<contracts.RangeMap, "holdMs"> | undefined,
  { holdMs }: Pick<GrantTimings, "holdMs">,
): number {
  return Math.max(map?.holdMs ?? 0, holdMs);
}
