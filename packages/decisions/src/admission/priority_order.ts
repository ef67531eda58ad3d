/**
 * Order in which queued requests are sent: by priority, then by their standing
 * among the callers, then those that can still be answered within their target
 * latency, then by arrival.
 */
import { ServedFractions } from "./served_fractions.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * After this many requests of a higher priority in a row, one of a lower
 * priority is sent first: prevents starvation.
 */
const STARVATION_LIMIT = 12;

/** Rank of a route that goes first because it is served too seldom. */
const BEHIND_RANK = -1;

/** Sorts the requests of one queue. */
export class PriorityOrder {
  readonly #times: ServiceTimes;
  readonly #fractions = new ServedFractions();
  readonly #hasFractions: () => boolean;
  /** Requests sent in a row while ones of a lower priority were waiting. */
  #sentAhead = 0;

  /** `hasFractions` tells whether routes are guaranteed a served fraction. */
  constructor(times: ServiceTimes, hasFractions: () => boolean) {
    this.#times = times;
    this.#hasFractions = hasFractions;
  }

  /** Undefined while no route is guaranteed a served fraction. */
  get fractions(): ServedFractions | undefined {
    return this.#hasFractions() ? this.#fractions : undefined;
  }

  /** Returns the requests, given by arrival, in the order to send them. */
  sort(waiting: readonly WaitingRequest[], nowMs: number): WaitingRequest[] {
    // The sort is stable: equal requests stay in order of arrival.
    const ordered = waiting
      .map((request) => ({
        request,
        rank: this.rank(request, nowMs),
        late: Number(this.#isLate(request, nowMs)),
      }))
      .sort((a, b) => a.rank - b.rank || a.late - b.late)
      .map(({ request }) => request);
    if (this.#sentAhead < STARVATION_LIMIT) return ordered;
    const highest = ordered[0]!.route.priority;
    const starved = ordered.findIndex(({ route }) => route.priority > highest);
    if (starved > 0) ordered.unshift(...ordered.splice(starved, 1));
    return ordered;
  }

  /** Requests of a lower rank are sent first. */
  rank({ route, standing }: WaitingRequest, nowMs: number): number {
    const isBehind = standing !== "above-share" &&
      this.fractions?.isBehind(route, nowMs) === true;
    const priority = isBehind ? BEHIND_RANK : route.priority;
    return priority + standingRank(standing);
  }

  /** Counts a request that was sent ahead of ones of a lower priority. */
  recordSent(request: WaitingRequest, queued: readonly WaitingRequest[]): void {
    const { priority } = request.route;
    const overtakes = queued.some(({ route }) => route.priority > priority);
    this.#sentAhead = overtakes ? this.#sentAhead + 1 : 0;
  }

  /** Whether the answer would likely miss its target even if sent now. */
  #isLate({ route, targetMs }: WaitingRequest, nowMs: number): boolean {
    return nowMs + this.#times.estimateMs(route) > targetMs;
  }
}

/** Rank within a priority; below 1. */
function standingRank(standing: WaitingRequest["standing"]): number {
  if (standing === undefined) return 0.25;
  return standing === "returning" ? 0 : 0.5;
}
