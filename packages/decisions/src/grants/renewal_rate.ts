/** How often leases are renewed, and by how many VMs. */
import type { GrantTimings } from "./grant_timings.ts";

/** What the renewals of one server depend on. */
export interface RenewalOptions {
  readonly timings: Pick<GrantTimings, "renewMs">;
  /**
   * Lease duration of a server that is to get few calls; undefined for any
   * other server.
   */
  readonly sparingLeaseMs: number | undefined;
}

/** VMs that renew the grants of one server, the first at full rate. */
export const RENEWERS_PER_SERVER = 2;
/**
 * Interval of the first VM as a fraction of a long lease. The second renews in
 * time by itself, so a lease outlasts the loss of either.
 */
const SPARING_INTERVAL_RATIO = 0.4;

/**
 * Interval at which a VM renews each range of a server, by its rank among the
 * voters; undefined for a rank that renews none.
 */
export function renewIntervalMs(
  rank: number,
  { timings, sparingLeaseMs }: RenewalOptions,
): number | undefined {
  if (rank < 0 || rank >= RENEWERS_PER_SERVER) return undefined;
  const firstMs = sparingLeaseMs === undefined
    ? timings.renewMs
    : Math.max(timings.renewMs, sparingLeaseMs * SPARING_INTERVAL_RATIO);
  return firstMs * (rank + 1);
}

/** Renewals a second of one range, by all VMs together. */
export function renewalsPerSecond(options: RenewalOptions): number {
  let sum = 0;
  for (let rank = 0; rank < RENEWERS_PER_SERVER; rank++) {
    sum += 1_000 / renewIntervalMs(rank, options)!;
  }
  return sum;
}
