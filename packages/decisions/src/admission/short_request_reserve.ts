/**
 * Keeps one slot of a server for urgent short work: work that has begun can't
 * be interrupted, and a short request behind long ones is late whatever its
 * rank.
 */
import type { ServiceTimes } from "./service_times.ts";
import type { PrioritizedRoute, WaitingRequest } from "./waiting_request.ts";

/** Work is long beside another kind that takes at most this part of it. */
const SHORT_REQUEST_RATIO = 0.5;
/** Time constant of the rate at which a kind is asked for. */
const RATE_DECAY_MS = 1_000;
/**
 * A slot is kept when so many short requests are expected while a long one
 * runs; with fewer it would mostly stay empty.
 */
const MIN_EXPECTED_REQUESTS = 1;

/**
 * A long request may take the kept slot when its target is less than so many
 * times its work away.
 */
const CRITICAL_TIME_RATIO = 2;

interface RouteUsage {
  readonly route: PrioritizedRoute;
  /** Decaying count of requests, which is their rate by {@link RATE_DECAY_MS}. */
  asked: number;
  askedMs: number;
  held: number;
}

/** Who may take which slots of one server. */
export class ShortRequestReserve {
  readonly #times: ServiceTimes;
  readonly #slots: number;
  readonly #kinds = new Map<string, RouteUsage>();

  constructor(times: ServiceTimes, slots: number) {
    this.#times = times;
    this.#slots = slots;
  }

  /** A request of a route asks for a slot. */
  recordRequest(route: PrioritizedRoute, nowMs: number): void {
    const kind = this.#kind(route);
    kind.asked = countAt(kind, nowMs) + 1;
    kind.askedMs = nowMs;
  }

  /** A slot is taken. Returns what gives it back. */
  acquire(route: PrioritizedRoute): () => void {
    const kind = this.#kind(route);
    kind.held++;
    return () => kind.held--;
  }

  /** Slots that a route may have at a time. */
  slotsFor(route: PrioritizedRoute, nowMs: number): number {
    return this.#isHeldBack(route, nowMs) ? this.#slots - 1 : this.#slots;
  }

  /** Whether a request may take one more slot. */
  mayAcquire(
    { route, targetMs }: Pick<WaitingRequest, "route" | "targetMs">,
    nowMs: number,
  ): boolean {
    if (!this.#isHeldBack(route, nowMs)) return true;
    let all = 0;
    let asPatient = 0;
    for (const { route: other, held } of this.#kinds.values()) {
      all += held;
      if (other.priority >= route.priority) asPatient += held;
    }
    if (all >= this.#slots) return false;
    return asPatient < this.#slots - 1 ||
      this.#isCritical(route, targetMs - nowMs);
  }

  /** Whether it can still be answered in time, but not for much longer. */
  #isCritical(route: PrioritizedRoute, leftMs: number): boolean {
    const workMs = this.#times.estimateMs(route);
    return leftMs < workMs * CRITICAL_TIME_RATIO && leftMs >= workMs;
  }

  /** Whether a more urgent kind of much shorter work comes at present. */
  #isHeldBack(route: PrioritizedRoute, nowMs: number): boolean {
    if (this.#slots < 2) return false;
    const longMs = this.#times.estimateMs(route);
    let expected = 0;
    for (const kind of this.#kinds.values()) {
      const isShort = kind.route.priority < route.priority &&
        this.#times.estimateMs(kind.route) <= longMs * SHORT_REQUEST_RATIO;
      if (isShort) expected += countAt(kind, nowMs) * longMs / RATE_DECAY_MS;
    }
    return expected >= MIN_EXPECTED_REQUESTS;
  }

  #kind(route: PrioritizedRoute): RouteUsage {
    const found = this.#kinds.get(route.name);
    if (found !== undefined) return found;
    const created = { route, asked: 0, askedMs: 0, held: 0 };
    this.#kinds.set(route.name, created);
    return created;
  }
}

function countAt({ asked, askedMs }: RouteUsage, nowMs: number): number {
  return asked * Math.exp((askedMs - nowMs) / RATE_DECAY_MS);
}
