/**
 * Requests of one service that wait for a backend server with room; those that
 * can't be answered any more are refused.
 */
import type * as contracts from "@guavatide/contracts";
import type { ColdStartLimit } from "./cold_start_limit.ts";
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

/** Who owns a key at present, as far as this entry VM knows. */
export type KeyOwner =
  | {
    readonly kind: "owned";
    readonly server: contracts.ServerId;
    readonly bornMs: number;
    readonly fence: number;
  }
  /** Between two owners, or not granted yet. */
  | {
    readonly kind: "moving";
    /** How long it has had no owner. */
    readonly ageMs: number;
    /** How long the service's grants last. */
    readonly holdMs: number;
  }
  /** No ownership is known. */
  | { readonly kind: "unknown" };

/** What a queue of requests for keys needs besides. */
export interface KeyedQueueOptions {
  readonly ownerOf: (key: number) => KeyOwner;
  /** Where owners' slots are given out. */
  readonly slots: SlotSource;
}

/** Options of {@link ServiceQueue}. */
export interface ServiceQueueOptions {
  readonly zone: contracts.ZoneId;
  readonly times: ServiceTimes;
  readonly random: contracts.RandomSource;
  /** Absent for a service without keys. */
  readonly keyed?: KeyedQueueOptions;
  /** Absent where another VM limits what cold servers get. */
  readonly coldStarts?: ColdStartLimit | undefined;
  /** Present where all requests at the one server are known. */
  readonly reserve?: ShortRequestReserve;
  /** Region of an availability zone; undefined for an unknown one. */
  readonly regionOf?: (
    zone: contracts.ZoneId,
  ) => contracts.RegionId | undefined;
  /** Called when a request begins to wait. */
  readonly onWait?: () => void;
}

/**
 * Part of its time left that a late request may be expected to wait; beyond it
 * its caller is told at once to come back.
 */
const LATE_WAIT_FRACTION = 0.5;
/** Shortest and longest time after which a caller is asked to come back. */
const RETRY_AFTER_MIN_MS = 60;
const RETRY_AFTER_MAX_MS = 1_500;
/** Requests of a VM at servers of other cells, whose load it does not know. */
const OVERFLOW_REQUESTS = 1;
/** The same while the own cell has cold servers only, which bear little. */
const OVERFLOW_REQUESTS_WHILE_COLD = 4;
/** How long a key's move takes when its last owner gives it up. */
const HANDOVER_WAIT_MS = 250;
/** A planned move ends with the work that ran at its last owner. */
const MAX_PLANNED_HANDOVER_MS = 800;
/**
 * How long a lost owner's keys wait beyond the length of a grant: until all
 * that was granted has run out.
 */
const LOST_OWNER_WAIT_MS = 700;
/** Shortest wait that is expected of a key without owner. */
const MIN_HANDOVER_WAIT_MS = 100;
/** A request whose answer cannot come any more within this time is refused. */
const MIN_SERVICE_FRACTION = 0.5;

