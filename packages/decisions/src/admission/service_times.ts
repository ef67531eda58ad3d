/**
 * Estimates how long requests take: a moving average for each route, and for
 * each backend server how much slower or faster than average it is.
 */
import type * as contracts from "@guavatide/contracts";
import type { PrioritizedRoute } from "./waiting_request.ts";

/** Weight of a new sample in a route's moving average. */
const ROUTE_SAMPLE_WEIGHT = 1 / 30;
/** Weight of a new sample in a server's latency factor. */
const SERVER_SAMPLE_WEIGHT = 1 / 10;
/** A single sample counts as at most this many times the expected time. */
const OUTLIER_RATIO = 6;
/**
 * Estimate before a route's first answer, as a fraction of its target latency.
 */
const INITIAL_ESTIMATE_FRACTION = 0.35;

/** Learned service times of one service. */
export class ServiceTimes {
  readonly #routeMs = new Map<string, number>();
  readonly #serverFactors = new Map<contracts.ServerId, number>();
  #meanMs: number | undefined;

  /** Moving average over all routes; undefined before the first answer. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** Expected service time of a route's request at an average server. */
  estimateMs(route: PrioritizedRoute): number {
    return this.#routeMs.get(route.name) ??
      route.targetLatencyMs * INITIAL_ESTIMATE_FRACTION;
  }

  /** Service time of a server relative to the mean; 1 while unknown. */
  latencyFactor(server: contracts.ServerId): number {
    return this.#serverFactors.get(server) ?? 1;
  }

  /** Records an answer after `tookMs` from a server that had a free slot. */
  record(
    route: PrioritizedRoute,
    server: contracts.ServerId,
    tookMs: number,
  ): void {
    const expectedMs = this.estimateMs(route);
    const factor = this.latencyFactor(server);
    const ratio = Math.min(OUTLIER_RATIO, tookMs / Math.max(1, expectedMs));
    this.#serverFactors.set(
      server,
      factor + SERVER_SAMPLE_WEIGHT * (ratio - factor),
    );
    // Not divided by the server's factor: the inverse of a noisy estimate is
    // biased, and the two estimates would drift apart.
    const cappedMs = Math.min(tookMs, expectedMs * OUTLIER_RATIO);
    const meanMs = this.#meanMs ?? cappedMs;
    this.#meanMs = meanMs + ROUTE_SAMPLE_WEIGHT * (cappedMs - meanMs);
    this.#routeMs.set(
      route.name,
      expectedMs + ROUTE_SAMPLE_WEIGHT * (cappedMs - expectedMs),
    );
  }

  /** Drops all servers but these. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const server of this.#serverFactors.keys()) {
      if (!servers.has(server)) this.#serverFactors.delete(server);
    }
  }
}
