/**
 * Which of the waiting requests goes next: by rank, then those that can still
 * be answered in time, then by arrival.
 */
import type { ServiceTimes } from "./service_times.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * A less urgent request goes next after so many more urgent ones: prevents
 * starvation.
 */
const STARVATION_LIMIT = 12;

/** The order of one queue. */
export class PriorityOrder {
  readonly #times: ServiceTimes;
  /** Urgent requests in a row that went ahead of less urgent ones. */
  #passedOver = 0;

  constructor(times: ServiceTimes) {
    this.#times = times;
  }

  /** The requests in the order in which they may go, given by arrival. */
  sort(waiting: readonly WaitingRequest[], nowMs: number): WaitingRequest[] {
    // The sort is stable: equals stay in the order of their arrival.
    const ordered = waiting
      .map((request) => ({
        request,
        late: Number(this.#isLate(request, nowMs)),
      }))
      .sort((a, b) =>
        a.request.route.priority - b.request.route.priority || a.late - b.late
      )
      .map(({ request }) => request);
    if (this.#passedOver < STARVATION_LIMIT) return ordered;
    const first = ordered[0]!.route.priority;
    const next = ordered.findIndex(({ route }) => route.priority > first);
    if (next > 0) ordered.unshift(...ordered.splice(next, 1));
    return ordered;
  }

  /** Counts the urgent requests that went ahead of less urgent ones. */
  recordSent(request: WaitingRequest, queued: readonly WaitingRequest[]): void {
    const { priority } = request.route;
    const isAhead = queued.some(({ route }) => route.priority > priority);
    this.#passedOver = isAhead ? this.#passedOver + 1 : 0;
  }

  /** Whether its answer is likely to miss its target even if it left now. */
  #isLate({ route, targetMs }: WaitingRequest, nowMs: number): boolean {
    return nowMs + this.#times.estimateMs(route) > targetMs;
  }
}
