/**
 * Reserves one slot of a server for short requests of a high priority. Running
 * requests can't be preempted, so a short request behind long ones would be
 * late whatever its priority.
 */
import { DecayingCount } from "./decaying_count.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { PrioritizedRoute, WaitingRequest } from "./waiting_request.ts";

/** A request is short if it takes at most this fraction of the other's time. */
const SHORT_REQUEST_RATIO = 0.5;
/** Time constant of each route's exponentially decaying request rate. */
const RATE_DECAY_MS = 1_000;
/**
 * A slot is reserved when at least this many short requests are expected while
 * a long one runs; with fewer it would mostly stay empty.
 */
const MIN_EXPECTED_REQUESTS = 1;
/**
 * A long request may take the reserved slot when the time left to its target is
 * less than this many times its service time.
 */
const CRITICAL_TIME_RATIO = 2;

interface RouteUsage {
  readonly route: PrioritizedRoute;
  readonly requests: DecayingCount;
  heldSlots: number;
}

/** Decides which routes may use which slots of one server. */
export class ShortRequestReserve {
  readonly #times: ServiceTimes;
  readonly #slots: number;
  readonly #usages = new Map<string, RouteUsage>();

  constructor(times: ServiceTimes, slots: number) {
    this.#times = times;
    this.#slots = slots;
  }

  /** Counts a route's request for a slot. */
  recordRequest(route: PrioritizedRoute, nowMs: number): void {
    this.#usageOf(route).requests.add(1, nowMs);
  }

  /** Takes a slot. The returned function releases it. */
  acquire(route: PrioritizedRoute): () => void {
    const usage = this.#usageOf(route);
    usage.heldSlots++;
    return () => usage.heldSlots--;
  }

  /** Slots that a route's requests may use at a time. */
  slotsFor(route: PrioritizedRoute, nowMs: number): number {
    return this.#isRestricted(route, nowMs) ? this.#slots - 1 : this.#slots;
  }

  /** Whether a request may take one more slot. */
  mayAcquire(
    { route, targetMs }: Pick<WaitingRequest, "route" | "targetMs">,
    nowMs: number,
  ): boolean {
    if (!this.#isRestricted(route, nowMs)) return true;
    let total = 0;
    let notMoreUrgent = 0;
    for (const { route: other, heldSlots } of this.#usages.values()) {
      total += heldSlots;
      if (other.priority >= route.priority) notMoreUrgent += heldSlots;
    }
    if (total >= this.#slots) return false;
    return notMoreUrgent < this.#slots - 1 ||
      this.#isCritical(route, targetMs - nowMs);
  }

  /** Whether it can still be answered in time, but only if it starts soon. */
  #isCritical(route: PrioritizedRoute, leftMs: number): boolean {
    const serviceMs = this.#times.estimateMs(route);
    return leftMs < serviceMs * CRITICAL_TIME_RATIO && leftMs >= serviceMs;
  }

  /** Whether enough much shorter requests of a higher priority are expected. */
  #isRestricted(route: PrioritizedRoute, nowMs: number): boolean {
    if (this.#slots < 2) return false;
    const longMs = this.#times.estimateMs(route);
    let expected = 0;
    for (const usage of this.#usages.values()) {
      const isShort = usage.route.priority < route.priority &&
        this.#times.estimateMs(usage.route) <= longMs * SHORT_REQUEST_RATIO;
      if (isShort) {
        expected += usage.requests.at(nowMs) * longMs / RATE_DECAY_MS;
      }
    }
    return expected >= MIN_EXPECTED_REQUESTS;
  }

  #usageOf(route: PrioritizedRoute): RouteUsage {
    const found = this.#usages.get(route.name);
    if (found !== undefined) return found;
    const requests = new DecayingCount(RATE_DECAY_MS);
    const created = { route, requests, heldSlots: 0 };
    this.#usages.set(route.name, created);
    return created;
  }
}
