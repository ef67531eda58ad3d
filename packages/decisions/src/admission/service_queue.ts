/**
 * Queue of one service's requests that wait for a backend server with capacity.
 * Requests that can't be answered in time are refused.
 */
import type * as contracts from "@guavatide/contracts";
import type { CappedServers } from "./capped_servers.ts";
import type { ServerBackoffs } from "./server_backoffs.ts";
import type { ServerRateLimit } from "./server_rate_limit.ts";
import { PriorityOrder } from "./priority_order.ts";
import { ServerLoad } from "./server_load.ts";
import * as ranking from "./server_ranking.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { ShortRequestReserve } from "./short_request_reserve.ts";
import type {
  Refusal,
  RefusalReason,
  SlotSource,
  WaitingRequest,
} from "./waiting_request.ts";

/** Current owner of a key, as far as this entry VM knows. */
export type KeyOwner =
  | {
    readonly kind: "owned";
    readonly server: contracts.ServerId;
    /** When the owning incarnation of the server started. */
    readonly bornMs: number;
    /** Fencing token of the lease. */
    readonly fence: number;
  }
  /** Handed over from one owner to the next, or not granted yet. */
  | {
    readonly kind: "moving";
    /** How long it has had no owner. */
    readonly ageMs: number;
    /** Lease duration of the service. */
    readonly holdMs: number;
    /** Whether no VM can finish the handover at present; absent for no. */
    readonly isBlocked?: boolean;
  }
  /** Ownership is not known. */
  | {
    readonly kind: "unknown";
    /** How long it has not been known. */
    readonly ageMs: number;
  };

/** Whether requests get to a server, over any VM. */
export type ServerReach =
  | "reached"
  /** One request may show whether it is reached again. */
  | "trial"
  | "unreached";

/** Options of a {@link ServiceQueue} whose requests have keys. */
export interface KeyedQueueOptions {
  readonly ownerOf: (key: number) => KeyOwner;
  /** Source of slots at the owners. */
  readonly slots: SlotSource;
}

/** Servers that have asked other VMs to back off. */
export interface PeerBackoffView {
  /** Whether any server has asked any VM. */
  readonly hasAny: boolean;
  /** Time for which a server turns away all VMs; 0 for any other server. */
  refusedForMs(server: contracts.ServerId): number;
  /**
   * Whether a server has asked another VM to back off: it gets a request only if
   * no other server has a free slot.
   */
  isAvoidedByPeers(server: contracts.ServerId): boolean;
}

/** Options of {@link ServiceQueue}. */
export interface ServiceQueueOptions {
  readonly zone: contracts.ZoneId;
  readonly times: ServiceTimes;
  readonly random: contracts.RandomSource;
  /** Absent for a service without keys. */
  readonly keyed?: KeyedQueueOptions;
  /** Absent where another VM limits the requests to cold servers. */
  readonly rateLimits?: ServerRateLimit | undefined;
  /**
   * Servers without keys that limit their requests. Absent where this queue
   * applies the limit itself.
   */
  readonly capped?: CappedServers | undefined;
  /** Servers that have asked this VM to back off; absent for none. */
  readonly backoffs?: ServerBackoffs | undefined;
  /** What servers have asked of other VMs; absent where that is not known. */
  readonly peerBackoffs?: PeerBackoffView | undefined;
  /** Present for a single server whose requests all pass through this queue. */
  readonly reserve?: ShortRequestReserve;
  /** Region of an availability zone; undefined for an unknown one. */
  readonly regionOf?: (
    zone: contracts.ZoneId,
  ) => contracts.RegionId | undefined;
  /** Whether any VM reaches a server. Absent where all count as reached. */
  readonly reachOf?: (server: contracts.ServerId) => ServerReach;
  /**
   * How long the queue's only server has ended no request, if it should have;
   * else 0.
   */
  readonly stalledMs?: (nowMs: number) => number;
  /** Called when a request is queued. */
  readonly onWait?: () => void;
}

/**
 * Fraction of the time to its deadline that a request may be expected to wait
 * if it misses its target latency. Beyond it the request is refused at once, so
 * that its caller can retry.
 */
const LATE_WAIT_FRACTION = 0.5;
/** Shortest and longest time after which a caller is asked to retry. */
const RETRY_AFTER_MIN_MS = 60;
const RETRY_AFTER_MAX_MS = 1_500;
/** The same where a server takes less than a request in that time. */
const LIMITED_RETRY_AFTER_MAX_MS = 10_000;
/**
 * Concurrent requests to servers of other cells, whose load is not known here.
 */
