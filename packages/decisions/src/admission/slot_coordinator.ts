/**
 * Grants the slots of servers that own keys, by priority and by which requests
 * can still be answered in time. One entry VM coordinates each server: VMs see
 * one another's requests late and would together overload it. Granting a slot
 * twice, as two coordinators may do after a failover, is safe: it only makes
 * the server's own queue longer.
 */
import type * as contracts from "@guavatide/contracts";
import { LimitedKeys } from "./limited_keys.ts";
import type { ServerRateLimit } from "./server_rate_limit.ts";
import { hasCapacity } from "./server_ranking.ts";
import { ServiceQueue } from "./service_queue.ts";
import { ServiceTimes } from "./service_times.ts";
import { ShortRequestReserve } from "./short_request_reserve.ts";
import type {
  PrioritizedRoute,
  Refusal,
  RequestStanding,
  WaitingRequest,
} from "./waiting_request.ts";

/** A server whose slots are requested. */
export interface SlotServer {
  readonly service: contracts.ServiceId;
  readonly server: contracts.ServerId;
  /** When this incarnation of the server started. */
  readonly bornMs: number;
  /** Requests that the server runs at once. */
  readonly slots: number;
}

/** An entry VM's request for one slot. */
export interface SlotRequest extends SlotServer {
  /** Assigned by the VM; increases with each of its slot requests. */
  readonly id: number;
  readonly vm: contracts.VmId;
  readonly route: PrioritizedRoute;
  /** Hash of the request's key; absent from VMs of earlier versions. */
  readonly key?: number | undefined;
  /** See {@link WaitingRequest}. */
  readonly targetMs: number;
  /** See {@link WaitingRequest}. */
  readonly answerByMs: number;
  /** See {@link WaitingRequest}. */
  readonly standing?: RequestStanding | undefined;
}

/** A slot that an entry VM reports as held. */
export type HeldSlot = Omit<
  SlotRequest,
  "vm" | "targetMs" | "answerByMs" | "standing"
>;

/** A coordinator's decision on a slot request. */
export type SlotDecision = Pick<SlotRequest, "vm" | "id"> & {
  readonly kind: "given" | "queued" | "refused";
  /** Present when refused. */
  readonly refusal?: Refusal;
};

/** A slot in use, for logs. */
export interface HeldSlotReport {
  readonly vm: contracts.VmId;
  readonly id: number;
  readonly ageMs: number;
  /** Time since the grant or the VM's last list with the slot. */
  readonly unlistedMs: number;
}

/** Why requests for slots of a stalled server are refused. */
export interface StallReport {
  readonly server: SlotServer;
  /** How long it has had requests and answered none. */
  readonly unansweredMs: number;
  readonly held: readonly HeldSlotReport[];
}

/** Options of {@link SlotCoordinator}. */
export interface SlotCoordinatorOptions {
  readonly zone: contracts.ZoneId;
  readonly random: contracts.RandomSource;
  /** Called with each decision, to be sent to its VM. */
  readonly onDecision: (decision: SlotDecision) => void;
  /**
   * Limits the slots granted at a service's cold servers; no limit if absent.
   */
  readonly rateLimitsOf?: (
    service: contracts.ServiceId,
  ) => ServerRateLimit | undefined;
  /** Whether another server can take over what this one owns; no if absent. */
  readonly isReplaceable?: (server: SlotServer) => boolean;
  /** Whether callers have shares; no if absent. */
  readonly hasShares?: () => boolean;
  /**
   * Service times that this VM has measured at all servers of a service;
   * without them, the servers coordinated here are compared with one another.
   */
  readonly timesOf?: (
    service: contracts.ServiceId,
  ) => ServiceTimes | undefined;
  /** Called when a key asks for more than its server has left for it. */
  readonly onKeyLimited?: (server: SlotServer, key: number) => void;
  /** Called for each request refused while its server has stalled. */
  readonly onStallRefusal?: (report: StallReport) => void;
  /** Called when a slot is freed that its VM has stopped listing. */
  readonly onSlotLost?: (server: SlotServer, slot: HeldSlotReport) => void;
}

/**
 * A slot is freed when its VM's reports leave it out this long after the grant:
 * the message that granted or the one that released it was lost.
 */
const UNLISTED_SLOT_TTL_MS = 300;
/**
 * A slot that its VM has not listed for this long is freed. VMs list the slots
 * in use at least each 700 ms, so two lists are missing; a VM that uses none
 * sends no list, and the release of its last slot may have been lost.
 */
