/** Returns that the coordinator of one server's slots promises. */
import type * as contracts from "@guavatide/contracts";
import { DecayingCount } from "./decaying_count.ts";
import { ReturnBudget } from "./return_schedule.ts";
import {
  longestReturnMs,
  MIN_RETURN_MS,
  returnRatio,
} from "./service_admission.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** Time constant of the rate of new requests. */
const RATE_DECAY_MS = 2_000;

/** A server whose slots are promised. */
export type PromisingServer = Pick<
  contracts.RegisteredServer,
  "server" | "slots"
>;

/** Promises the slots that new requests leave, each once. */
export class SlotReturns {
  readonly #server: PromisingServer;
  readonly #times: ServiceTimes;
  readonly #arrivals = new DecayingCount(RATE_DECAY_MS);
  readonly #budget = new ReturnBudget();

  constructor(server: PromisingServer, times: ServiceTimes) {
    this.#server = server;
    this.#times = times;
  }

  /** Counts a request, unless its capacity was promised. */
  recordRequest({ standing }: Pick<WaitingRequest, "standing">, nowMs: number) {
    if (standing === undefined) this.#arrivals.add(1, nowMs);
  }

  /** Promises a return; if none is possible in time, it is after that. */
  retryAfterMs(
    { route, answerByMs, standing }: WaitingRequest,
    nowMs: number,
  ): number {
    const leftMs = Math.max(MIN_RETURN_MS, answerByMs - nowMs);
    const longestMs = longestReturnMs(leftMs, this.#times.estimateMs(route));
    const firstMs = this.#budget.firstMs(nowMs, MIN_RETURN_MS) - nowMs;
    if (standing === "above-share" || firstMs > longestMs) return leftMs;
    const { slots, server } = this.#server;
    const meanMs = this.#times.meanMs ?? this.#times.estimateMs(route);
    const perSecond = slots * 1_000 /
      Math.max(1, meanMs * this.#times.latencyFactor(server));
    const newPerSecond = this.#arrivals.perSecond(nowMs);
    const ratio = returnRatio(1 - newPerSecond / perSecond);
    this.#budget.take(nowMs, perSecond * ratio);
    return firstMs;
  }
}
