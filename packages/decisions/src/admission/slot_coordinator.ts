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
import { ShortWorkReserve } from "./short_work_reserve.ts";
import type {
  RankedRoute,
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
export interface SlotWish extends SlotServer {
  /** Drawn by the VM; rises with each of its wishes. */
  readonly id: number;
  readonly vm: contracts.VmId;
  readonly route: RankedRoute;
  readonly targetMs: number;
  readonly answerByMs: number;
}

/** A slot that an entry VM says it has. */
export type HeldSlot = Omit<SlotWish, "vm" | "targetMs" | "answerByMs">;

/** What a coordinator says to a wish. */
export type SlotDecision = Pick<SlotWish, "vm" | "id"> & {
  readonly kind: "given" | "queued" | "refused";
  /** Present when refused. */
  readonly refusal?: Refusal;
};

/** Options of {@link SlotCoordinator}. */
export interface SlotCoordinatorOptions {
  readonly zone: contracts.ZoneId;
  readonly random: contracts.RandomSource;
  readonly decide: (decision: SlotDecision) => void;
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
const VM_TIMEOUT_MS = 2_000;
/** A server that nobody asked for is forgotten after this time. */
const IDLE_SERVER_TTL_MS = 10_000;

interface Held {
  readonly route: RankedRoute;
  readonly sinceMs: number;
  readonly release: (nowMs: number) => void;
}

/** The coordinator of one entry VM, for all servers whose slots it gives out. */
export class SlotCoordinator {
  readonly #options: SlotCoordinatorOptions;
  readonly #servers = new Map<string, ServerSlots>();
  readonly #times = new Map<contracts.ServiceId, ServiceTimes>();
  readonly #heardMs = new Map<contracts.VmId, number>();

  constructor(options: SlotCoordinatorOptions) {
    this.#options = options;
  }

  /** Takes a wish; one that is known already is answered as it stands. */
  wish(wish: SlotWish, nowMs: number): void {
    this.#heardMs.set(wish.vm, nowMs);
    this.#slotsOf(wish).wish(wish, nowMs);
  }

  /** A slot is free again, or a wish is over; `tookMs` of an answered request. */
  end(
    vm: contracts.VmId,
    id: number,
    { tookMs, nowMs }: { readonly tookMs?: number; readonly nowMs: number },
  ): void {
    const name = nameOf(vm, id);
    for (const server of this.#servers.values()) {
      if (server.end(name, tookMs, nowMs)) return;
    }
  }

  /** All slots that a VM has of this coordinator, as it knows them. */
  noteHeld(
    vm: contracts.VmId,
    slots: readonly HeldSlot[],
    nowMs: number,
  ): void {
    this.#heardMs.set(vm, nowMs);
    const listed = new Set(slots.map(({ id }) => nameOf(vm, id)));
    for (const server of this.#servers.values()) {
      server.dropUnlisted(vm, listed, nowMs);
    }
    for (const slot of slots) this.#slotsOf(slot).adopt(vm, slot, nowMs);
  }

  /** Refuses what waits in vain; forgets VMs and servers that are gone. */
  review(nowMs: number): void {
    for (const [vm, heardMs] of this.#heardMs) {
      if (nowMs - heardMs < VM_TIMEOUT_MS) continue;
      this.#heardMs.delete(vm);
      for (const server of this.#servers.values()) {
        server.dropUnlisted(vm, new Set(), nowMs);
        server.dropWishes(vm);
      }
    }
    for (const [name, server] of this.#servers) {
      server.review(nowMs);
      if (server.isIdle(nowMs)) this.#servers.delete(name);
    }
  }

  /** Whether some request waits for a slot given out here. */
  get isWaited(): boolean {
    for (const { hasWishes } of this.#servers.values()) {
      if (hasWishes) return true;
    }
    return false;
  }

  /** How much longer than average each server takes, by server. */
  factors(service: contracts.ServiceId): Map<contracts.ServerId, number> {
    const factors = new Map<contracts.ServerId, number>();
    const times = this.#times.get(service);
    if (times === undefined) return factors;
    for (const { server } of this.#servers.values()) {
      if (server.service !== service) continue;
      factors.set(server.server, times.factor(server.server));
    }
    return factors;
  }

  #slotsOf(server: SlotServer): ServerSlots {
    const name = `${server.server}/${server.bornMs}`;
    const found = this.#servers.get(name);
    if (found !== undefined) return found;
    const times = this.#times.get(server.service) ?? new ServiceTimes();
    this.#times.set(server.service, times);
    const created = new ServerSlots(server, times, this.#options);
    this.#servers.set(name, created);
    return created;
  }
}

function nameOf(vm: contracts.VmId, id: number): string {
  return `${vm}/${id}`;
}

/** One server's slots and the wishes for them. */
class ServerSlots {
  readonly server: SlotServer;
  readonly #times: ServiceTimes;
  readonly #queue: ServiceQueue;
  readonly #reserve: ShortWorkReserve;
  readonly #decide: (decision: SlotDecision) => void;
  readonly #wishes = new Map<string, QueuedWish>();
  readonly #held = new Map<string, Held>();
  /** Time of the latest call: slots are given in the course of it. */
  #nowMs = 0;
  #usedMs = 0;

  constructor(
    server: SlotServer,
    times: ServiceTimes,
    { zone, random, decide, coldStartsOf }: SlotCoordinatorOptions,
  ) {
    this.server = server;
    this.#times = times;
    this.#decide = decide;
    const coldStarts = coldStartsOf?.(server.service);
    const reserve = new ShortWorkReserve(times, server.slots);
    this.#reserve = reserve;
    this.#queue = new ServiceQueue({
      zone,
      times,
      random,
      coldStarts,
      reserve,
    });
    this.#queue.setServers([entryOf(server, zone)]);
  }

  get hasWishes(): boolean {
    return this.#wishes.size > 0;
  }

  wish(wish: SlotWish, nowMs: number): void {
    this.#usedMs = nowMs;
    this.#nowMs = nowMs;
    const { vm, id } = wish;
    const name = nameOf(vm, id);
    if (this.#held.has(name)) return this.#decide({ vm, id, kind: "given" });
    if (this.#wishes.has(name)) return this.#decide({ vm, id, kind: "queued" });
    const request = new QueuedWish(wish, {
      give: () => {
        this.#wishes.delete(name);
        this.#hold(name, wish.route, this.#nowMs);
        this.#decide({ vm, id, kind: "given" });
      },
      refuse: (refusal) => {
        this.#wishes.delete(name);
        this.#decide({ vm, id, kind: "refused", refusal });
      },
    });
    this.#wishes.set(name, request);
    this.#reserve.noteAsked(wish.route, nowMs);
    this.#queue.add(request, nowMs);
    if (this.#wishes.has(name)) this.#decide({ vm, id, kind: "queued" });
  }

  /** Whether the slot or wish was here. */
  end(name: string, tookMs: number | undefined, nowMs: number): boolean {
    this.#nowMs = nowMs;
    const wish = this.#wishes.get(name);
    if (wish !== undefined) {
      this.#wishes.delete(name);
      this.#queue.withdraw(wish);
      return true;
    }
    const held = this.#held.get(name);
    if (held === undefined) return false;
    this.#held.delete(name);
    held.release(nowMs);
    if (tookMs !== undefined) {
      this.#times.note(held.route, this.server.server, tookMs);
    }
    this.#queue.pump(nowMs);
    return true;
  }

  adopt(vm: contracts.VmId, { id, route }: HeldSlot, nowMs: number): void {
    const name = nameOf(vm, id);
    if (!this.#held.has(name)) this.#hold(name, route, nowMs);
  }

  dropUnlisted(
    vm: contracts.VmId,
    listed: ReadonlySet<string>,
    nowMs: number,
  ): void {
    for (const [name, { sinceMs }] of this.#held) {
      const isOver = name.startsWith(`${vm}/`) && !listed.has(name) &&
        nowMs - sinceMs >= UNLISTED_SLOT_TTL_MS;
      if (isOver) this.end(name, undefined, nowMs);
    }
  }

  dropWishes(vm: contracts.VmId): void {
    for (const [name, wish] of this.#wishes) {
      if (wish.vm !== vm) continue;
      this.#wishes.delete(name);
      this.#queue.withdraw(wish);
    }
  }

  review(nowMs: number): void {
    this.#nowMs = nowMs;
    if (this.#queue.waiting === 0) return;
    this.#queue.pump(nowMs);
    this.#queue.review(nowMs);
  }

  isIdle(nowMs: number): boolean {
    return this.#held.size === 0 && this.#wishes.size === 0 &&
      nowMs - this.#usedMs > IDLE_SERVER_TTL_MS;
  }

  #hold(name: string, route: RankedRoute, nowMs: number): void {
    const end = this.#queue.loads.get(this.server.server)!.begin(nowMs);
    const giveBack = this.#reserve.begin(route);
    const release = (endedMs: number) => {
      giveBack();
      end({ kind: "abandoned" }, endedMs);
    };
    this.#held.set(name, { route, sinceMs: nowMs, release });
  }
}

/** What becomes of a wish. */
interface WishOutcome {
  give(): void;
  refuse(refusal: Refusal): void;
}

/** A wish as the queue sees it. */
class QueuedWish implements WaitingRequest {
  readonly vm: contracts.VmId;
  readonly route: RankedRoute;
  readonly key = undefined;
  readonly bodyBytes = 0;
  readonly targetMs: number;
  readonly answerByMs: number;
  readonly tried = new Set<contracts.ServerId>();
  readonly #outcome: WishOutcome;

  constructor(wish: SlotWish, outcome: WishOutcome) {
    this.vm = wish.vm;
    this.route = wish.route;
    this.targetMs = wish.targetMs;
    this.answerByMs = wish.answerByMs;
    this.#outcome = outcome;
  }

  placed(): void {
    this.#outcome.give();
  }

  refused(refusal: Refusal): void {
    this.#outcome.refuse(refusal);
  }
}

/** The server as a queue wants it; only its slots matter to a coordinator. */
function entryOf(
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
