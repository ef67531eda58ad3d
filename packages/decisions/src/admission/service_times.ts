/**
 * How long requests take: the mean of each route over the servers that it goes
 * to, and how much slower or faster than that each backend server is.
 */
import type * as contracts from "@guavatide/contracts";
import type { PrioritizedRoute } from "./waiting_request.ts";

/** Weight of a new measurement in a route's mean. */
const ROUTE_SAMPLE_WEIGHT = 1 / 30;
/** Weight of a new measurement in a server's factor. */
const SERVER_SAMPLE_WEIGHT = 1 / 10;
/** A single measurement counts as at most so many times the expected time. */
const OUTLIER_RATIO = 6;
/** Assumed until a route's first answer, a part of its target latency. */
const INITIAL_ESTIMATE_FRACTION = 0.35;

/** Learned service times of one service. */
export class ServiceTimes {
  readonly #routeMs = new Map<string, number>();
  readonly #serverFactors = new Map<contracts.ServerId, number>();
  #meanMs: number | undefined;

  /** Mean time of the service's latest requests; undefined before the first. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** Expected time of a route's request at the servers that it goes to. */
  estimateMs(route: PrioritizedRoute): number {
    return this.#routeMs.get(route.name) ??
      route.targetLatencyMs * INITIAL_ESTIMATE_FRACTION;
  }

  /** How much longer than average the server takes; 1 while unknown. */
  latencyFactor(server: contracts.ServerId): number {
    return this.#serverFactors.get(server) ?? 1;
  }

  /** A request was answered after `tookMs` at a server with free slots. */
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
    // biased, and both would drift apart.
    const boundedMs = Math.min(tookMs, expectedMs * OUTLIER_RATIO);
    const meanMs = this.#meanMs ?? boundedMs;
    this.#meanMs = meanMs + ROUTE_SAMPLE_WEIGHT * (boundedMs - meanMs);
    this.#routeMs.set(
      route.name,
      expectedMs + ROUTE_SAMPLE_WEIGHT * (boundedMs - expectedMs),
    );
  }

  /** Forgets servers that are gone. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const server of this.#serverFactors.keys()) {
      if (!servers.has(server)) this.#serverFactors.delete(server);
    }
  }
}
