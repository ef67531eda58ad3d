/** The servers of one service's queue, and the choice among them. */
import type * as contracts from "@guavatide/contracts";
import { ServerLoad } from "./server_load.ts";
import * as ranking from "./server_ranking.ts";
import type { KeyOwner, ServiceQueueOptions } from "./service_queue_options.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Concurrent requests to servers of other cells, whose load is not known here.
 */
const OVERFLOW_REQUESTS = 1;
/**
 * The same while the own cell has only cold servers, which sustain little load.
 */
const OVERFLOW_REQUESTS_WHILE_COLD = 4;
/** A back-off that ends within this time is waited for. */
const MAX_BACKOFF_WAIT_MS = 10;
/** Owners that were found missing are remembered for this long. */
const MISSING_OWNER_TTL_MS = 60_000;
/** A request without a key has no owner at a service with keys. */
export const NO_KEY_OWNER: KeyOwner = { kind: "unknown", ageMs: 0 };

/** Servers of one service as its queue sees them. */
export class QueueServers {
  readonly #options: ServiceQueueOptions;
  readonly #loads = new Map<contracts.ServerId, ServerLoad>();
  /** Servers that this VM's cell uses; undefined for all servers. */
  #inCell: ReadonlySet<contracts.ServerId> | undefined;
  /** Owners of keys that may get no requests, and since when; oldest first. */
  readonly #missingSinceMs = new Map<string, number>();

  constructor(options: ServiceQueueOptions) {
    this.#options = options;
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
    for (const entry of entries) {
      this.#missingSinceMs.delete(incarnationName(entry));
    }
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

  #context(nowMs: number): ranking.RankingContext {
    const { zone, times, random } = this.#options;
    const isCold = (server: contracts.ServerId) =>
      this.#options.rateLimits?.isCold(server, nowMs) ?? false;
    return { zone, times, random, nowMs, isCold };
  }

  /**
   * Owner of a request's key; undefined at a service without keys. One that may
   * get no requests any more counts as unknown: its keys wait for a successor.
   */
  ownerOf(request: WaitingRequest, nowMs: number): KeyOwner | undefined {
    const { keyed, mayReceive } = this.#options;
    if (keyed === undefined) return undefined;
    if (request.key === undefined) return NO_KEY_OWNER;
    const owner = keyed.ownerOf(request.key);
    if (owner.kind !== "owned") return owner;
    const load = this.#loads.get(owner.server);
    const isUsed = load?.entry.bornMs === owner.bornMs &&
      (mayReceive?.(load.entry) ?? true);
    if (isUsed) return owner;
    return { kind: "unknown", ageMs: this.#missingMs(owner, nowMs) };
  }

  /** Time since an owner was first found missing. */
  #missingMs(owner: contracts.RangeOwner, nowMs: number): number {
    const name = incarnationName(owner);
    const sinceMs = this.#missingSinceMs.get(name);
    if (sinceMs !== undefined) return nowMs - sinceMs;
    for (const [other, otherSinceMs] of this.#missingSinceMs) {
      if (nowMs - otherSinceMs <= MISSING_OWNER_TTL_MS) break;
      this.#missingSinceMs.delete(other);
    }
    this.#missingSinceMs.set(name, nowMs);
    return 0;
  }

