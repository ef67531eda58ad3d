/** Chooses the backend server that is expected to answer a request soonest. */
import type * as contracts from "@guavatide/contracts";
import type { ServerLoad } from "./server_load.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { PrioritizedRoute, WaitingRequest } from "./waiting_request.ts";

/**
 * Requests sent to a server beyond its slots. One keeps the server busy during
 * the round trip between the end of a request and the arrival of the next; more
 * would queue at the server, where priority and deadline do not count.
 */
export const PREFETCHED_REQUESTS = 1;
/** A server that has just started takes about twice as long. */
const WARM_UP_FACTOR = 2;
/** Slowdown at a server with all slots busy, as a fraction. */
const BUSY_SLOWDOWN = 0.5;
/** Weight of the failure ratio: a failure costs a retry or the whole answer. */
const FAILURE_WEIGHT = 8;
/**
 * A request in flight for this many times its expected time shows that the
 * server is slow, stuck or unreachable.
 */
const STUCK_RATIO = 2.5;
/**
 * Cost of an answer from another availability zone, in milliseconds of latency:
 * two more hops, and the price of cross-zone traffic.
 */
const CROSS_ZONE_COST_MS = 6;
/** The same per kilobyte of the request's body. */
const CROSS_ZONE_COST_MS_PER_KB = 1.5;
/**
 * Random fraction added to each score: VMs learn of one another's requests late
 * and would otherwise all pick the same server.
 */
const JITTER_FRACTION = 0.25;

/** What the ranking of servers depends on. */
export interface RankingContext {
  readonly zone: contracts.ZoneId;
  readonly times: ServiceTimes;
  readonly random: contracts.RandomSource;
  readonly nowMs: number;
  /** Whether a server has just started and is slower than a warm one. */
  readonly isCold: (server: contracts.ServerId) => boolean;
}

/** Whether a server has capacity for one more request. */
export function hasCapacity(
  load: ServerLoad,
  nowMs: number,
): boolean {
  return !load.isRefusing(nowMs) &&
    load.outstanding(nowMs) < load.entry.slots + PREFETCHED_REQUESTS;
}

/** Expected time until the server answers a new request, in milliseconds. */
export function expectedResponseMs(
  load: ServerLoad,
  route: PrioritizedRoute,
  { times, nowMs, isCold }: RankingContext,
): number {
  const { slots, server } = load.entry;
  const warmUp = isCold(server) ? WARM_UP_FACTOR : 1;
  const factor = times.latencyFactor(server) * warmUp *
    load.slowdownRatio(nowMs);
  const unloadedMs = times.estimateMs(route) * factor;
  const outstanding = load.outstanding(nowMs);
  const utilization = Math.min(1, outstanding / slots);
  const queueLength = Math.max(0, outstanding + 1 - slots) / slots;
  const meanMs = (times.meanMs ?? unloadedMs) * factor;
  const oldestMs = load.oldestAgeMs(nowMs);
  const stuckMs = oldestMs > STUCK_RATIO * Math.max(unloadedMs, meanMs)
    ? oldestMs
    : 0;
  const failurePenalty = 1 + FAILURE_WEIGHT * load.failureRatio;
  return (unloadedMs * (1 + BUSY_SLOWDOWN * utilization) +
    queueLength * meanMs + stuckMs) *
    failurePenalty;
}

/** Returns the best server for a request; undefined for an empty list. */
export function chooseServer(
  loads: readonly ServerLoad[],
  { route, bodyBytes }: Pick<WaitingRequest, "route" | "bodyBytes">,
  context: RankingContext,
): ServerLoad | undefined {
  const crossZoneCostMs = CROSS_ZONE_COST_MS +
    CROSS_ZONE_COST_MS_PER_KB * bodyBytes / 1_000;
  let best: ServerLoad | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  for (const load of loads) {
    const crossZoneMs = load.entry.zone === context.zone ? 0 : crossZoneCostMs;
    const jitter = 1 + JITTER_FRACTION * context.random.next();
    const score = expectedResponseMs(load, route, context) * jitter +
      crossZoneMs;
    if (score >= bestScore) continue;
    best = load;
    bestScore = score;
  }
  return best;
}
