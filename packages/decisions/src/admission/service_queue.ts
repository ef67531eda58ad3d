/**
 * Queue of one service's requests that wait for a backend server with capacity.
 * Requests that can't be answered in time are refused.
 */
import type * as contracts from "@guavatide/contracts";
import { PriorityOrder } from "./priority_order.ts";
import { QueueRefusals } from "./queue_refusals.ts";
import { QueueServers } from "./queue_servers.ts";
import type { ServerLoad } from "./server_load.ts";
import type { KeyOwner, ServiceQueueOptions } from "./service_queue_options.ts";
import type {
  Refusal,
  RefusalReason,
  WaitingRequest,
} from "./waiting_request.ts";
import { hasTimeLeft, WaitEstimate } from "./wait_estimate.ts";

/** Reasons that no wait within a caller's deadline is known to end. */
const UNSERVABLE_REASONS: ReadonlySet<RefusalReason> = new Set([
  "no-server",
  "not-home",
  "no-key",
  "unreached",
  "blocked",
  "backing-off",
]);

/** Queue of one service on one entry VM. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;
  readonly #servers: QueueServers;
  readonly #waits: WaitEstimate;
  readonly #refusals: QueueRefusals;
  #waiting: WaitingRequest[] = [];
  readonly #order: PriorityOrder;

  constructor(options: ServiceQueueOptions) {
    this.#options = options;
    this.#servers = new QueueServers(options);
    this.#refusals = new QueueRefusals(options, this.#servers);
    this.#order = new PriorityOrder(
      options.times,
      () => this.#hasShares,
    );
    this.#waits = new WaitEstimate(options, this.#servers, this.#order);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Number of queued requests within their callers' shares. */
  get waitingWithinShares(): number {
    return this.#waiting.filter(({ standing }) => standing !== "above-share")
      .length;
  }

  /** Whether each key has one owner, which alone can serve it. */
  get isKeyed(): boolean {
    return this.#servers.isKeyed;
  }

  /** Load and health of the servers. */
  get loads(): ReadonlyMap<contracts.ServerId, ServerLoad> {
    return this.#servers.loads;
  }

  /** See {@link QueueServers.setServers}. */
  setServers(
    entries: readonly contracts.RegisteredServer[],
    inCell?: ReadonlySet<contracts.ServerId>,
  ): void {
    this.#servers.setServers(entries, inCell);
  }

  /** Sets the number of the service's requests queued at other entry VMs. */
  setWaitingElsewhere(count: number): void {
    this.#waits.setWaitingElsewhere(count);
  }

  /** Sends, queues or refuses a request; calls its `placed` or `refused`. */
  add(request: WaitingRequest, nowMs: number): void {
    const isUnreached = this.#servers.isUnreached(
      this.#servers.ownerOf(request, nowMs),
      request,
    );
    this.#order.fractions?.recordArrival(request, nowMs);
    const isFirst = !this.#isOvertaking(request, nowMs);
    if (!isUnreached && isFirst && this.#trySend(request, nowMs)) return;
    // Its coordinator decides whether it can be answered in time.
    if (this.#awaitsSlot(request, nowMs)) return this.#insert(request);
    const reason = this.#refusals.blockedBy(request, nowMs);
    const waitMs = this.#waits.expectedWaitMs(request, this.#waiting, nowMs);
    const isUnservable = UNSERVABLE_REASONS.has(reason);
    if (isUnservable || this.#waits.mustRefuse(request, waitMs, nowMs)) {
      this.#recordRefusal(request, reason, nowMs);
      request.refused(this.#refusals.refusal(request, reason, waitMs, nowMs));
      return;
    }
    this.#insert(request);
  }

  /**
   * The refusal that a request would get if it were added now; undefined if it
   * would be sent or queued. Requests with keys are decided on elsewhere.
   */
  expectedRefusal(
    request: WaitingRequest,
    nowMs: number,
  ): Refusal | undefined {
    if (!this.#hasShares || this.isKeyed || this.#waiting.length === 0) {
      return undefined;
    }
    const reason = this.#refusals.blockedBy(request, nowMs);
    if (reason !== "no-room") return undefined;
    const waitMs = this.#waits.expectedWaitMs(request, this.#waiting, nowMs);
    if (!this.#waits.mustRefuse(request, waitMs, nowMs)) return undefined;
    return this.#refusals.refusal(request, reason, waitMs, nowMs);
  }

  /** Whether it would be sent before waiting requests that go first. */
  #isOvertaking(request: WaitingRequest, nowMs: number): boolean {
    if (!this.#hasShares || this.isKeyed) return false;
    // Coordinators of limited servers order the requests to these.
    if (this.#options.capped?.hasAny) return false;
    const rank = this.#order.rank(request, nowMs);
    return this.#waiting.some((other) =>
      this.#order.rank(other, nowMs) < rank && other.tried.size === 0
    );
  }

  get #hasShares(): boolean {
    return this.#options.shares?.isActive ?? false;
  }

  #recordRefusal(
    request: WaitingRequest,
    reason: RefusalReason,
    nowMs: number,
  ): void {
    if (reason === "no-room") {
      this.#order.fractions?.recordRefusal(request, nowMs);
    }
  }

  /** Removes a request from the queue; false if it is not queued. */
  cancel(request: WaitingRequest): boolean {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    this.#cancelSlots(request);
    return true;
  }

  #cancelSlots(request: WaitingRequest): void {
    this.#options.keyed?.slots.cancel(request);
    this.#options.capped?.cancel(request);
  }

  /** Sends a request to which a coordinator granted a slot. */
  placeGranted(request: WaitingRequest, nowMs: number): void {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return;
    this.#waiting.splice(index, 1);
    if (!this.#trySend(request, nowMs)) this.#insert(request);
  }

  /**
   * Handles a coordinator's refusal. Without a key, the request is refused only
   * if no other server may take it.
   */
  refuse(request: WaitingRequest, refusal: Refusal, nowMs: number): void {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return;
    const owner = this.#servers.ownerOf(request, nowMs);
    const server = owner?.kind === "owned"
      ? owner.server
      : this.#options.capped?.serverAsked(request);
    const limitedBy = refusal.reason === "limited" ? server : undefined;
    const named = { ...refusal, limitedBy };
    if (this.#options.capped?.isAsking(request)) {
      this.#options.capped.recordRefusal(request);
      this.#waiting.splice(index, 1);
      if (this.#trySend(request, nowMs)) return;
      const mayWait = this.#awaitsSlot(request, nowMs) ||
        this.#mayWaitForOthers(request, nowMs);
      if (mayWait) return this.#insert(request);
      this.#cancelSlots(request);
      return request.refused(named);
    }
    if (this.cancel(request)) request.refused(named);
  }

  /** Refuses a request whose servers all back off; false if one doesn't. */
  refuseIfBackingOff(request: WaitingRequest, nowMs: number): boolean {
    const waitMs = this.#servers.shortestBackoffMs(request, nowMs);
    if (waitMs === 0) return false;
    request.refused(
      this.#refusals.refusal(request, "backing-off", waitMs, nowMs),
    );
    return true;
  }

  /** Whether a server without a limit can take a request in time. */
  #mayWaitForOthers(request: WaitingRequest, nowMs: number): boolean {
    if (this.#servers.candidates(request, nowMs).length === 0) return false;
    const waitMs = this.#waits.expectedWaitMs(request, this.#waiting, nowMs);
    return !this.#waits.mustRefuse(request, waitMs, nowMs);
  }

  /**
   * Sends what servers have capacity for. Called when a load or server changes.
   */
  dispatch(nowMs: number): void {
    if (this.#waiting.length === 0) return;
    const rest: WaitingRequest[] = [];
    const queued = this.#order.sort(this.#waiting, nowMs);
    this.#waiting = [];
    const full = new Set<string>();
    for (const request of queued) {
      // Routes to one destination may be allowed different numbers of its
      // slots.
      const group = `${
        this.#servers.destinationOf(request, nowMs)
      } ${request.route.name}`;
      if (!full.has(group) && this.#trySend(request, nowMs)) {
        this.#order.recordSent(request, queued);
        continue;
      }
      const isFull = request.tried.size === 0 &&
        !this.#awaitsSlot(request, nowMs);
      if (isFull) full.add(group);
      rest.push(request);
    }
    // A request that was sent may have ended already and queued others.
    this.#waiting = [...rest, ...this.#waiting];
  }

  /** Refuses requests that can't meet their deadline. Called at an interval. */
  refuseExpired(nowMs: number): void {
    const kept: WaitingRequest[] = [];
    const queued = this.#hasShares
      ? this.#order.sort(this.#waiting, nowMs)
      : this.#waiting;
    this.#waiting = [];
    const isNamed = this.#servers.isNamed();
    for (const request of queued) {
      const leftMs = request.answerByMs - nowMs;
      // Its coordinator estimates the wait: only it knows all other requests.
      const waitMs = this.#awaitsSlot(request, nowMs)
        ? 0
        : this.#waits.expectedWaitMs(request, kept, nowMs);
      const isFirstRefused = isNamed || request.standing === "above-share";
      const isLate =
        (isFirstRefused || this.#waits.isOverdue(request, nowMs)) &&
        this.#waits.mustRefuse(request, waitMs, nowMs);
      const reason = this.#refusals.blockedBy(request, nowMs);
      const isUnservable = reason === "unreached" || reason === "backing-off" ||
        this.isKeyed && UNSERVABLE_REASONS.has(reason);
      const isInTime = hasTimeLeft(request, this.#options.times, nowMs) &&
        waitMs < leftMs;
      if (isInTime && !isLate && !isUnservable) {
        kept.push(request);
        continue;
      }
      const refusal = this.#refusals.refusal(request, reason, waitMs, nowMs);
      this.#cancelSlots(request);
      this.#recordRefusal(request, reason, nowMs);
      request.refused(refusal);
    }
    this.#waiting = [...kept, ...this.#waiting];
  }

  #trySend(request: WaitingRequest, nowMs: number): boolean {
    const owner = this.#servers.ownerOf(request, nowMs);
    return owner === undefined
      ? this.#tryAny(request, nowMs)
      : this.#tryOwner(request, owner, nowMs);
  }

  #tryAny(request: WaitingRequest, nowMs: number): boolean {
    const { rateLimits, reserve, capped } = this.#options;
    if (reserve?.mayAcquire(request, nowMs) === false) return false;
    const load = this.#mayAdmit(request, nowMs)
      ? this.#servers.chooseFree(request, nowMs)
      : undefined;
    if (capped?.hasAny) {
      const hasOther = load !== undefined;
      const servers = this.#servers.cappedServers(request, nowMs);
      const held = capped.acquire(request, servers, { hasOther, nowMs });
      if (held !== undefined) {
        this.#options.backoffs?.recordStart(held.entry.server, nowMs);
        const outstanding = held.outstanding(nowMs);
        const releaseSlot = capped.markInUse(request);
        request.placed({
          load: held,
          outstanding,
          fence: undefined,
          releaseSlot,
        });
        return true;
      }
      if (hasOther && capped.isTrialPending(request, nowMs)) return false;
    }
    if (load === undefined) return false;
    capped?.cancel(request);
    rateLimits?.recordStart(load.entry.server, nowMs);
    this.#options.backoffs?.recordStart(load.entry.server, nowMs);
    const outstanding = load.outstanding(nowMs);
    request.placed({ load, outstanding, fence: undefined });
    return true;
  }

  /**
   * Whether the VM may send it within its share. A slot granted by a coordinator
   * is used in any case.
   */
  #mayAdmit(request: WaitingRequest, nowMs: number): boolean {
    if (!this.#hasShares) return true;
    return this.#options.shares!.mayAdmit?.(request, nowMs) ?? true;
  }

  #tryOwner(
    request: WaitingRequest,
    owner: KeyOwner,
    nowMs: number,
  ): boolean {
    if (owner.kind !== "owned") return false;
    const load = this.#servers.loads.get(owner.server);
    if (load === undefined || load.entry.bornMs !== owner.bornMs) return false;
    if (!load.isUp(nowMs) || !this.#servers.isHome(load.entry, request)) {
      return false;
    }
    const mayStart = this.#servers.mayStart(load, nowMs) &&
      this.#servers.backoffLeftMs(load, nowMs) === 0;
    if (!mayStart) return false;
    const { slots } = this.#options.keyed!;
    if (!slots.tryAcquire(request, load, nowMs)) return false;
    const outstanding = load.outstanding(nowMs);
    const releaseSlot = slots.markInUse(request);
    this.#options.backoffs?.recordStart(owner.server, nowMs);
    request.placed({ load, outstanding, fence: owner.fence, releaseSlot });
    return true;
  }

  /** Whether the request waits for a coordinator to grant it a slot. */
  #awaitsSlot(request: WaitingRequest, nowMs: number): boolean {
    if (this.#options.capped?.isAsking(request)) return true;
    const owner = this.#servers.ownerOf(request, nowMs);
    if (owner?.kind !== "owned") return false;
    if (this.#servers.isUnreached(owner, request)) return false;
    const load = this.#servers.loads.get(owner.server);
    // No slot is requested at a suspended server.
    return load?.entry.bornMs === owner.bornMs && load.isUp(nowMs) &&
      this.#servers.backoffLeftMs(load, nowMs) === 0 &&
      this.#servers.isHome(load.entry, request);
  }

  #insert(request: WaitingRequest): void {
    const { priority } = request.route;
    let index = this.#waiting.length;
    while (index > 0 && this.#waiting[index - 1]!.route.priority > priority) {
      index--;
    }
    this.#waiting.splice(index, 0, request);
    this.#options.onWait?.();
  }
}
