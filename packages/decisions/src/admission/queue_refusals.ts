/** Refusals of a queue: their reasons, and when callers are asked to retry. */
import { NO_KEY_OWNER, type QueueServers } from "./queue_servers.ts";
import type { ServiceQueueOptions } from "./service_queue_options.ts";
import type {
  Refusal,
  RefusalReason,
  WaitingRequest,
} from "./waiting_request.ts";

/** Shortest and longest time after which a caller is asked to retry. */
const RETRY_AFTER_MIN_MS = 60;
const RETRY_AFTER_MAX_MS = 1_500;
/** The same where a server takes less than a request in that time. */
const LIMITED_RETRY_AFTER_MAX_MS = 10_000;
/** Spreads out callers that return when a back-off ends. */
const BACKOFF_SPREAD_RATIO = 0.1;
const BACKOFF_SPREAD_MAX_MS = 250;

/** Makes the refusals of one service's queue. */
export class QueueRefusals {
  readonly #options: ServiceQueueOptions;
  readonly #servers: QueueServers;

  constructor(options: ServiceQueueOptions, servers: QueueServers) {
    this.#options = options;
    this.#servers = servers;
  }

  /** Why a request can't be sent now. */
  blockedBy(request: WaitingRequest, nowMs: number): RefusalReason {
    const owner = this.#servers.ownerOf(request, nowMs);
    // Without any server, waiting for a key's handover is pointless as well.
    if (this.#servers.loads.size === 0) return "no-server";
    const isOutsideHome = owner?.kind === "owned"
      ? this.#servers.isOwnerOutsideHome(owner.server, request)
      : this.#servers.areAllOutsideHome(request);
    if (isOutsideHome) return "not-home";
    if (this.#servers.shortestBackoffMs(request, nowMs) > 0) {
      return "backing-off";
    }
    if (owner === undefined) {
      if (this.#servers.isUnreached(owner, request)) return "unreached";
      const isServed = this.#servers.candidates(request, nowMs).length > 0;
      if (isServed) return this.#servers.isNamed() ? "limited" : "no-room";
      const { capped } = this.#options;
      const isCapped = capped?.hasAny &&
        this.#servers.cappedServers(request, nowMs).length > 0;
      return isCapped ? "limited" : "no-server";
    }
    if (owner === NO_KEY_OWNER) return "no-key";
    if (this.#servers.isUnreached(owner, request)) return "unreached";
    if (owner.kind === "owned") return "no-room";
    return owner.kind === "moving" && owner.isBlocked ? "blocked" : "no-owner";
  }

  /** The refusal of a request that would wait this long. */
  refusal(
    request: WaitingRequest,
    reason: RefusalReason,
    waitMs: number,
    nowMs: number,
  ): Refusal {
    const isExpired = request.answerByMs <= nowMs;
    if (reason === "backing-off") {
      const retryAfterMs = waitMs + this.#backoffSpreadMs(waitMs);
      return { reason, retryAfterMs, expectedWaitMs: waitMs };
    }
    const { shares } = this.#options;
    if (reason === "no-room" && !isExpired && shares?.isActive) {
      const retryAfterMs = shares.retryAfterMs?.(request, nowMs);
      if (retryAfterMs !== undefined) {
        return { reason, retryAfterMs, expectedWaitMs: waitMs };
      }
    }
    // Spreads out the retries of callers that are refused together.
    const jitteredMs = waitMs * (0.5 + this.#options.random.next());
    const maxMs = reason === "limited"
      ? LIMITED_RETRY_AFTER_MAX_MS
      : RETRY_AFTER_MAX_MS;
    const retryAfterMs = Math.min(
      maxMs,
      Math.max(RETRY_AFTER_MIN_MS, jitteredMs),
    );
    return {
      reason: isExpired ? "timeout" : reason,
      retryAfterMs,
      expectedWaitMs: waitMs,
    };
  }

  #backoffSpreadMs(leftMs: number): number {
    const spreadMs = Math.min(
      BACKOFF_SPREAD_MAX_MS,
      leftMs * BACKOFF_SPREAD_RATIO,
    );
    return spreadMs * this.#options.random.next();
  }
}
