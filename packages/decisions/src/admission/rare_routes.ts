/**
 * Recognises routes that get a small part of a service's requests. These go first
 * while the service is short of capacity: no VM gets enough of them to tell how
 * often they are served, and a route with a single caller would be served as
 * seldom as that caller.
 */
import { DecayingCount } from "./decaying_count.ts";

/** Time constant of the counts. */
const DECAY_MS = 4_000;
/** Largest part of a service's requests on one route that is rare. */
const MAX_ROUTE_FRACTION = 0.05;
/** Largest part of a service's requests that goes first, on all rare routes. */
const MAX_FIRST_FRACTION = 0.1;
/** With fewer requests than this, no route is known to be rare. */
const MIN_ARRIVALS = 20;
/** Routes counted at most; others count as rare. */
const MAX_ROUTES = 4_096;
/** A route with a smaller count is dropped when the table is full. */
const MIN_COUNT = 0.05;

/** Requests of one service at one VM, by route. */
export class RareRoutes {
  readonly #all = new DecayingCount(DECAY_MS);
  readonly #first = new DecayingCount(DECAY_MS);
  readonly #routes = new Map<string, DecayingCount>();

  /** Counts a request. */
  recordArrival(route: string, nowMs: number): void {
    this.#all.add(1, nowMs);
    let count = this.#routes.get(route);
    if (count === undefined) {
      if (this.#routes.size >= MAX_ROUTES) this.#sweep(nowMs);
      if (this.#routes.size >= MAX_ROUTES) return;
      count = new DecayingCount(DECAY_MS);
      this.#routes.set(route, count);
    }
    count.add(1, nowMs);
  }

  /** Whether a request may go first. */
  mayGoFirst(route: string, nowMs: number): boolean {
    const all = this.#all.at(nowMs);
    if (all < MIN_ARRIVALS) return false;
    // Without this request: the first one of a route is always rare.
    const others = (this.#routes.get(route)?.at(nowMs) ?? 1) - 1;
    return others <= all * MAX_ROUTE_FRACTION &&
      this.#first.at(nowMs) <= all * MAX_FIRST_FRACTION;
  }

  /** Counts a request that goes first. */
  recordPrecedence(nowMs: number): void {
    this.#first.add(1, nowMs);
  }

  #sweep(nowMs: number): void {
    for (const [route, count] of this.#routes) {
      if (count.at(nowMs) < MIN_COUNT) this.#routes.delete(route);
    }
  }
}