const LOST_SLOT_TTL_MS = 2_000;
/**
 * Without a message from a VM for this long, its slots and requests are
 * dropped.
 */
const UNRESPONSIVE_VM_TIMEOUT_MS = 2_000;
/**
 * A busy server that ends no request for this time, and for this many times the
 * usual time of one, has stalled.
 */
const STALL_MIN_MS = 400;
const STALL_RATIO = 4;
/** An owner that answers nothing is replaced within this time. */
const OWNER_REPLACEMENT_MS = 4_000;
/** State of a server without any slot request for this long is dropped. */
const IDLE_SERVER_TTL_MS = 10_000;

interface HeldSlotState {
  readonly vm: contracts.VmId;
  readonly id: number;
  readonly route: PrioritizedRoute;
  readonly grantedMs: number;
  /** When it was granted or its VM last listed it. */
  listedMs: number;
  /** Whether its request waits at the server, which runs no more at once. */
  isWaiting: boolean;
  /** How long it has waited there. */
  waitedMs: number;
  readonly release: (nowMs: number) => void;
}

/** Coordinator on one entry VM, for all servers whose slots it grants. */
export class SlotCoordinator {
  readonly #options: SlotCoordinatorOptions;
  readonly #servers = new Map<string, ServerSlotAllocator>();
  readonly #times = new Map<contracts.ServiceId, ServiceTimes>();
  readonly #lastMessageMs = new Map<contracts.VmId, number>();

  constructor(options: SlotCoordinatorOptions) {
    this.#options = options;
  }

  /**
   * Handles a slot request. Idempotent: a repeated one gets its current state.
   */
  request(request: SlotRequest, nowMs: number): void {
    this.#lastMessageMs.set(request.vm, nowMs);
    this.#allocatorOf(request).request(request, nowMs);
  }

  /**
   * Releases a slot or cancels a slot request. `tookMs` is the time of a
   * request that was answered.
   */
  release(
    vm: contracts.VmId,
    id: number,
    { tookMs, nowMs }: { readonly tookMs?: number; readonly nowMs: number },
  ): void {
    const key = requestKey(vm, id);
    for (const server of this.#servers.values()) {
      if (server.release(key, tookMs, nowMs)) return;
    }
  }

  /**
   * Takes over a VM's list of all slots that it holds from this coordinator.
   */
  reconcileHeld(
    vm: contracts.VmId,
    slots: readonly HeldSlot[],
    nowMs: number,
  ): void {
    this.#lastMessageMs.set(vm, nowMs);
    const listed = new Set(slots.map(({ id }) => requestKey(vm, id)));
    for (const server of this.#servers.values()) {
      server.dropUnlisted(vm, listed, nowMs);
    }
    for (const slot of slots) this.#allocatorOf(slot).adopt(vm, slot, nowMs);
  }

  /**
   * Refuses requests that can't be answered in time, and drops unresponsive VMs
   * and idle servers. Called at an interval.
   */
  sweep(nowMs: number): void {
    for (const [vm, messageMs] of this.#lastMessageMs) {
      if (nowMs - messageMs < UNRESPONSIVE_VM_TIMEOUT_MS) continue;
      this.#lastMessageMs.delete(vm);
      for (const server of this.#servers.values()) {
        server.dropVm(vm, nowMs);
      }
    }
    for (const [name, server] of this.#servers) {
      server.sweep(nowMs);
      if (server.isIdle(nowMs)) this.#servers.delete(name);
    }
  }

  /** Whether any slot request is pending here. */
  get hasPending(): boolean {
    for (const { hasPending } of this.#servers.values()) {
      if (hasPending) return true;
    }
    return false;
  }

  /**
   * Each server's service time relative to the service's mean; 1 is the mean.
   */
  latencyFactors(
    service: contracts.ServiceId,
  ): Map<contracts.ServerId, number> {
    const factors = new Map<contracts.ServerId, number>();
    const times = this.#times.get(service);
    if (times === undefined) return factors;
    for (const { server } of this.#servers.values()) {
      if (server.service !== service) continue;
      factors.set(server.server, times.latencyFactor(server.server));
    }
    return factors;
  }

  #timesOf(service: contracts.ServiceId): ServiceTimes {
    const found = this.#times.get(service);
    if (found !== undefined) return found;
    const created = new ServiceTimes(this.#options.timesOf?.(service));
    this.#times.set(service, created);
    return created;
  }

