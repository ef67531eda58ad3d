/**
 * Grant length: a server fails the work that outlives its grant, and keys of a
 * lost server wait for the end of the longest grant.
 */
import type * as contracts from "@guavatide/contracts";
import type { GrantTimings } from "./grant_timings.ts";

/** Length of a grant as a multiple of the longest target latency. */
const HOLD_PER_TARGET = 2;
/** The longest grant, whatever routes ask for. */
const MAX_HOLD_MS = 6_000;

/** Limits of {@link desiredLeaseMs}. */
export interface LeaseLimits {
  readonly leastMs: number;
  /** Longest grant that servers take. */
  readonly mostMs: number;
}

/** The length of grants that fits the target latencies of a service's routes. */
export function desiredLeaseMs(
  targetLatenciesMs: readonly number[],
  { leastMs, mostMs }: LeaseLimits,
): number {
  const wishedMs = Math.ceil(
    HOLD_PER_TARGET * Math.max(0, ...targetLatenciesMs),
  );
  return Math.min(mostMs, Math.max(leastMs, Math.min(MAX_HOLD_MS, wishedMs)));
}

/** Length of the grants of a map, which no earlier grant of it exceeds. */
export function leaseDurationMs(
  map: Pick<contracts.RangeMap, "holdMs"> | undefined,
  { holdMs }: Pick<GrantTimings, "holdMs">,
): number {
  return Math.max(map?.holdMs ?? 0, holdMs);
}
