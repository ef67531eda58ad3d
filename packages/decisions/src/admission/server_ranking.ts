/** Chooses the backend server that is expected to answer a request first. */
import type * as contracts from "@guavatide/contracts";
import type { ServerLoad } from "./server_load.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { PrioritizedRoute, WaitingRequest } from "./waiting_request.ts";

/**
 * Requests sent to a server beyond its slots: one bridges the way from one
 * request's end to the next one's arrival. More would queue at the server,
 * without rank and deadline.
 */
export const PREFETCHED_REQUESTS = 1;
/** A server that has just started takes about twice as long. */
const WARM_UP_FACTOR = 2;
/** Additional time at a server with all slots busy, as a part. */
const BUSY_SLOWDOWN = 0.5;
/** Weight of a server's failures: one costs a second send or the answer. */
const FAILURE_WEIGHT = 8;
/**
 * A request at a server for so many times its expected time shows that the
 * server is slow, stuck or cut off.
 */
const STUCK_RATIO = 2.5;
/**
 * Cost of an answer from another availability zone, as milliseconds of waiting:
 * two more hops and the price of its bytes.
 */
const CROSS_ZONE_COST_MS = 6;
/** The same for each kilobyte of the request's body. */
const CROSS_ZONE_COST_MS_PER_KB = 1.5;
/**
 * Random part of a score: VMs see one another's requests late, and would all
 * pick the same server.
 */
const JITTER_FRACTION = 0.25;

/** What ranks servers. */
export interface RankingContext {
  readonly zone: contracts.ZoneId;
  readonly times: ServiceTimes;
  readonly random: contracts.RandomSource;
  readonly nowMs: number;
  /** Whether a server has just started, and takes longer. */
  readonly isCold: (server: contracts.ServerId) => boolean;
}

/** Whether a server has room for one more request. */
export function hasCapacity(
  load: ServerLoad,
  nowMs: number,
): boolean {
  return load.outstanding(nowMs) < load.entry.slots + PREFETCHED_REQUESTS;
}

/** Expected time until the server would have answered the route's request. */
export function expectedResponseMs(
  load: ServerLoad,
  route: PrioritizedRoute,
  { times, nowMs, isCold }: RankingContext,
): number {
  const { slots, server } = load.entry;
  const warmUp = isCold(server) ? WARM_UP_FACTOR : 1;
  const factor = times.latencyFactor(server) * warmUp *
    load.slowdownRatio(nowMs);
  const aloneMs = times.estimateMs(route) * factor;
  const outstanding = load.outstanding(nowMs);
  const busy = Math.min(1, outstanding / slots);
  const ahead = Math.max(0, outstanding + 1 - slots) / slots;
  const meanMs = (times.meanMs ?? aloneMs) * factor;
  const oldestMs = load.oldestAgeMs(nowMs);
  const stuckMs = oldestMs > STUCK_RATIO * Math.max(aloneMs, meanMs)
    ? oldestMs
    : 0;
  const failing = 1 + FAILURE_WEIGHT * load.failureRatio;
  return (aloneMs * (1 + BUSY_SLOWDOWN * busy) + ahead * meanMs + stuckMs) *
    failing;
}

/** The best of the servers for a request; none when the list is empty. */
export function chooseServer(
  loads: readonly ServerLoad[],
  { route, bodyBytes }: Pick<WaitingRequest, "route" | "bodyBytes">,
  context: RankingContext,
): ServerLoad | undefined {
  const otherZoneMs = CROSS_ZONE_COST_MS +
    CROSS_ZONE_COST_MS_PER_KB * bodyBytes / 1_000;
  let best: ServerLoad | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const load of loads) {
    const zoneMs = load.entry.zone === context.zone ? 0 : otherZoneMs;
    const jitter = 1 + JITTER_FRACTION * context.random.next();
    const score = expectedResponseMs(load, route, context) * jitter + zoneMs;
    if (score >= bestScore) continue;
    best = load;
    bestScore = score;
  }
  return best;
}
