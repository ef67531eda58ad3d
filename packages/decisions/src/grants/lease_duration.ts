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
 * Lease duration of the grants of a map; with a server, of those to it. It
 * never decreases from one revision to the next while the server owns or
 * vacates a range, so no earlier grant lasts longer.
 */
export function leaseDurationMs(
  map: Pick<contracts.RangeMap, "holdMs" | "serverHoldMs"> | undefined,
  { holdMs }: Pick<GrantTimings, "holdMs">,
  server?: contracts.ServerId,
): number {
  const ofServerMs = server === undefined
    ? undefined
    : map?.serverHoldMs?.[server];
  return Math.max(map?.holdMs ?? 0, holdMs, ofServerMs ?? 0);
}

/** The longest lease duration of any server of a map. */
export function longestLeaseMs(
  map: Pick<contracts.RangeMap, "holdMs" | "serverHoldMs"> | undefined,
  timings: Pick<GrantTimings, "holdMs">,
): number {
  return Math.max(
    leaseDurationMs(map, timings),
    ...Object.values(map?.serverHoldMs ?? {}),
  );
}

/**
 * Lease durations of single servers for the next revision of a map: those of
 * servers that it still names, and those that are needed from now on.
 * Undefined for none.
 */
export function nextServerLeases(
  { serverHoldMs }: Pick<contracts.RangeMap, "serverHoldMs">,
  ranges: readonly contracts.RangeState[],
  needed: ReadonlyMap<contracts.ServerId, number>,
): Record<string, number> | undefined {
  const next: Record<string, number> = {};
  for (const { owner, vacating } of ranges) {
    for (const server of [owner.server, vacating?.server]) {
      if (server === undefined) continue;
      const leaseMs = Math.max(
        serverHoldMs?.[server] ?? 0,
        needed.get(server) ?? 0,
      );
      if (leaseMs > 0) next[server] = leaseMs;
    }
  }
  return Object.keys(next).length > 0 ? next : undefined;
}