const OVERFLOW_REQUESTS = 1;
/**
 * The same while the own cell has only cold servers, which sustain little load.
 */
const OVERFLOW_REQUESTS_WHILE_COLD = 4;
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
/** A back-off that ends within this time is waited for. */
const MAX_BACKOFF_WAIT_MS = 10;
/** Spreads out callers that return when a back-off ends. */
const BACKOFF_SPREAD_RATIO = 0.1;
const BACKOFF_SPREAD_MAX_MS = 250;
/** Mean retry delay of callers refused because no VM reaches a server. */
export const UNREACHED_RETRY_AFTER_MS = 400;
/** Reasons that no wait within a caller's deadline is known to end. */
const UNSERVABLE_REASONS: ReadonlySet<RefusalReason> = new Set([
  "no-server",
  "not-home",
  "no-key",
  "unreached",
  "blocked",
  "backing-off",
]);
/**
 * A queued request is refused when the time to its deadline is at most this
 * fraction of its service time.
 */
const MIN_SERVICE_FRACTION = 0.5;

/** Queue of one service on one entry VM. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;
  readonly #loads = new Map<contracts.ServerId, ServerLoad>();
  #waiting: WaitingRequest[] = [];
  /** Servers that this VM's cell uses; undefined for all servers. */
  #inCell: ReadonlySet<contracts.ServerId> | undefined;
  readonly #order: PriorityOrder;
  #waitingElsewhere = 0;

  constructor(options: ServiceQueueOptions) {
    this.#options = options;
    this.#order = new PriorityOrder(options.times);
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Whether each key has one owner, which alone can serve it. */
  get isKeyed(): boolean {
    return this.#options.keyed !== undefined;
  }

  /** Load and health of the servers. */
  get loads(): ReadonlyMap<contracts.ServerId, ServerLoad> {
    return this.#loads;
  }

  /**
   * Replaces the list of the service's servers. In a deployment with several
   * cells `inCell` names those that this VM's cell uses; the others only take
   * overflow.
   */
  setServers(
    entries: readonly contracts.RegisteredServer[],
    inCell?: ReadonlySet<contracts.ServerId>,
  ): void {
    const named = new Map(entries.map((entry) => [entry.server, entry]));
    for (const server of this.#loads.keys()) {
      if (!named.has(server)) this.#loads.delete(server);
    }
    for (const [server, entry] of named) {
      const found = this.#loads.get(server);
      if (found !== undefined && found.entry.bornMs === entry.bornMs) {
        found.entry = entry;
      } else this.#loads.set(server, new ServerLoad(entry, this.isKeyed));
    }
    this.#inCell = inCell;
    this.#options.capped?.keepOnly(this.#loads);
  }

  /** Sets the number of the service's requests queued at other entry VMs. */
  setWaitingElsewhere(count: number): void {
    this.#waitingElsewhere = count;
  }

  /** Sends, queues or refuses a request; calls its `placed` or `refused`. */
  add(request: WaitingRequest, nowMs: number): void {
    const isUnreached = this.#isUnreached(this.#ownerOf(request), request);
    if (!isUnreached && this.#trySend(request, nowMs)) return;
    // Its coordinator decides whether it can be answered in time.
    if (this.#awaitsSlot(request, nowMs)) return this.#insert(request);
    const reason = this.#blockedBy(request, nowMs);
    const waitMs = this.#expectedWaitMs(request, this.#waiting, nowMs);
    const isUnservable = UNSERVABLE_REASONS.has(reason);
    if (isUnservable || this.#mustRefuse(request, waitMs, nowMs)) {
      request.refused(this.#refusal(request, reason, waitMs, nowMs));
      return;
    }
    this.#insert(request);
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
    const owner = this.#ownerOf(request);
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
    const waitMs = this.#shortestBackoffMs(request, nowMs);
    if (waitMs === 0) return false;
    request.refused(this.#refusal(request, "backing-off", waitMs, nowMs));
    return true;
  }

  /** Whether a server without a limit can take a request in time. */
  #mayWaitForOthers(request: WaitingRequest, nowMs: number): boolean {
    if (this.#candidates(request, nowMs).length === 0) return false;
    const waitMs = this.#expectedWaitMs(request, this.#waiting, nowMs);
    return !this.#mustRefuse(request, waitMs, nowMs);
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
      const group = `${this.#destinationOf(request)} ${request.route.name}`;
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
    const queued = this.#waiting;
    this.#waiting = [];
    const isNamed = this.#isNamed();
    for (const request of queued) {
      const serviceMs = this.#options.times.estimateMs(request.route) *
        MIN_SERVICE_FRACTION;
      const leftMs = request.answerByMs - nowMs;
      // Its coordinator estimates the wait: only it knows all other requests.
      const waitMs = this.#awaitsSlot(request, nowMs)
        ? 0
        : this.#expectedWaitMs(request, kept, nowMs);
      const isLate = (isNamed || this.#isOverdue(request, nowMs)) &&
        this.#mustRefuse(request, waitMs, nowMs);
      const reason = this.#blockedBy(request, nowMs);
      const isUnservable = reason === "unreached" || reason === "backing-off" ||
        this.isKeyed && UNSERVABLE_REASONS.has(reason);
      const isInTime = leftMs > serviceMs && waitMs < leftMs;
      if (isInTime && !isLate && !isUnservable) {
        kept.push(request);
        continue;
      }
      const refusal = this.#refusal(request, reason, waitMs, nowMs);
      this.#cancelSlots(request);
      request.refused(refusal);
    }
    this.#waiting = [...kept, ...this.#waiting];
  }

  #context(nowMs: number): ranking.RankingContext {
    const { zone, times, random } = this.#options;
    const isCold = (server: contracts.ServerId) =>
      this.#options.rateLimits?.isCold(server, nowMs) ?? false;
    return { zone, times, random, nowMs, isCold };
  }

  #ownerOf(request: WaitingRequest): KeyOwner | undefined {
    const { keyed } = this.#options;
    if (keyed === undefined) return undefined;
    return request.key === undefined
      ? NO_KEY_OWNER
      : keyed.ownerOf(request.key);
  }

  #trySend(request: WaitingRequest, nowMs: number): boolean {
    const owner = this.#ownerOf(request);
    return owner === undefined
      ? this.#tryAny(request, nowMs)
      : this.#tryOwner(request, owner, nowMs);
  }

  #tryAny(request: WaitingRequest, nowMs: number): boolean {
    const { rateLimits, reserve, capped } = this.#options;
    if (reserve?.mayAcquire(request, nowMs) === false) return false;
    const load = this.#chooseFree(request, nowMs);
    if (capped?.hasAny) {
      const hasOther = load !== undefined;
      const servers = this.#cappedServers(request, nowMs);
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

  /** The best server with room for a request; undefined for none. */
  #chooseFree(request: WaitingRequest, nowMs: number): ServerLoad | undefined {
    const { rateLimits } = this.#options;
    const free = this.#candidates(request, nowMs)
      .filter((load) =>
        ranking.hasCapacity(load, nowMs) && this.#mayStart(load, nowMs) &&
        (rateLimits?.mayStart(load.entry.server, nowMs) ?? true)
      );
    const context = this.#context(nowMs);
    const preferred = this.#preferred(free, request, nowMs);
    const best = ranking.chooseServer(preferred, request, context);
    const hasFreeSlot = best !== undefined &&
      best.outstanding(nowMs) < best.entry.slots;
    // Queueing at a full server takes as long as a running request.
    return hasFreeSlot ? best : this.#overflowServer(request, nowMs) ?? best;
  }

  /**
   * Servers that peers don't avoid, if one of them has a free slot. A request
   * that was refused once is not what shows whether a back-off is really over.
   */
  #preferred(
    loads: readonly ServerLoad[],
    { tried }: WaitingRequest,
    nowMs: number,
  ): readonly ServerLoad[] {
    if (!this.#hasBackoffs) return loads;
    const { peerBackoffs, backoffs } = this.#options;
    if (peerBackoffs === undefined) return loads;
    const preferred = loads.filter(({ entry: { server } }) =>
      !peerBackoffs.isAvoidedByPeers(server) &&
      (tried.size === 0 || !backoffs?.has(server))
    );
    const hasFreeSlot = preferred.some((load) =>
      load.outstanding(nowMs) < load.entry.slots
    );
    return hasFreeSlot ? preferred : loads;
  }

  /** Servers with a limit that a request may go to with a slot. */
  #cappedServers(request: WaitingRequest, nowMs: number): ServerLoad[] {
    return [...this.#loads.values()].filter((load) =>
      this.#isCapped(load) && this.#isUsable(load, request) &&
      load.isUp(nowMs) && this.#mayStart(load, nowMs)
    );
  }

  /** Whether the server has not asked for a back-off, or it is over. */
  #mayStart({ entry }: ServerLoad, nowMs: number): boolean {
    return this.#options.backoffs?.mayStart(entry.server, nowMs) ?? true;
  }

  /** Whether any server has asked this VM or another one to back off. */
  get #hasBackoffs(): boolean {
    const { backoffs, peerBackoffs } = this.#options;
    return (backoffs?.hasAny ?? false) || (peerBackoffs?.hasAny ?? false);
  }

  /** Time for which a server's back-off is not worth waiting for; else 0. */
  #backoffLeftMs({ entry }: ServerLoad, nowMs: number): number {
    if (!this.#hasBackoffs) return 0;
    const { backoffs, peerBackoffs } = this.#options;
    const leftMs = Math.max(
      backoffs?.leftMs(entry.server, nowMs) ?? 0,
      peerBackoffs?.refusedForMs(entry.server) ?? 0,
    );
    return leftMs > MAX_BACKOFF_WAIT_MS ? leftMs : 0;
  }

  /**
   * Shortest back-off of the servers that may run a request; 0 while one may be
   * sent to.
   */
  #shortestBackoffMs(request: WaitingRequest, nowMs: number): number {
    if (!this.#hasBackoffs) return 0;
    const owner = this.#ownerOf(request);
    if (owner !== undefined) {
      const load = owner.kind === "owned"
        ? this.#loads.get(owner.server)
        : undefined;
      return load === undefined ? 0 : this.#backoffLeftMs(load, nowMs);
    }
    let shortestMs = Number.POSITIVE_INFINITY;
    for (const load of this.#loads.values()) {
      if (!this.#isUsable(load, request)) continue;
      shortestMs = Math.min(shortestMs, this.#backoffLeftMs(load, nowMs));
    }
    return Number.isFinite(shortestMs) ? shortestMs : 0;
  }

  #isCapped({ entry }: ServerLoad): boolean {
    return this.#options.capped?.isCapped(entry.server) ?? false;
  }

  /**
   * Returns a server of another cell, used when those of the own cell are full.
   * The load of other cells is not known here, so a VM has only a few requests
   * there at a time.
   */
  #overflowServer(
    request: WaitingRequest,
    nowMs: number,
  ): ServerLoad | undefined {
    const inCell = this.#inCell;
    if (inCell === undefined) return undefined;
    const limit = this.#isCellCold(nowMs)
      ? OVERFLOW_REQUESTS_WHILE_COLD
      : OVERFLOW_REQUESTS;
    const usable: ServerLoad[] = [];
    let sent = 0;
    for (const load of this.#loads.values()) {
      if (inCell.has(load.entry.server)) continue;
      sent += load.ownInFlight;
      if (sent >= limit) return undefined;
      const isUsable = load.ownInFlight === 0 &&
        this.#isUsable(load, request) && !this.#isCapped(load) &&
        !this.#isLimited(load.entry.server, nowMs) &&
        load.isUp(nowMs) && this.#mayStart(load, nowMs) &&
        !load.isRefusing(nowMs) &&
        load.outstanding(nowMs) < load.entry.slots;
      if (isUsable) usable.push(load);
    }
    if (usable.length === 0) return undefined;
    const { zone, random } = this.#options;
    const inZone = usable.filter(({ entry }) => entry.zone === zone);
    const choices = inZone.length > 0 ? inZone : usable;
    return choices[Math.floor(random.next() * choices.length)];
  }

  /** Whether all servers of the own cell are cold. */
  #isCellCold(nowMs: number): boolean {
    return [...this.#inCell!].every((server) => this.#isLimited(server, nowMs));
  }

  #isUsable({ entry }: ServerLoad, request: WaitingRequest): boolean {
    return !entry.isDraining && !request.tried.has(entry.server) &&
      this.#isHome(entry, request);
  }

  /** Whether the server's region may run the request. */
  #isHome(
    { zone }: contracts.RegisteredServer,
    { route: { homeRegions } }: WaitingRequest,
  ): boolean {
    if (homeRegions === undefined) return true;
    const region = this.#options.regionOf?.(zone);
    return region !== undefined && homeRegions.has(region);
  }

  #tryOwner(
    request: WaitingRequest,
    owner: KeyOwner,
    nowMs: number,
  ): boolean {
    if (owner.kind !== "owned") return false;
    const load = this.#loads.get(owner.server);
    if (load === undefined || load.entry.bornMs !== owner.bornMs) return false;
    if (!load.isUp(nowMs) || !this.#isHome(load.entry, request)) return false;
    const mayStart = this.#mayStart(load, nowMs) &&
      this.#backoffLeftMs(load, nowMs) === 0;
    if (!mayStart) return false;
    const { slots } = this.#options.keyed!;
    if (!slots.tryAcquire(request, load, nowMs)) return false;
    const outstanding = load.outstanding(nowMs);
    const releaseSlot = slots.markInUse(request);
    this.#options.backoffs?.recordStart(owner.server, nowMs);
    request.placed({ load, outstanding, fence: owner.fence, releaseSlot });
    return true;
  }

  /** Servers that a request may go to, with or without capacity. */
  #candidates(request: WaitingRequest, nowMs: number): ServerLoad[] {
    const usable = this.#usableServers(request, nowMs);
    const up = usable.filter((load) => load.isUp(nowMs));
    // If all servers are suspended, requests are still sent to one of them.
    return up.length > 0 ? up : usable;
  }

  /**
   * Usable servers of the own cell, or of all cells if it has none. Cold
   * servers are shared among VMs by rank instead of by cell.
   */
  #usableServers(request: WaitingRequest, nowMs: number): ServerLoad[] {
    const all: ServerLoad[] = [];
    const own: ServerLoad[] = [];
    for (const load of this.#loads.values()) {
      if (!this.#isUsable(load, request) || this.#isCapped(load)) continue;
      if (this.#backoffLeftMs(load, nowMs) > 0) continue;
      all.push(load);
      const { server } = load.entry;
      const isOwn = this.#isLimited(server, nowMs)
        ? this.#options.rateLimits!.ratePerSecond(server, nowMs) > 0
        : this.#inCell?.has(server) ?? true;
      if (isOwn) own.push(load);
    }
    return own.length > 0 ? own : all;
  }

  /** Whether the server is cold and its rate is limited. */
  #isLimited(server: contracts.ServerId, nowMs: number): boolean {
    return this.#options.rateLimits?.isLimited(server, nowMs) ?? false;
  }

  /**
   * Whether no VM reaches the owner of a key, or any server that could become
   * it; without keys, any server that may run the request.
   */
  #isUnreached(
    owner: KeyOwner | undefined,
    request: WaitingRequest,
  ): boolean {
    const { reachOf } = this.#options;
    if (reachOf === undefined) return false;
    if (owner === undefined) {
      const usable = [...this.#loads.values()]
        .filter((load) => this.#isUsable(load, request));
      return usable.length > 0 &&
        usable.every(({ entry }) => reachOf(entry.server) === "unreached");
    }
    if (owner.kind === "owned") return reachOf(owner.server) === "unreached";
    const next = [...this.#loads.values()]
      .filter(({ entry }) => !entry.isDraining && this.#isHome(entry, request));
    return next.length > 0 &&
      next.every(({ entry }) => reachOf(entry.server) !== "reached");
  }

  /** Whether what a request waits for should have happened by now. */
  #isOverdue(request: WaitingRequest, nowMs: number): boolean {
    const owner = this.#ownerOf(request);
    if (owner === undefined) return (this.#options.stalledMs?.(nowMs) ?? 0) > 0;
    if (owner.kind !== "owned") return isHandoverOverdue(owner);
    return this.#loads.get(owner.server)?.isUp(nowMs) === false;
  }

  /** Whether the request waits for a coordinator to grant it a slot. */
  #awaitsSlot(request: WaitingRequest, nowMs: number): boolean {
    if (this.#options.capped?.isAsking(request)) return true;
    const owner = this.#ownerOf(request);
    if (owner?.kind !== "owned") return false;
    if (this.#isUnreached(owner, request)) return false;
    const load = this.#loads.get(owner.server);
    // No slot is requested at a suspended server.
    return load?.entry.bornMs === owner.bornMs && load.isUp(nowMs) &&
      this.#backoffLeftMs(load, nowMs) === 0 &&
      this.#isHome(load.entry, request);
  }

  #blockedBy(request: WaitingRequest, nowMs: number): RefusalReason {
    const owner = this.#ownerOf(request);
    // Without any server, waiting for a key's handover is pointless as well.
    if (this.#loads.size === 0) return "no-server";
    const isOutsideHome = owner?.kind === "owned"
      ? this.#isOwnerOutsideHome(owner.server, request)
      : this.#areAllOutsideHome(request);
    if (isOutsideHome) return "not-home";
    if (this.#shortestBackoffMs(request, nowMs) > 0) return "backing-off";
    if (owner === undefined) {
      if (this.#isUnreached(owner, request)) return "unreached";
      const isServed = this.#candidates(request, nowMs).length > 0;
      if (isServed) return this.#isNamed() ? "limited" : "no-room";
      const { capped } = this.#options;
      const isCapped = capped?.hasAny &&
        this.#cappedServers(request, nowMs).length > 0;
      return isCapped ? "limited" : "no-server";
    }
    if (owner === NO_KEY_OWNER) return "no-key";
    if (this.#isUnreached(owner, request)) return "unreached";
    if (owner.kind === "owned") return "no-room";
    return owner.kind === "moving" && owner.isBlocked ? "blocked" : "no-owner";
  }

  /** Whether this queue applies the limit that its server has named. */
  #isNamed(): boolean {
    const { rateLimits } = this.#options;
    if (rateLimits === undefined || this.#loads.size !== 1) return false;
    const [server] = this.#loads.keys();
    return rateLimits.isNamed(server!);
  }

  #isOwnerOutsideHome(
    server: contracts.ServerId,
    request: WaitingRequest,
  ): boolean {
    const load = this.#loads.get(server);
    return load !== undefined && !this.#isHome(load.entry, request);
  }

  /** Whether no server is in a region that may run the request. */
  #areAllOutsideHome(request: WaitingRequest): boolean {
    if (request.route.homeRegions === undefined) return false;
    return [...this.#loads.values()]
      .every(({ entry }) => !this.#isHome(entry, request));
  }

  /** Identifies the servers that a request waits for. */
  #destinationOf(request: WaitingRequest): string {
    const owner = this.#ownerOf(request);
    return owner?.kind === "owned" ? owner.server : owner?.kind ?? "any";
  }

  /** Expected time until a request is sent, behind those queued before it. */
  #expectedWaitMs(
    request: WaitingRequest,
    queued: readonly WaitingRequest[],
    nowMs: number,
  ): number {
    const owner = this.#ownerOf(request);
    const backoffMs = this.#shortestBackoffMs(request, nowMs);
    if (backoffMs > 0) return backoffMs;
    if (this.#isUnreached(owner, request)) return UNREACHED_RETRY_AFTER_MS;
    if (owner !== undefined && owner.kind !== "owned") {
      return handoverWaitMs(owner);
    }
    const destination = this.#destinationOf(request);
    const ahead =
      queued.filter((other) =>
        other.route.priority <= request.route.priority &&
        this.#destinationOf(other) === destination
      ).length;
    const queuedHere = Math.max(1, queued.length);
    const { times } = this.#options;
    const meanMs = times.meanMs ?? times.estimateMs(request.route);
    if (owner?.kind === "owned") {
      const load = this.#loads.get(owner.server);
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
    const candidates = this.#candidates(request, nowMs);
    const perMs = this.#servedPerMs(candidates, meanMs, nowMs);
    const elsewhere = this.#waitingElsewhere * (ahead + 1) / queuedHere;
    const unused = this.#unusedRate(nowMs);
    const servedMs = Math.max(0, ahead + 1 + elsewhere - unused) / perMs;
    return Math.max(servedMs, stalledMs);
  }

  /** Part of the next request that a named limit already allows. */
  #unusedRate(nowMs: number): number {
    if (!this.#isNamed()) return 0;
    const [server] = this.#loads.keys();
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
    const [load] = this.#loads.values();
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
      const maxPerMs = this.#isLimited(server, nowMs)
        ? rateLimits!.ratePerSecond(server, nowMs) / 1_000
        : warmPerMs;
      perMs += Math.min(warmPerMs, maxPerMs);
    }
    return Math.max(perMs, 1e-6);
  }

  /** Whether to refuse at once: it would miss its target and waits too long. */
  #mustRefuse(
    request: WaitingRequest,
    waitMs: number,
    nowMs: number,
  ): boolean {
    const serviceMs = this.#options.times.estimateMs(request.route);
    if (nowMs + waitMs + serviceMs <= request.targetMs) return false;
    // The limit serves as many requests whether these are late or in time.
    if (waitMs > 0 && this.#isNamed()) return true;
    const leftMs = request.answerByMs - nowMs;
    return waitMs > leftMs * LATE_WAIT_FRACTION || waitMs + serviceMs > leftMs;
  }

  #refusal(
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

/** A request without a key has no owner at a service with keys. */
const NO_KEY_OWNER: KeyOwner = { kind: "unknown", ageMs: 0 };

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
