/** Expected waits of queued requests, and which of them are too long. */
import type { PriorityOrder } from "./priority_order.ts";
import type { QueueServers } from "./queue_servers.ts";
import type { ServerLoad } from "./server_load.ts";
import type {
  KeyOwner,
  QueueShares,
  ServiceQueueOptions,
} from "./service_queue_options.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Fraction of the time to its deadline that a request may be expected to wait
 * if it misses its target latency. Beyond it the request is refused at once, so
 * that its caller can retry.
 */
const LATE_WAIT_FRACTION = 0.5;
/** Expected duration of a handover when the previous owner releases the key. */
const HANDOVER_WAIT_MS = 250;
/**
 * A planned handover ends once the requests at the previous owner have ended;
 * one that takes longer is due to a lost owner.
 */
const MAX_PLANNED_HANDOVER_MS = 800;
/**
 * Wait for a lost owner's keys beyond the lease duration, until everything
 * granted to it has expired.
 */
const LOST_OWNER_WAIT_MS = 700;
/** Shortest expected wait for a key without an owner. */
const MIN_HANDOVER_WAIT_MS = 100;
/** Mean retry delay of callers refused because no VM reaches a server. */
export const UNREACHED_RETRY_AFTER_MS = 400;

/**
 * A new request may wait for this fraction of the time that it has beside its
 * service; the rest is for callers that return when told, and the queue that
 * an overload leaves behind ends sooner.
 */
const NEW_WAIT_RATIO = 0.5;
/**
 * A queued request is refused when the time to its deadline is at most this
 * fraction of its service time.
 */
const MIN_SERVICE_FRACTION = 0.5;
/** Lower bound of rates, which waits are divided by. */
const MIN_SERVED_PER_MS = 1e-6;

/** Whether a queued request can still be answered by its deadline. */
export function hasTimeLeft(
  { route, answerByMs }: Pick<WaitingRequest, "route" | "answerByMs">,
  times: ServiceTimes,
  nowMs: number,
): boolean {
  return answerByMs - nowMs > times.estimateMs(route) * MIN_SERVICE_FRACTION;
}

/** Estimates waits in one service's queue. */
export class WaitEstimate {
  readonly #options: ServiceQueueOptions;
  readonly #servers: QueueServers;
  readonly #order: PriorityOrder;
  #waitingElsewhere = 0;

  constructor(
    options: ServiceQueueOptions,
    servers: QueueServers,
    order: PriorityOrder,
  ) {
    this.#options = options;
    this.#servers = servers;
    this.#order = order;
  }

  /** Sets the number of the service's requests queued at other entry VMs. */
  setWaitingElsewhere(count: number): void {
    this.#waitingElsewhere = count;
  }

  /** Whether what a request waits for should have happened by now. */
  isOverdue(request: WaitingRequest, nowMs: number): boolean {
    const owner = this.#servers.ownerOf(request, nowMs);
    if (owner === undefined) return (this.#options.stalledMs?.(nowMs) ?? 0) > 0;
    if (owner.kind !== "owned") return isHandoverOverdue(owner);
    return this.#servers.loads.get(owner.server)?.isUp(nowMs) === false;
  }

  /** Expected time until a request is sent, behind those queued before it. */
  expectedWaitMs(
    request: WaitingRequest,
    queued: readonly WaitingRequest[],
    nowMs: number,
  ): number {
    const owner = this.#servers.ownerOf(request, nowMs);
    const backoffMs = this.#servers.shortestBackoffMs(request, nowMs);
    if (backoffMs > 0) return backoffMs;
    if (this.#servers.isUnreached(owner, request)) {
      return UNREACHED_RETRY_AFTER_MS;
    }
    if (owner !== undefined && owner.kind !== "owned") {
      return handoverWaitMs(owner);
    }
    const rank = this.#order.rank(request, nowMs);
    const destination = this.#servers.destinationOf(request, nowMs);
    const ahead =
      queued.filter((other) =>
        this.#order.rank(other, nowMs) <= rank &&
        this.#servers.destinationOf(other, nowMs) === destination
      ).length;
    const queuedHere = Math.max(1, queued.length);
    const { times } = this.#options;
    const meanMs = times.meanMs ?? times.estimateMs(request.route);
    if (owner?.kind === "owned") {
      const load = this.#servers.loads.get(owner.server);
      if (load === undefined) return HANDOVER_WAIT_MS;
      const servedMs = load.suspensionLeftMs(nowMs) +
        (ahead + 1) / this.#servedPerMs([load], meanMs, nowMs);
      return load.isUp(nowMs)
        ? servedMs
        : Math.max(servedMs, load.silentMs(nowMs));
    }
    const stalledMs = this.#options.stalledMs?.(nowMs) ?? 0;
    const restrictedMs = this.#restrictedWaitMs(request, queued, nowMs);
    if (restrictedMs !== undefined) return Math.max(restrictedMs, stalledMs);
    const candidates = this.#servers.candidates(request, nowMs);
    const perMs = this.#servedPerMs(candidates, meanMs, nowMs);
    const sharedPerMs = this.#sharedPerMs(request, nowMs);
    if (sharedPerMs !== undefined) return ahead / sharedPerMs + 1 / perMs;
    const elsewhere = this.#waitingElsewhere * (ahead + 1) / queuedHere;
    const unused = this.#unusedRate(nowMs);
    const servedMs = Math.max(0, ahead + 1 + elsewhere - unused) / perMs;
    return Math.max(servedMs, stalledMs);
  }

  /** Requests above shares get what the others leave. */
  #sharedPerMs(
    { standing }: WaitingRequest,
    nowMs: number,
  ): number | undefined {
    const shares = this.#shares;
    const perSecond = shares?.queuePerSecond(nowMs);
    if (shares === undefined || perSecond === undefined) return undefined;
    const ratio = standing === "above-share" ? shares.leftRatio(nowMs) : 1;
    return Math.max(perSecond * ratio / 1_000, MIN_SERVED_PER_MS);
  }

