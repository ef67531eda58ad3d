/**
 * Gives out slots of unkeyed services to all entry VMs. For each service one
 * entry VM does this at a time, named by rendezvous hashing over the members.
 * It knows every request in flight at the service's servers, which no entry
 * VM knows alone, so that a free slot and a waiting request always meet.
 *
 * Nothing here is needed for safety: two dispatchers, or none, cost refusals
 * by busy servers and no more.
 */
import type * as contracts from "@guavatide/contracts";
import type * as routing from "@guavatide/decisions/routing/mod";
import { CoalescedCallback } from "../utils/coalesced_callback.ts";
import type { PeerRpc } from "./peer_rpc.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";
import * as messages from "./slot_messages.ts";

/** Options of {@link SlotDispatcher}. */
export interface SlotDispatcherOptions {
  readonly peers: PeerRpc;
  readonly clock: contracts.Clock;
  /** Takes decisions for requests of this VM itself. */
  readonly onDecisions: (decided: messages.SlotsDecided) => void;
  /** The allocator that serves a service; nothing for an unknown service. */
  readonly createAllocator: (
    service: contracts.ServiceId,
  ) => SlotAllocator | undefined;
}

/** Time a peer has to take decisions, after which its grants are taken back. */
const DECISIONS_TIMEOUT_MS = 200;
/**
 * Time after which a grant that its VM does not list as in use is taken back:
 * the answer that carried it was lost, and the slot would stay empty.
 */
const GRANT_CONFIRMATION_MS = 500;
/** Time after its deadline at which a grant that nobody ended is dropped. */
const GRANT_EXPIRY_GRACE_MS = 1000;

/** A grant whose request may be in flight. */
interface Grant {
  readonly vm: contracts.VmId;
  readonly slot: Slot;
  readonly grantedMs: number;
  readonly expiresMs: number;
}

/** The dispatcher's side of all services. */
export class SlotDispatcher {
  readonly #options: SlotDispatcherOptions;
  readonly #services = new Map<contracts.ServiceId, DispatchedService>();

  constructor(options: SlotDispatcherOptions) {
    this.#options = options;
    options.peers.register(
      messages.SLOTS_UPDATE_METHOD,
      messages.slotsUpdateSchema,
      (update) => this.update(update),
    );
  }

  /** Takes an update of an entry VM, this one included. */
  update(update: messages.SlotsUpdate): messages.SlotsDecided {
    const { self } = this.#options.peers;
    const decisions = this.#service(update.service)?.handleUpdate(update) ?? [];
    return {
      service: update.service,
      vm: self.vm,
      incarnation: self.incarnation,
      decisions,
    };
  }

  /** Time has passed. */
  refresh(): void {
    for (const service of this.#services.values()) service.refresh();
  }

  /** Takes over changed settings of a service. */
  configure(service: contracts.Service): void {
    this.#services.get(service.name)?.configure(service);
  }

  #service(id: contracts.ServiceId): DispatchedService | undefined {
    const found = this.#services.get(id);
    if (found !== undefined) return found;
    const allocator = this.#options.createAllocator(id);
    if (allocator === undefined) return undefined;
    const service = new DispatchedService(id, allocator, this.#options);
    this.#services.set(id, service);
    return service;
  }
}

/** Waiting requests and grants of one service. */
class DispatchedService {
  readonly #id: contracts.ServiceId;
  readonly #allocator: SlotAllocator;
  readonly #options: SlotDispatcherOptions;
  readonly #wishes = new Map<string, RemoteSlotRequest>();
  readonly #grants = new Map<number, Grant>();
  /** Decisions not yet sent, by entry VM. */
  readonly #outbox = new Map<contracts.VmId, messages.SlotDecision[]>();
  #nextGrant = 1;
  readonly #flushing = new CoalescedCallback(() => this.#flush());

  constructor(
    id: contracts.ServiceId,
    allocator: SlotAllocator,
    options: SlotDispatcherOptions,
  ) {
    this.#id = id;
    this.#allocator = allocator;
    this.#options = options;
  }

  /** Returns what could be decided for this VM at once. */
  handleUpdate(update: messages.SlotsUpdate): messages.SlotDecision[] {
    for (const wish of update.withdrawn) this.#withdraw(update.vm, wish);
    const { incarnation } = this.#options.peers.self;
    if (update.dispatcher === incarnation) {
      for (const { grant, end } of update.ended) this.#end(grant, end);
    }
    this.#takeBackLost(update);
    for (const want of update.wants) this.#want(update.vm, want);
    const decided = this.#outbox.get(update.vm) ?? [];
    this.#outbox.delete(update.vm);
    return decided;
  }

  configure(service: contracts.Service): void {
    this.#allocator.configure(service);
  }

  #takeBackLost(update: messages.SlotsUpdate): void {
    const held = new Set(update.held);
    const sinceMs = this.#options.clock.nowMs() - GRANT_CONFIRMATION_MS;
    for (const [number, grant] of this.#grants) {
      const isLost = grant.vm === update.vm && grant.grantedMs < sinceMs &&
        !held.has(number);
      if (isLost) this.#end(number, { kind: "abandoned" });
    }
  }

