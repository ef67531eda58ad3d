/**
 * Gives out the slots of servers that own keys, by rank and by what can still
 * be answered in time. One VM does so for each owner: VMs see one another's
 * requests late and would together overrun it. A slot given twice, as by two
 * coordinators after a loss, only makes the server's queue longer.
 */
import type * as contracts from "@guavatide/contracts";
import type { ColdStartLimit } from "./cold_start_limit.ts";
import { ServiceQueue } from "./service_queue.ts";
import { ServiceTimes } from "./service_times.ts";
import { ShortRequestReserve } from "./short_request_reserve.ts";
import type {
  PrioritizedRoute,
  Refusal,
  WaitingRequest,
} from "./waiting_request.ts";

/** A server whose slots are asked for. */
export interface SlotServer {
  readonly service: contracts.ServiceId;
  readonly server: contracts.ServerId;
  readonly bornMs: number;
  readonly slots: number;
}

/** A request at some entry VM that asks for a slot. */
export interface SlotRequest extends SlotServer {
  /** Drawn by the VM; rises with each of its wishes. */
  readonly id: number;
  readonly vm: contracts.VmId;
  readonly route: PrioritizedRoute;
  readonly targetMs: number;
  readonly answerByMs: number;
}

/** A slot that an entry VM says it has. */
export type HeldSlot = Omit<SlotRequest, "vm" | "targetMs" | "answerByMs">;

/** What a coordinator says to a wish. */
export type SlotDecision = Pick<SlotRequest, "vm" | "id"> & {
  readonly kind: "given" | "queued" | "refused";
  /** Present when refused. */
  readonly refusal?: Refusal;
};

/** Options of {@link SlotCoordinator}. */
export interface SlotCoordinatorOptions {
  readonly zone: contracts.ZoneId;
  readonly random: contracts.RandomSource;
  readonly onDecision: (decision: SlotDecision) => void;
  /** What this VM may give out of a service's cold servers; absent for all. */
  readonly coldStartsOf?: (
    service: contracts.ServiceId,
  ) => ColdStartLimit | undefined;
}

/**
 * A slot that its VM does not list for this long is free again: the word that
 * gave it, or that of its end, was lost.
 */
const UNLISTED_SLOT_TTL_MS = 300;
/** Slots and wishes of a VM that was not heard for so long are dropped. */
const UNRESPONSIVE_VM_TIMEOUT_MS = 2_000;
/** A server that nobody asked for is forgotten after this time. */
const IDLE_SERVER_TTL_MS = 10_000;

interface HeldSlotState {
  readonly route: PrioritizedRoute;
  readonly grantedMs: number;
  readonly release: (nowMs: number) => void;
}

/** The coordinator of one entry VM, for all servers whose slots it gives out. */
export class SlotCoordinator {
  readonly #options: SlotCoordinatorOptions;
  readonly #servers = new Map<string, ServerSlotAllocator>();
  readonly #times = new Map<contracts.ServiceId, ServiceTimes>();
  readonly #heardMs = new Map<contracts.VmId, number>();

  constructor(options: SlotCoordinatorOptions) {
    this.#options = options;
  }

  /** Takes a wish; one that is known already is answered as it stands. */
  request(wish: SlotRequest, nowMs: number): void {
    this.#heardMs.set(wish.vm, nowMs);
    this.#slotsOf(wish).request(wish, nowMs);
  }

  /** A slot is free again, or a wish is over; `tookMs` of an answered request. */
  release(
    vm: contracts.VmId,
    id: number,
    { tookMs, nowMs }: { readonly tookMs?: number; readonly nowMs: number },
  ): void {
    const name = requestKey(vm, id);
    for (const server of this.#servers.values()) {
      if (server.release(name, tookMs, nowMs)) return;
    }
  }

  /** All slots that a VM has of this coordinator, as it knows them. */
  reconcileHeld(
    vm: contracts.VmId,
    slots: readonly HeldSlot[],
    nowMs: number,
  ): void {
    this.#heardMs.set(vm, nowMs);
    const listed = new Set(slots.map(({ id }) => requestKey(vm, id)));
    for (const server of this.#servers.values()) {
      server.dropUnlisted(vm, listed, nowMs);
    }
    for (const slot of slots) this.#slotsOf(slot).adopt(vm, slot, nowMs);
  }

  /** Refuses what waits in vain; forgets VMs and servers that are gone. */
  sweep(nowMs: number): void {
    for (const [vm, heardMs] of this.#heardMs) {
      if (nowMs - heardMs < UNRESPONSIVE_VM_TIMEOUT_MS) continue;
      this.#heardMs.delete(vm);
      for (const server of this.#servers.values()) {
        server.dropUnlisted(vm, new Set(), nowMs);
        server.dropPending(vm);
      }
    }
    for (const [name, server] of this.#servers) {
      server.sweep(nowMs);
      if (server.isIdle(nowMs)) this.#servers.delete(name);
    }
  }

  /** Whether some request waits for a slot given out here. */
  get hasPending(): boolean {
    for (const { hasPending: hasWishes } of this.#servers.values()) {
      if (hasWishes) return true;
    }
    return false;
  }

  /** How much longer than average each server takes, by server. */
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

  #slotsOf(server: SlotServer): ServerSlotAllocator {
    const name = `${server.server}/${server.bornMs}`;
    const found = this.#servers.get(name);
    if (found !== undefined) return found;
    const times = this.#times.get(server.service) ?? new ServiceTimes();
    this.#times.set(server.service, times);
    const created = new ServerSlotAllocator(server, times, this.#options);
    this.#servers.set(name, created);
    return created;
  }
}

function requestKey(vm: contracts.VmId, id: number): string {
  return `${vm}/${id}`;
}

