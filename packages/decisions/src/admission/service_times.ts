/**
 * Estimates how long requests take: a moving average for each route, and for
 * each backend server how much slower or faster than average it is.
 */
import type * as contracts from "@guavatide/contracts";
import { ServerSpeed } from "./server_speed.ts";
import type { PrioritizedRoute } from "./waiting_request.ts";

/** Weight of a new sample in a route's moving average. */
const ROUTE_SAMPLE_WEIGHT = 1 / 30;
/** A single sample counts as at most this many times the expected time. */
const OUTLIER_RATIO = 6;
/**
 * Estimate before a service's first answer, as a fraction of the target latency
 * of a route.
 */
const INITIAL_ESTIMATE_FRACTION = 0.35;

/** Learned service times of one service. */
export class ServiceTimes {
  readonly #routeMs = new Map<string, number>();
  readonly #speeds = new Map<contracts.ServerId, ServerSpeed>();
  readonly #reference: ServiceTimes | undefined;
  #meanMs: number | undefined;
  /** Moving average of service times as fractions of their target latencies. */
  #targetFraction = INITIAL_ESTIMATE_FRACTION;

  /**
   * `reference`: service times of more servers than are recorded here, with
   * which these are compared. Without it, what a VM records of a few servers of
   * one speed would tell nothing of that speed.
   */
  constructor(reference?: ServiceTimes) {
    this.#reference = reference;
  }

  /** Moving average over all routes; undefined before the first answer. */
  get meanMs(): number | undefined {
    return this.#reference?.meanMs ?? this.#meanMs;
  }

  /**
   * Expected service time of a route's request at an average server. A route
   * without an answer takes the fraction of its target latency that the service's
   * others take: requests that will be late may wait for longer.
   */
  estimateMs(route: PrioritizedRoute): number {
    return this.#reference?.measuredMs(route) ?? this.measuredMs(route) ??
      route.targetLatencyMs * this.targetFraction;
  }

  /** Mean service time as a fraction of the routes' target latencies. */
  get targetFraction(): number {
    return this.#reference?.targetFraction ?? this.#targetFraction;
  }

  /** Measured service time of a route; undefined before the first answer. */
  measuredMs(route: PrioritizedRoute): number | undefined {
    return this.#routeMs.get(route.name);
  }

  /** Service time of a server relative to the mean; 1 while unknown. */
  latencyFactor(server: contracts.ServerId): number {
    return this.#speeds.get(server)?.factor ?? 1;
  }

  /** Records an answer after `tookMs` from a server that had a free slot. */
  record(
    route: PrioritizedRoute,
    server: contracts.ServerId,
    tookMs: number,
    nowMs: number,
  ): void {
    const expectedMs = this.estimateMs(route);
    const ratio = Math.min(OUTLIER_RATIO, tookMs / Math.max(1, expectedMs));
    const speed = this.#speeds.get(server) ?? new ServerSpeed();
    this.#speeds.set(server, speed);
    speed.record(ratio, nowMs);
    // Not divided by the server's factor: the inverse of a noisy estimate is
    // biased, and the two estimates would drift apart.
    const cappedMs = Math.min(tookMs, expectedMs * OUTLIER_RATIO);
    const meanMs = this.#meanMs ?? cappedMs;
    this.#meanMs = meanMs + ROUTE_SAMPLE_WEIGHT * (cappedMs - meanMs);
    const fraction = cappedMs / Math.max(1, route.targetLatencyMs);
    this.#targetFraction += ROUTE_SAMPLE_WEIGHT *
      (fraction - this.#targetFraction);
    this.#routeMs.set(
      route.name,
      expectedMs + ROUTE_SAMPLE_WEIGHT * (cappedMs - expectedMs),
    );
  }

  /** Drops all servers but these. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const server of this.#speeds.keys()) {
      if (!servers.has(server)) this.#speeds.delete(server);
    }
  }
}