  #allocatorOf(server: SlotServer): ServerSlotAllocator {
    const name = `${server.server}/${server.bornMs}`;
    const found = this.#servers.get(name);
    if (found !== undefined) return found;
    const times = this.#timesOf(server.service);
    const created = new ServerSlotAllocator(server, times, this.#options);
    this.#servers.set(name, created);
    return created;
  }
}

function requestKey(vm: contracts.VmId, id: number): string {
  return `${vm}/${id}`;
}

/** Allocates the slots of one server. */
class ServerSlotAllocator {
  readonly server: SlotServer;
  readonly #times: ServiceTimes;
  readonly #queue: ServiceQueue;
  readonly #reserve: ShortRequestReserve;
  readonly #rateLimits: ServerRateLimit | undefined;
  readonly #decide: (decision: SlotDecision) => void;
  readonly #isReplaceable: () => boolean;
  readonly #onKeyLimited: (key: number) => void;
  readonly #limitedKeys: LimitedKeys;
  readonly #onStallRefusal: SlotCoordinatorOptions["onStallRefusal"];
  readonly #onSlotLost: SlotCoordinatorOptions["onSlotLost"];
  readonly #pending = new Map<string, PendingSlotRequest>();
  readonly #held = new Map<string, HeldSlotState>();
  /** Time of the latest call, for the callbacks that run during it. */
  #nowMs = 0;
  #lastRequestMs = 0;
  /** Since when it has had requests and answered none. */
  #unansweredSinceMs = Number.POSITIVE_INFINITY;