/** One server's slots and the wishes for them. */
class ServerSlotAllocator {
  readonly server: SlotServer;
  readonly #times: ServiceTimes;
  readonly #queue: ServiceQueue;
  readonly #reserve: ShortRequestReserve;
  readonly #decide: (decision: SlotDecision) => void;
  readonly #wishes = new Map<string, PendingSlotRequest>();
  readonly #held = new Map<string, HeldSlotState>();
  /** Time of the latest call: slots are given in the course of it. */
  #nowMs = 0;
  #usedMs = 0;

  constructor(
    server: SlotServer,
    times: ServiceTimes,
    { zone, random, onDecision: decide, coldStartsOf }: SlotCoordinatorOptions,
  ) {
    this.server = server;
    this.#times = times;
    this.#decide = decide;
    const coldStarts = coldStartsOf?.(server.service);
    const reserve = new ShortRequestReserve(times, server.slots);
    this.#reserve = reserve;
    this.#queue = new ServiceQueue({
      zone,
      times,
      random,
      coldStarts,
      reserve,
    });
    this.#queue.setServers([serverEntryOf(server, zone)]);
  }

  get hasPending(): boolean {
    return this.#wishes.size > 0;
  }

  request(wish: SlotRequest, nowMs: number): void {
    this.#usedMs = nowMs;
    this.#nowMs = nowMs;
    const { vm, id } = wish;
    const name = requestKey(vm, id);
    if (this.#held.has(name)) return this.#decide({ vm, id, kind: "given" });
    if (this.#wishes.has(name)) return this.#decide({ vm, id, kind: "queued" });
    const request = new PendingSlotRequest(wish, {
      onGranted: () => {
        this.#wishes.delete(name);
        this.#hold(name, wish.route, this.#nowMs);
        this.#decide({ vm, id, kind: "given" });
      },
      onRefused: (refusal) => {
        this.#wishes.delete(name);
        this.#decide({ vm, id, kind: "refused", refusal });
      },
    });
    this.#wishes.set(name, request);
    this.#reserve.recordRequest(wish.route, nowMs);
    this.#queue.add(request, nowMs);
    if (this.#wishes.has(name)) this.#decide({ vm, id, kind: "queued" });
  }

  /** Whether the slot or wish was here. */
  release(name: string, tookMs: number | undefined, nowMs: number): boolean {
    this.#nowMs = nowMs;
    const wish = this.#wishes.get(name);
    if (wish !== undefined) {
      this.#wishes.delete(name);
      this.#queue.cancel(wish);
      return true;
    }
    const held = this.#held.get(name);
    if (held === undefined) return false;
    this.#held.delete(name);
    held.release(nowMs);
    if (tookMs !== undefined) {
      this.#times.record(held.route, this.server.server, tookMs);
    }
    this.#queue.dispatch(nowMs);
    return true;
  }

  adopt(vm: contracts.VmId, { id, route }: HeldSlot, nowMs: number): void {
    const name = requestKey(vm, id);
    if (!this.#held.has(name)) this.#hold(name, route, nowMs);
  }

  dropUnlisted(
    vm: contracts.VmId,
    listed: ReadonlySet<string>,
    nowMs: number,
  ): void {
    for (const [name, { grantedMs: sinceMs }] of this.#held) {
      const isOver = name.startsWith(`${vm}/`) && !listed.has(name) &&
        nowMs - sinceMs >= UNLISTED_SLOT_TTL_MS;
      if (isOver) this.release(name, undefined, nowMs);
    }
  }

  dropPending(vm: contracts.VmId): void {
    for (const [name, wish] of this.#wishes) {
      if (wish.vm !== vm) continue;
      this.#wishes.delete(name);
      this.#queue.cancel(wish);
    }
  }

  sweep(nowMs: number): void {
    this.#nowMs = nowMs;
    if (this.#queue.waiting === 0) return;
    this.#queue.dispatch(nowMs);
    this.#queue.refuseExpired(nowMs);
  }

  isIdle(nowMs: number): boolean {
    return this.#held.size === 0 && this.#wishes.size === 0 &&
      nowMs - this.#usedMs > IDLE_SERVER_TTL_MS;
  }

  #hold(name: string, route: PrioritizedRoute, nowMs: number): void {
    const end = this.#queue.loads.get(this.server.server)!.startRequest(nowMs);
    const giveBack = this.#reserve.acquire(route);
    const release = (endedMs: number) => {
      giveBack();
      end({ kind: "abandoned" }, endedMs);
    };
    this.#held.set(name, { route, grantedMs: nowMs, release });
  }
}

/** What becomes of a wish. */
interface SlotRequestCallbacks {
  onGranted(): void;
  onRefused(refusal: Refusal): void;
}

/** A wish as the queue sees it. */
class PendingSlotRequest implements WaitingRequest {
  readonly vm: contracts.VmId;
  readonly route: PrioritizedRoute;
  readonly key = undefined;
  readonly bodyBytes = 0;
  readonly targetMs: number;
  readonly answerByMs: number;
  readonly tried = new Set<contracts.ServerId>();
  readonly #outcome: SlotRequestCallbacks;

  constructor(wish: SlotRequest, outcome: SlotRequestCallbacks) {
    this.vm = wish.vm;
    this.route = wish.route;
    this.targetMs = wish.targetMs;
    this.answerByMs = wish.answerByMs;
    this.#outcome = outcome;
  }

  placed(): void {
    this.#outcome.onGranted();
  }

  refused(refusal: Refusal): void {
    this.#outcome.onRefused(refusal);
  }
}

/** The server as a queue wants it; only its slots matter to a coordinator. */
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