  get #shares(): QueueShares | undefined {
    const { shares } = this.#options;
    return shares?.isActive ? shares : undefined;
  }

  /** Part of the next request that a named limit already allows. */
  #unusedRate(nowMs: number): number {
    if (!this.#servers.isNamed()) return 0;
    const [server] = this.#servers.loads.keys();
    return this.#options.rateLimits!.tokens(server!, nowMs);
  }

  /**
   * Expected wait of a route that may not use all slots, behind requests of its
   * priority in the slots that it may use. Undefined for any other route.
   */
  #restrictedWaitMs(
    { route }: WaitingRequest,
    queued: readonly WaitingRequest[],
    nowMs: number,
  ): number | undefined {
    const { reserve, times } = this.#options;
    const [load] = this.#servers.loads.values();
    if (reserve === undefined || load === undefined) return undefined;
    const { server, slots } = load.entry;
    const allowed = reserve.slotsFor(route, nowMs);
    if (allowed >= slots) return undefined;
    const ahead =
      queued.filter((other) => other.route.priority === route.priority).length;
    return (ahead + 1) * times.estimateMs(route) *
      times.latencyFactor(server) / allowed;
  }

  /** Requests that the servers complete per millisecond; above 0. */
  #servedPerMs(
    loads: readonly ServerLoad[],
    meanMs: number,
    nowMs: number,
  ): number {
    const { times, rateLimits } = this.#options;
    let perMs = 0;
    for (const { entry: { server, slots } } of loads) {
      const warmPerMs = slots /
        Math.max(1, meanMs * times.latencyFactor(server));
      const maxPerMs = this.#servers.isLimited(server, nowMs)
        ? rateLimits!.ratePerSecond(server, nowMs) / 1_000
        : warmPerMs;
      perMs += Math.min(warmPerMs, maxPerMs);
    }
    return Math.max(perMs, MIN_SERVED_PER_MS);
  }

  /** Whether to refuse at once: it would miss its target and waits too long. */
  mustRefuse(
    request: WaitingRequest,
    waitMs: number,
    nowMs: number,
  ): boolean {
    const serviceMs = this.#options.times.estimateMs(request.route);
    const refusesLate = this.#shares?.refusesLate ?? false;
    const isReturning = request.standing === "returning";
    const slackMs = request.targetMs - nowMs - serviceMs;
    const waitRatio = refusesLate && !isReturning ? NEW_WAIT_RATIO : 1;
    if (waitMs <= slackMs * waitRatio) return false;
    // The limit serves as many requests whether these are late or in time.
    if (waitMs > 0 && this.#servers.isNamed()) return true;
    if (slackMs >= 0 && refusesLate) return true;
    const leftMs = request.answerByMs - nowMs;
    return waitMs > leftMs * LATE_WAIT_FRACTION || waitMs + serviceMs > leftMs;
  }
}

type KeyWithoutOwner = Exclude<KeyOwner, { kind: "owned" }>;

/** Whether a handover without the old owner takes longer than usual. */
function isHandoverOverdue(owner: KeyWithoutOwner): boolean {
  return owner.kind === "unknown"
    ? owner.ageMs > HANDOVER_WAIT_MS
    : owner.ageMs > owner.holdMs + LOST_OWNER_WAIT_MS;
}

/**
 * Expected time until a key without an owner gets one. Something keeps a
 * handover that is overdue from ending; it is expected to last as long again.
 */
function handoverWaitMs(owner: KeyWithoutOwner): number {
  const isPlanned = owner.kind === "unknown" ||
    owner.ageMs < MAX_PLANNED_HANDOVER_MS;
  const usualMs = isPlanned
    ? HANDOVER_WAIT_MS
    : owner.holdMs + LOST_OWNER_WAIT_MS;
  const leftMs = usualMs - owner.ageMs;
  return Math.max(
    MIN_HANDOVER_WAIT_MS,
    isHandoverOverdue(owner) ? -leftMs : leftMs,
  );
}
