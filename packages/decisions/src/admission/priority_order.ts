/**
 * Order in which queued requests are sent: by priority, then those that can
 * still be answered within their target latency, then by arrival.
 */
import type { ServiceTimes } from "./service_times.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * After this many requests of a higher priority in a row, one of a lower
 * priority is sent first: prevents starvation.
 */
const STARVATION_LIMIT = 12;

/** Sorts the requests of one queue. */
export class PriorityOrder {
  readonly #times: ServiceTimes;
  /** Requests sent in a row while ones of a lower priority were waiting. */
  #sentAhead = 0;

  constructor(times: ServiceTimes) {
    this.#times = times;
  }

  /** Returns the requests, given by arrival, in the order to send them. */
  sort(waiting: readonly WaitingRequest[], nowMs: number): WaitingRequest[] {
    // The sort is stable: equal requests stay in order of arrival.
    const ordered = waiting
      .map((request) => ({
        request,
        late: Number(this.#isLate(request, nowMs)),
      }))
      .sort((a, b) =>
        a.request.route.priority - b.request.route.priority || a.late - b.late
      )
      .map(({ request }) => request);
    if (this.#sentAhead < STARVATION_LIMIT) return ordered;
    const highest = ordered[0]!.route.priority;
    const starved = ordered.findIndex(({ route }) => route.priority > highest);
    if (starved > 0) ordered.unshift(...ordered.splice(starved, 1));
    return ordered;
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