  constructor(
    server: SlotServer,
    times: ServiceTimes,
    options: SlotCoordinatorOptions,
  ) {
    const { zone, random, onDecision, rateLimitsOf, isReplaceable } = options;
    const { hasShares } = options;
    this.server = server;
    this.#onKeyLimited = (key) => options.onKeyLimited?.(server, key);
    this.#limitedKeys = new LimitedKeys({ ...server, times, random });
    this.#isReplaceable = () => isReplaceable?.(server) ?? false;
    this.#onStallRefusal = options.onStallRefusal;
    this.#onSlotLost = options.onSlotLost;
    this.#times = times;
    this.#decide = onDecision;
    const rateLimits = rateLimitsOf?.(server.service);
    this.#rateLimits = rateLimits;
    const reserve = new ShortRequestReserve(times, server.slots);
    this.#reserve = reserve;
    this.#queue = new ServiceQueue({
      zone,
      times,
      random,
      rateLimits,
      reserve,
      stalledMs: (nowMs) => this.#stalledMs(nowMs),
      shares: hasShares && {
        get isActive() {
          return hasShares();
        },
        refusesLate: false,
        // How much callers at all VMs demand of one server is not known.
        leftRatio: () => 1,
        queuePerSecond: () => undefined,
      },
    });
    this.#queue.setServers([serverEntryOf(server, zone)]);
  }

  get hasPending(): boolean {
    return this.#pending.size > 0;
  }

  request(request: SlotRequest, nowMs: number): void {
    this.#lastRequestMs = nowMs;
    this.#nowMs = nowMs;
    const { vm, id } = request;
    const key = requestKey(vm, id);
    if (this.#held.has(key)) return this.#decide({ vm, id, kind: "given" });
    if (this.#pending.has(key)) return this.#decide({ vm, id, kind: "queued" });
    const pending = new PendingSlotRequest(request, {
      onGranted: () => {
        this.#pending.delete(key);
        this.#hold(request, this.#nowMs);
        this.#decide({ vm, id, kind: "given" });
      },
      onRefused: (refusal) => {
        this.#pending.delete(key);
        this.#reportStall();
        this.#decide({ vm, id, kind: "refused", refusal });
      },
    });
    this.#pending.set(key, pending);
    this.#reserve.recordRequest(request.route, nowMs);
    // A limited rate allows the next request between two sweeps.
    if (this.#rateLimits?.isNamed(this.server.server)) {
      this.#queue.dispatch(nowMs);
    }
    this.#limitedKeys.recordRequest(pending, nowMs);
    this.#reviewLimitedKeys(nowMs);
    if (this.#limitedKeys.isLimited(pending.key)) {
      this.#limitedKeys.add(pending, nowMs);
      this.#grantToLimitedKeys(nowMs);
    } else this.#queue.add(pending, nowMs);
    if (this.#pending.has(key)) this.#decide({ vm, id, kind: "queued" });
  }

  /** Returns whether the slot or slot request was found here. */
  release(key: string, tookMs: number | undefined, nowMs: number): boolean {
    this.#nowMs = nowMs;
    const pending = this.#pending.get(key);
    if (pending !== undefined) {
      this.#pending.delete(key);
      this.#cancel(pending);
      return true;
    }
    const held = this.#held.get(key);
    if (held === undefined) return false;
    this.#held.delete(key);
    held.release(nowMs);
    this.#noteSlotFreed(nowMs);
    if (tookMs !== undefined) {
      const servedMs = Math.max(1, tookMs - held.waitedMs);
      this.#times.record(held.route, this.server.server, servedMs, nowMs);
      this.#unansweredSinceMs = nowMs;
    }
    if (this.#held.size === 0) {
      this.#unansweredSinceMs = Number.POSITIVE_INFINITY;
    }
    this.#grantToLimitedKeys(nowMs);
    this.#queue.dispatch(nowMs);
    this.#grantToLimitedKeys(nowMs);
    return true;
  }

  /** Takes over a slot that the VM holds and this coordinator doesn't know. */
  adopt(vm: contracts.VmId, { id, route }: HeldSlot, nowMs: number): void {
    const found = this.#held.get(requestKey(vm, id));
    if (found === undefined) this.#hold({ vm, id, route }, nowMs);
    else found.listedMs = nowMs;
  }

  /** Frees the VM's slots that it does not list any more. */
  dropUnlisted(
    vm: contracts.VmId,
    listed: ReadonlySet<string>,
    nowMs: number,
  ): void {
    for (const [key, { grantedMs }] of this.#held) {
      const isExpired = key.startsWith(`${vm}/`) && !listed.has(key) &&
        nowMs - grantedMs >= UNLISTED_SLOT_TTL_MS;
      if (isExpired) this.release(key, undefined, nowMs);
    }
  }

  /** Drops the VM's slot requests, then frees its slots. */
  dropVm(vm: contracts.VmId, nowMs: number): void {
    // In this order: a freed slot goes to the next request at once.
    for (const [key, pending] of this.#pending) {
      if (pending.vm !== vm) continue;
      this.#pending.delete(key);
      this.#cancel(pending);
    }
    for (const key of [...this.#held.keys()]) {
      if (!key.startsWith(`${vm}/`)) continue;
      // Whether they were answered is not known.
      this.#unansweredSinceMs = nowMs;
      this.release(key, undefined, nowMs);
    }
  }

  #freeLost(nowMs: number): void {
    for (const [key, slot] of [...this.#held]) {
      if (nowMs - slot.listedMs < LOST_SLOT_TTL_MS) continue;
      this.#onSlotLost?.(this.server, reportOf(slot, nowMs));
      // Whether it was answered is not known.
      this.#unansweredSinceMs = nowMs;
      this.release(key, undefined, nowMs);
    }
  }

  #reportStall(): void {
    if (this.#onStallRefusal === undefined) return;
    if (this.#stalledMs(this.#nowMs) === 0) return;
    this.#onStallRefusal({
      server: this.server,
      unansweredMs: this.#nowMs - this.#unansweredSinceMs,
      held: [...this.#held.values()].map((slot) => reportOf(slot, this.#nowMs)),
    });
  }

  sweep(nowMs: number): void {
    this.#nowMs = nowMs;
    this.#freeLost(nowMs);
    this.#reviewLimitedKeys(nowMs);
    if (this.#queue.waiting > 0) {
      this.#queue.dispatch(nowMs);
      this.#queue.refuseExpired(nowMs);
    }
    if (!this.#limitedKeys.hasWaiting) return;
    this.#limitedKeys.refuseExpired(nowMs);
    this.#grantToLimitedKeys(nowMs);
  }

  isIdle(nowMs: number): boolean {
    return this.#held.size === 0 && this.#pending.size === 0 &&
      nowMs - this.#lastRequestMs > IDLE_SERVER_TTL_MS;
  }

  /** The request that has waited longest at the server starts now. */
  #noteSlotFreed(nowMs: number): void {
    for (const held of this.#held.values()) {
      if (!held.isWaiting) continue;
      held.isWaiting = false;
      held.waitedMs = nowMs - held.grantedMs;
      return;
    }
  }

  #cancel(pending: PendingSlotRequest): void {
    if (!this.#limitedKeys.cancel(pending)) this.#queue.cancel(pending);
  }

  /** Queues the requests of keys that are newly limited by themselves. */
  #reviewLimitedKeys(nowMs: number): void {
    const isFull = this.#held.size >= this.server.slots;
    if (!isFull && !this.#limitedKeys.hasAny) return;
    const onRegular = (request: WaitingRequest) =>
      this.#queue.add(request, nowMs);
    // What waits for a server that ends nothing is refused, whatever its key.
    if (this.#stalledMs(nowMs) > 0) return this.#limitedKeys.clear(onRegular);
    const added = this.#limitedKeys.review(nowMs, onRegular);
    for (const key of added) {
      this.#onKeyLimited(key);
      for (const pending of [...this.#pending.values()]) {
        const isQueued = pending.key === key && this.#queue.cancel(pending);
        if (isQueued) this.#limitedKeys.add(pending, nowMs);
      }
    }
  }

  /** Grants limited keys the slots that no other key's request waits for. */
  #grantToLimitedKeys(nowMs: number): void {
    const load = this.#queue.loads.get(this.server.server)!;
    while (this.#limitedKeys.hasWaiting && hasCapacity(load, nowMs)) {
      const othersWait = this.#queue.waiting > 0;
      const next = this.#limitedKeys.next(nowMs, { othersWait });
      if (next === undefined || !this.#reserve.mayAcquire(next, nowMs)) return;
      const mayStart = this.#rateLimits?.mayStart(this.server.server, nowMs);
      if (mayStart === false) return;
      this.#limitedKeys.take(next, nowMs);
      this.#queue.add(next, nowMs);
    }
  }

  #stalledMs(nowMs: number): number {
    const sinceMs = nowMs - this.#unansweredSinceMs;
    const { server } = this.server;
    const meanMs = this.#times.meanMs ?? 0;
    const usualMs = meanMs * this.#times.latencyFactor(server);
    if (sinceMs < Math.max(STALL_MIN_MS, STALL_RATIO * usualMs)) return 0;
    return this.#isReplaceable()
      ? Math.max(0, sinceMs - OWNER_REPLACEMENT_MS)
      : sinceMs;
  }

  #hold(
    { vm, id, route }: Pick<SlotRequest, "vm" | "id" | "route">,
    nowMs: number,
  ): void {
    this.#unansweredSinceMs = Math.min(this.#unansweredSinceMs, nowMs);
    const end = this.#queue.loads.get(this.server.server)!.startRequest(nowMs);
    const releaseReserve = this.#reserve.acquire(route);
    const release = (endedMs: number) => {
      releaseReserve();
      end({ kind: "abandoned" }, endedMs);
    };
    this.#held.set(requestKey(vm, id), {
      vm,
      id,
      route,
      grantedMs: nowMs,
      listedMs: nowMs,
      isWaiting: this.#held.size >= this.server.slots,
      waitedMs: 0,
      release,
    });
  }
}

function reportOf(
  { vm, id, grantedMs, listedMs }: HeldSlotState,
  nowMs: number,
): HeldSlotReport {
  return { vm, id, ageMs: nowMs - grantedMs, unlistedMs: nowMs - listedMs };
}

/** Called when a slot request is decided. */
interface SlotRequestCallbacks {
  onGranted(): void;
  onRefused(refusal: Refusal): void;
}

/** A slot request as an entry of the queue. */
class PendingSlotRequest implements WaitingRequest {
  readonly vm: contracts.VmId;
  readonly route: PrioritizedRoute;
  readonly key: number | undefined;
  readonly bodyBytes = 0;
  readonly targetMs: number;
  readonly answerByMs: number;
  readonly standing: RequestStanding | undefined;
  readonly tried = new Set<contracts.ServerId>();
  readonly #callbacks: SlotRequestCallbacks;

  constructor(request: SlotRequest, callbacks: SlotRequestCallbacks) {
    this.vm = request.vm;
    this.route = request.route;
    this.key = request.key;
    this.standing = request.standing;
    this.targetMs = request.targetMs;
    this.answerByMs = request.answerByMs;
    this.#callbacks = callbacks;
  }

  placed(): void {
    this.#callbacks.onGranted();
  }

  refused(refusal: Refusal): void {
    this.#callbacks.onRefused(refusal);
  }
}

/**
 * Fills in the fields that a queue expects; a coordinator uses only the slots.
 */
function serverEntryOf(
  { service, server, bornMs, slots }: SlotServer,
  zone: contracts.ZoneId,
): contracts.RegisteredServer {
  return {
    service,
    server,
    bornMs,
    slots,
    zone,
    host: "",
    port: 0,
    isDraining: false,
    warmUpLeftMs: 0,
  };
}
