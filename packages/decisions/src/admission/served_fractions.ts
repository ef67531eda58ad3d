/**
 * Fraction of the requests of each route that one queue has served, within
 * their callers' shares. A route far behind the others goes first for a while,
 * so that a more urgent kind of request does not exclude it.
 */
import { DecayingCount } from "./decaying_count.ts";
import type { PrioritizedRoute, WaitingRequest } from "./waiting_request.ts";

/** Time constant of the counts. */
const DECAY_MS = 4_000;
/**
 * A route served less often than this fraction of all goes first. Callers are
 * promised a quarter; the rest covers the delay of the counts.
 */
const MIN_RELATIVE_FRACTION = 0.35;
/** With fewer requests than this, a fraction means little. */
const MIN_ARRIVALS = 4;
/** The order of requests asks for the comparison many times per request. */
const COMPARISON_INTERVAL_MS = 50;

class RouteCounts {
  readonly arrivals = new DecayingCount(DECAY_MS);
  readonly refusals = new DecayingCount(DECAY_MS);

  servedFraction(nowMs: number): number {
    const arrivals = Math.max(1, this.arrivals.at(nowMs));
    return Math.max(0, 1 - this.refusals.at(nowMs) / arrivals);
  }
}

/** Served fractions in one queue. */
export class ServedFractions {
  readonly #routes = new Map<string, RouteCounts>();
  readonly #all = new RouteCounts();
  /** Routes that are behind, as of `#comparedMs`. */
  #behind = new Set<string>();
  #comparedMs = Number.NEGATIVE_INFINITY;

  /** Counts a request that was queued or sent. */
  recordArrival({ route, standing }: WaitingRequest, nowMs: number): void {
    if (standing === "above-share") return;
    this.#all.arrivals.add(1, nowMs);
    this.#countsOf(route).arrivals.add(1, nowMs);
  }

  /** Counts a refusal for lack of capacity. */
  recordRefusal({ route, standing }: WaitingRequest, nowMs: number): void {
    if (standing === "above-share") return;
    this.#all.refusals.add(1, nowMs);
    this.#countsOf(route).refusals.add(1, nowMs);
  }

  /** Whether a route is served far less often than all requests. */
  isBehind(route: PrioritizedRoute, nowMs: number): boolean {
    if (nowMs - this.#comparedMs >= COMPARISON_INTERVAL_MS) {
      this.#comparedMs = nowMs;
      this.#behind = this.#compare(nowMs);
    }
    return this.#behind.has(route.name);
  }

  #compare(nowMs: number): Set<string> {
    const minFraction = this.#all.servedFraction(nowMs) * MIN_RELATIVE_FRACTION;
    const behind = [...this.#routes].filter(([, counts]) =>
      counts.arrivals.at(nowMs) >= MIN_ARRIVALS &&
      counts.servedFraction(nowMs) < minFraction
    );
    return new Set(behind.map(([name]) => name));
  }

  #countsOf(route: PrioritizedRoute): RouteCounts {
    const known = this.#routes.get(route.name);
    if (known !== undefined) return known;
    const created = new RouteCounts();
    this.#routes.set(route.name, created);
    return created;
  }
}