  refresh(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [number, grant] of this.#grants) {
      if (grant.expiresMs < nowMs) this.#end(number, { kind: "abandoned" });
    }
    for (const wish of this.#wishes.values()) {
      if (wish.deadlineMs < nowMs) this.#withdraw(wish.vm, wish.id);
    }
    this.#allocator.refresh();
  }

  #want(vm: contracts.VmId, want: messages.SlotRequestMessage): void {
    const name = requestKey(vm, want.wish);
    // A want that was sent twice is one request.
    if (this.#wishes.has(name)) return;
    const wish = new RemoteSlotRequest(vm, want, {
      nowMs: this.#options.clock.nowMs(),
      decide: (decision) => this.#decide(wish, decision),
    });
    this.#wishes.set(name, wish);
    this.#allocator.acquire(wish);
  }

  #decide(wish: RemoteSlotRequest, decision: RemoteDecision): void {
    this.#wishes.delete(requestKey(wish.vm, wish.id));
    const { vm, id: number } = wish;
    if (decision.kind === "refused") {
      this.#post(vm, { ...decision, wish: number });
      return;
    }
    const grant = this.#nextGrant++;
    const { slot } = decision;
    const expiresMs = wish.deadlineMs + GRANT_EXPIRY_GRACE_MS;
    const grantedMs = this.#options.clock.nowMs();
    this.#grants.set(grant, { vm, slot, grantedMs, expiresMs });
    const { server } = slot.address;
    this.#post(vm, { kind: "granted", wish: number, grant, server });
  }

  #withdraw(vm: contracts.VmId, number: number): void {
    const name = requestKey(vm, number);
    const wish = this.#wishes.get(name);
    if (wish === undefined) return;
    this.#wishes.delete(name);
    this.#allocator.withdraw(wish);
  }

  #end(number: number, end: routing.AttemptOutcome): void {
    const grant = this.#grants.get(number);
    if (grant === undefined) return;
    this.#grants.delete(number);
    this.#allocator.release(grant.slot, end);
  }

  /** Decisions of one turn of the event loop leave together. */
  #post(vm: contracts.VmId, decision: messages.SlotDecision): void {
    const waiting = this.#outbox.get(vm) ?? [];
    waiting.push(decision);
    this.#outbox.set(vm, waiting);
    this.#flushing.schedule();
  }

  #flush(): void {
    for (const [vm, decisions] of this.#outbox) {
      this.#outbox.delete(vm);
      this.#send(vm, decisions).catch(() => {});
    }
  }

  async #send(
    vm: contracts.VmId,
    decisions: messages.SlotDecision[],
  ): Promise<void> {
    const { peers } = this.#options;
    const params: messages.SlotsDecided = {
      service: this.#id,
      vm: peers.self.vm,
      incarnation: peers.self.incarnation,
      decisions,
    };
    if (vm === peers.self.vm) {
      this.#options.onDecisions(params);
      return;
    }
    const reply = await peers.call(vm, messages.SLOTS_DECIDED_METHOD, {
      params,
      schema: messages.slotsDecidedReplySchema,
      timeoutMs: DECISIONS_TIMEOUT_MS,
    });
    if (reply !== undefined) return;
    for (const decision of decisions) {
      if (decision.kind !== "granted") continue;
      this.#end(decision.grant, { kind: "abandoned" });
    }
  }
}

type RemoteDecision =
  | { readonly kind: "granted"; readonly slot: Slot }
  | {
    readonly kind: "refused";
    readonly reason: "queue-full" | "no-server";
    readonly retryAfterMs?: number;
  };

/** A request that waits at an entry VM. */
class RemoteSlotRequest implements SlotRequest {
  readonly vm: contracts.VmId;
  readonly id: number;
  readonly tenant: string;
  readonly deadlineMs: number;
  readonly keyHash = undefined;
  readonly tried: ReadonlySet<contracts.ServerId>;
  readonly #decide: (decision: RemoteDecision) => void;

  constructor(
    vm: contracts.VmId,
    want: messages.SlotRequestMessage,
    options: {
      readonly nowMs: number;
      readonly decide: (decision: RemoteDecision) => void;
    },
  ) {
    this.vm = vm;
    this.id = want.wish;
    this.tenant = want.tenant;
    this.deadlineMs = options.nowMs + want.timeLeftMs;
    this.tried = new Set(want.tried);
    this.#decide = options.decide;
  }

  onGranted(slot: Slot): void {
    this.#decide({ kind: "granted", slot });
  }

  onRefused(
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number },
  ): void {
    const told = reason === "no-server" ? "no-server" : "queue-full";
    const { retryAfterMs } = options;
    this.#decide({ kind: "refused", reason: told, retryAfterMs });
  }
}

function requestKey(vm: contracts.VmId, number: number): string {
  return `${vm} ${number}`;
}