/** The queue of one service on one entry VM. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;
  readonly #loads = new Map<contracts.ServerId, ServerLoad>();
  #waiting: WaitingRequest[] = [];
  /** Servers that this VM's cell uses; undefined for all of them. */
  #inCell: ReadonlySet<contracts.ServerId> | undefined;
  readonly #order: PriorityOrder;
  #waitingElsewhere = 0;

  constructor(options: ServiceQueueOptions) {
    this.#options = options;
    this.#order = new PriorityOrder(options.times);
  }

  /** Requests that wait here. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Whether each key has one owner, who alone can serve it. */
  get isKeyed(): boolean {
    return this.#options.keyed !== undefined;
  }

  /** Servers as this queue knows them. */
  get loads(): ReadonlyMap<contracts.ServerId, ServerLoad> {
    return this.#loads;
  }

  /**
   * Takes over the list of the service's servers. In a deployment of several
   * cells `inCell` names those that this VM's cell uses; others only help out.
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
  }

  /** Requests of the service that wait at other entry VMs. */
  setWaitingElsewhere(count: number): void {
    this.#waitingElsewhere = count;
  }

  /** Sends, queues or refuses a request; its method is called for the first and last. */
  add(request: WaitingRequest, nowMs: number): void {
    if (this.#tryPlace(request, nowMs)) return;
    // Whether it can be served in time is known where its slot is given out.
    if (this.#awaitsSlot(request, nowMs)) return this.#insert(request);
    const reason = this.#blockedBy(request, nowMs);
    const waitMs = this.#expectedWaitMs(request, this.#waiting, nowMs);
    const isUnservable = reason === "no-server" || reason === "not-home";
    if (isUnservable || this.#isHopeless(request, waitMs, nowMs)) {
      request.refused(this.#refusal(request, reason, waitMs, nowMs));
      return;
    }
    this.#insert(request);
  }

  /** Takes a request out; false when it does not wait here. */
  cancel(request: WaitingRequest): boolean {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return false;
    this.#waiting.splice(index, 1);
    this.#options.keyed?.slots.cancel(request);
    return true;
  }

  /** A coordinator gave the request a slot: only this one has found room. */
  placeGranted(request: WaitingRequest, nowMs: number): void {
    const index = this.#waiting.indexOf(request);
    if (index < 0) return;
    this.#waiting.splice(index, 1);
    if (!this.#tryPlace(request, nowMs)) this.#insert(request);
  }

  /** A coordinator refused the request. */
  refuse(request: WaitingRequest, refusal: Refusal): void {
    if (this.cancel(request)) request.refused(refusal);
  }

  /** Sends what has found room. Called at each end and each news of load. */
  dispatch(nowMs: number): void {
    if (this.#waiting.length === 0) return;
    const rest: WaitingRequest[] = [];
    const queued = this.#order.sort(this.#waiting, nowMs);
    this.#waiting = [];
    const full = new Set<string>();
    for (const request of queued) {
      // Routes of one place may have different numbers of its slots.
      const place = `${this.#placeName(request)} ${request.route.name}`;
      if (!full.has(place) && this.#tryPlace(request, nowMs)) {
        this.#order.recordSent(request, queued);
        continue;
      }
      const isPlaceFull = request.tried.size === 0 &&
        !this.#awaitsSlot(request, nowMs);
      if (isPlaceFull) full.add(place);
      rest.push(request);
    }
    // A request that was placed may have ended at once and added others.
    this.#waiting = [...rest, ...this.#waiting];
  }

  /** Refuses those whose time no longer suffices; called at an interval. */
  refuseExpired(nowMs: number): void {
    const kept: WaitingRequest[] = [];
    const queued = this.#waiting;
    this.#waiting = [];
    for (const request of queued) {
      const serviceMs = this.#options.times.estimateMs(request.route) *
        MIN_SERVICE_FRACTION;
      const leftMs = request.answerByMs - nowMs;
      // The coordinator knows who else waits there.
      const waitMs = this.#awaitsSlot(request, nowMs)
        ? 0
        : this.#expectedWaitMs(request, kept, nowMs);
      if (leftMs > serviceMs && waitMs < leftMs) {
        kept.push(request);
        continue;
      }
      const reason = this.#blockedBy(request, nowMs);
      const refusal = this.#refusal(request, reason, waitMs, nowMs);
      this.#options.keyed?.slots.cancel(request);
      request.refused(refusal);
    }
    this.#waiting = [...kept, ...this.#waiting];
  }

  #context(nowMs: number): ranking.RankingContext {
    const { zone, times, random } = this.#options;
    const isCold = (server: contracts.ServerId) =>
      this.#options.coldStarts?.isCold(server, nowMs) ?? false;
    return { zone, times, random, nowMs, isCold };
  }

  #ownerOf(request: WaitingRequest): KeyOwner | undefined {
    const { keyed } = this.#options;
    if (keyed === undefined) return undefined;
    return request.key === undefined
      ? { kind: "unknown" }
      : keyed.ownerOf(request.key);
  }

  #tryPlace(request: WaitingRequest, nowMs: number): boolean {
    const owner = this.#ownerOf(request);
    return owner === undefined
      ? this.#tryAny(request, nowMs)
      : this.#tryOwner(request, owner, nowMs);
  }

  #tryAny(request: WaitingRequest, nowMs: number): boolean {
    const { coldStarts, reserve } = this.#options;
    if (reserve?.mayAcquire(request, nowMs) === false) return false;
    const open = this.#candidates(request, nowMs)
      .filter((load) =>
        ranking.hasCapacity(load, nowMs) &&
        (coldStarts?.mayStart(load.entry.server, nowMs) ?? true)
      );
    const context = this.#context(nowMs);
    const best = ranking.chooseServer(open, request, context);
    const isFree = best !== undefined &&
      best.outstanding(nowMs) < best.entry.slots;
    // A request behind a full server's slots waits for as long as work takes.
    const load = isFree ? best : this.#overflowServer(request, nowMs) ?? best;
    if (load === undefined) return false;
    coldStarts?.recordStart(load.entry.server, nowMs);
    const outstanding = load.outstanding(nowMs);
    request.placed({ load, outstanding, fence: undefined });
    return true;
  }

  /**
   * A server of another cell, when those of the own cell are full. Their load
   * is not known here, so a VM has only a few requests there at a time.
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
        this.#isUsable(load, request) &&
        !this.#isLimited(load.entry.server, nowMs) &&
        load.isUp(nowMs) && load.outstanding(nowMs) < load.entry.slots;
      if (isUsable) usable.push(load);
    }
    if (usable.length === 0) return undefined;
    const { zone, random } = this.#options;
    const near = usable.filter(({ entry }) => entry.zone === zone);
    const choice = near.length > 0 ? near : usable;
    return choice[Math.floor(random.next() * choice.length)];
  }

  /** Whether the own cell has no server that is warm. */
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
    const { slots } = this.#options.keyed!;
    if (!slots.tryAcquire(request, load, nowMs)) return false;
    const outstanding = load.outstanding(nowMs);
    const ended = slots.markInUse(request);
    request.placed({
      load,
      outstanding,
      fence: owner.fence,
      releaseSlot: ended,
    });
    return true;
  }

  /** Servers that a request may go to, whether or not they have room. */
  #candidates(request: WaitingRequest, nowMs: number): ServerLoad[] {
    const live = this.#usableServers(request, nowMs);
    const open = live.filter((load) => load.isUp(nowMs));
    // With every server suspended one of them is tried all the same.
    return open.length > 0 ? open : live;
  }

  /**
   * Those of the own cell; of all cells when it has none left. Cold servers are
   * shared out among VMs whatever their cell.
   */
  #usableServers(request: WaitingRequest, nowMs: number): ServerLoad[] {
    const all: ServerLoad[] = [];
    const own: ServerLoad[] = [];
    for (const load of this.#loads.values()) {
      if (!this.#isUsable(load, request)) continue;
      all.push(load);
      const { server } = load.entry;
      const isOwn = this.#isLimited(server, nowMs)
        ? this.#options.coldStarts!.ratePerSecond(server) > 0
        : this.#inCell?.has(server) ?? true;
      if (isOwn) own.push(load);
    }
    return own.length > 0 ? own : all;
  }

  /** Whether the server is cold and bears little load. */
  #isLimited(server: contracts.ServerId, nowMs: number): boolean {
    return this.#options.coldStarts?.isLimited(server, nowMs) ?? false;
  }

  /** Whether the request waits for a coordinator to give it its owner's slot. */
  #awaitsSlot(request: WaitingRequest, nowMs: number): boolean {
    const owner = this.#ownerOf(request);
    if (owner?.kind !== "owned") return false;
    const load = this.#loads.get(owner.server);
    // Nobody is asked for a slot of a server that is left alone for now.
    return load?.entry.bornMs === owner.bornMs && load.isUp(nowMs) &&
      this.#isHome(load.entry, request);
  }

  #blockedBy(request: WaitingRequest, nowMs: number): RefusalReason {
    const owner = this.#ownerOf(request);
    // Nothing can be waited for, not even the move of a key.
    if (this.#loads.size === 0) return "no-server";
    const isOutsideHome = owner?.kind === "owned"
      ? this.#isOwnerOutsideHome(owner.server, request)
      : this.#areAllOutsideHome(request);
    if (isOutsideHome) return "not-home";
    if (owner === undefined) {
      const isServed = this.#candidates(request, nowMs).length > 0;
      return isServed ? "no-room" : "no-server";
    }
    return owner.kind === "owned" ? "no-room" : "no-owner";
  }

  #isOwnerOutsideHome(
    server: contracts.ServerId,
    request: WaitingRequest,
  ): boolean {
    const load = this.#loads.get(server);
    return load !== undefined && !this.#isHome(load.entry, request);
  }

  /** Whether there are servers, but none in a region that may run it. */
  #areAllOutsideHome(request: WaitingRequest): boolean {
    if (request.route.homeRegions === undefined) return false;
    return [...this.#loads.values()]
      .every(({ entry }) => !this.#isHome(entry, request));
  }

  /** Where a request waits: requests of one place find room together. */
  #placeName(request: WaitingRequest): string {
    const owner = this.#ownerOf(request);
    return owner?.kind === "owned" ? owner.server : owner?.kind ?? "any";
  }

  /** Time until a request would leave, behind those listed that go first. */
  #expectedWaitMs(
    request: WaitingRequest,
    queued: readonly WaitingRequest[],
    nowMs: number,
  ): number {
    const owner = this.#ownerOf(request);
    if (owner?.kind === "moving") return handoverWaitMs(owner);
    if (owner?.kind === "unknown") return HANDOVER_WAIT_MS;
    const place = this.#placeName(request);
    const ahead =
      queued.filter((other) =>
        other.route.priority <= request.route.priority &&
        this.#placeName(other) === place
      ).length;
    const here = Math.max(1, queued.length);
    const { times } = this.#options;
    const meanMs = times.meanMs ?? times.estimateMs(request.route);
    if (owner?.kind === "owned") {
      const load = this.#loads.get(owner.server);
      if (load === undefined) return HANDOVER_WAIT_MS;
      return load.suspensionLeftMs(nowMs) +
        (ahead + 1) / this.#servedPerMs([load], meanMs, nowMs);
    }
    const heldBackMs = this.#heldBackWaitMs(request, queued, nowMs);
    if (heldBackMs !== undefined) return heldBackMs;
    const candidates = this.#candidates(request, nowMs);
    const perMs = this.#servedPerMs(candidates, meanMs, nowMs);
    const elsewhere = this.#waitingElsewhere * (ahead + 1) / here;
    return (ahead + 1 + elsewhere) / perMs;
  }

  /**
   * Wait of a route that may not have all slots: for others of its kind, in the
   * slots that it may have. Undefined for any other route.
   */
  #heldBackWaitMs(
    { route }: WaitingRequest,
    queued: readonly WaitingRequest[],
    nowMs: number,
  ): number | undefined {
    const { reserve, times } = this.#options;
    const [load] = this.#loads.values();
    if (reserve === undefined || load === undefined) return undefined;
    const { server, slots } = load.entry;
    const own = reserve.slotsFor(route, nowMs);
    if (own >= slots) return undefined;
    const ahead =
      queued.filter((other) => other.route.priority === route.priority).length;
    return (ahead + 1) * times.estimateMs(route) * times.latencyFactor(server) /
      own;
  }

  #servedPerMs(
    loads: readonly ServerLoad[],
    meanMs: number,
    nowMs: number,
  ): number {
    const { times, coldStarts } = this.#options;
    let perMs = 0;
    for (const { entry: { server, slots } } of loads) {
      const warmPerMs = slots /
        Math.max(1, meanMs * times.latencyFactor(server));
      const mostPerMs = this.#isLimited(server, nowMs)
        ? coldStarts!.ratePerSecond(server) / 1_000
        : warmPerMs;
      perMs += Math.min(warmPerMs, mostPerMs);
    }
    return Math.max(perMs, 1e-6);
  }

  #isHopeless(
    request: WaitingRequest,
    waitMs: number,
    nowMs: number,
  ): boolean {
    const serviceMs = this.#options.times.estimateMs(request.route);
    if (nowMs + waitMs + serviceMs <= request.targetMs) return false;
    const leftMs = request.answerByMs - nowMs;
    return waitMs > leftMs * LATE_WAIT_FRACTION || waitMs + serviceMs > leftMs;
  }

  #refusal(
    request: WaitingRequest,
    reason: RefusalReason,
    waitMs: number,
    nowMs: number,
  ): Refusal {
    const isOver = request.answerByMs <= nowMs;
    // Spreads out the return of callers refused together.
    const spreadMs = waitMs * (0.5 + this.#options.random.next());
    const retryAfterMs = Math.min(
      RETRY_AFTER_MAX_MS,
      Math.max(RETRY_AFTER_MIN_MS, spreadMs),
    );
    return {
      reason: isOver ? "timeout" : reason,
      retryAfterMs,
      expectedWaitMs: waitMs,
    };
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

/** How much longer a key that has no owner is expected to have none. */
function handoverWaitMs(
  { ageMs, holdMs }: Extract<KeyOwner, { kind: "moving" }>,
): number {
  const isPlanned = ageMs < MAX_PLANNED_HANDOVER_MS;
  const totalMs = isPlanned ? HANDOVER_WAIT_MS : holdMs + LOST_OWNER_WAIT_MS;
  return Math.max(MIN_HANDOVER_WAIT_MS, totalMs - ageMs);
}