  /** The best server with room for a request; undefined for none. */
  chooseFree(request: WaitingRequest, nowMs: number): ServerLoad | undefined {
    const { rateLimits } = this.#options;
    const free = this.candidates(request, nowMs)
      .filter((load) =>
        ranking.hasCapacity(load, nowMs) && this.mayStart(load, nowMs) &&
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
  cappedServers(request: WaitingRequest, nowMs: number): ServerLoad[] {
    return [...this.#loads.values()].filter((load) =>
      this.#isCapped(load) && this.#isUsable(load, request) &&
      load.isUp(nowMs) && this.mayStart(load, nowMs)
    );
  }

  /** Whether the server has not asked for a back-off, or it is over. */
  mayStart({ entry }: ServerLoad, nowMs: number): boolean {
    return this.#options.backoffs?.mayStart(entry.server, nowMs) ?? true;
  }

  /** Whether any server has asked this VM or another one to back off. */
  get #hasBackoffs(): boolean {
    const { backoffs, peerBackoffs } = this.#options;
    return (backoffs?.hasAny ?? false) || (peerBackoffs?.hasAny ?? false);
  }

  /** Time for which a server's back-off is not worth waiting for; else 0. */
  backoffLeftMs({ entry }: ServerLoad, nowMs: number): number {
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
  shortestBackoffMs(request: WaitingRequest, nowMs: number): number {
    if (!this.#hasBackoffs) return 0;
    const owner = this.ownerOf(request, nowMs);
    if (owner !== undefined) {
      const load = owner.kind === "owned"
        ? this.#loads.get(owner.server)
        : undefined;
      return load === undefined ? 0 : this.backoffLeftMs(load, nowMs);
    }
    let shortestMs = Number.POSITIVE_INFINITY;
    for (const load of this.#loads.values()) {
      if (!this.#isUsable(load, request)) continue;
      shortestMs = Math.min(shortestMs, this.backoffLeftMs(load, nowMs));
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
        !this.isLimited(load.entry.server, nowMs) &&
        load.isUp(nowMs) && this.mayStart(load, nowMs) &&
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
    return [...this.#inCell!].every((server) => this.isLimited(server, nowMs));
  }

  #isUsable({ entry }: ServerLoad, request: WaitingRequest): boolean {
    return !entry.isDraining && !request.tried.has(entry.server) &&
      this.isHome(entry, request);
  }

  /** Whether the server's region may run the request. */
  isHome(
    { zone }: contracts.RegisteredServer,
    { route: { homeRegions } }: WaitingRequest,
  ): boolean {
    if (homeRegions === undefined) return true;
    const region = this.#options.regionOf?.(zone);
    return region !== undefined && homeRegions.has(region);
  }

  /** Servers that a request may go to, with or without capacity. */
  candidates(request: WaitingRequest, nowMs: number): ServerLoad[] {
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
      if (this.backoffLeftMs(load, nowMs) > 0) continue;
      all.push(load);
      const { server } = load.entry;
      const isOwn = this.isLimited(server, nowMs)
        ? this.#options.rateLimits!.ratePerSecond(server, nowMs) > 0
        : this.#inCell?.has(server) ?? true;
      if (isOwn) own.push(load);
    }
    return own.length > 0 ? own : all;
  }

  /** Whether the server is cold and its rate is limited. */
  isLimited(server: contracts.ServerId, nowMs: number): boolean {
    return this.#options.rateLimits?.isLimited(server, nowMs) ?? false;
  }

  /**
   * Whether no VM reaches the owner of a key, or any server that could become
   * it; without keys, any server that may run the request.
   */
  isUnreached(
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
      .filter(({ entry }) => !entry.isDraining && this.isHome(entry, request));
    return next.length > 0 &&
      next.every(({ entry }) => reachOf(entry.server) !== "reached");
  }

  /** Whether this queue applies the limit that its server has named. */
  isNamed(): boolean {
    const { rateLimits } = this.#options;
    if (rateLimits === undefined || this.#loads.size !== 1) return false;
    const [server] = this.#loads.keys();
    return rateLimits.isNamed(server!);
  }

  /** Whether the owner is outside the regions that may run the request. */
  isOwnerOutsideHome(
    server: contracts.ServerId,
    request: WaitingRequest,
  ): boolean {
    const load = this.#loads.get(server);
    return load !== undefined && !this.isHome(load.entry, request);
  }

  /** Whether no server is in a region that may run the request. */
  areAllOutsideHome(request: WaitingRequest): boolean {
    if (request.route.homeRegions === undefined) return false;
    return [...this.#loads.values()]
      .every(({ entry }) => !this.isHome(entry, request));
  }

  /** Identifies the servers that a request waits for. */
  destinationOf(request: WaitingRequest, nowMs: number): string {
    const owner = this.ownerOf(request, nowMs);
    return owner?.kind === "owned" ? owner.server : owner?.kind ?? "any";
  }
}

function incarnationName({ server, bornMs }: contracts.RangeOwner): string {
  return `${server}/${bornMs}`;
}
