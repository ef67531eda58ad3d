/**
 * Allocates slots of unkeyed services to all entry VMs. Each service has one
 * dispatcher, the entry VM chosen by rendezvous hashing over the members. It
 * knows all requests in flight at the service's servers, so no slot stays free
 * while a request waits at any entry VM.
 *
 * Safety does not depend on it: two dispatchers, or none, only cause refusals
 * by busy servers.
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
  /** Receives decisions for requests of this VM. */
  readonly onDecisions: (message: messages.SlotsDecided) => void;
  /** Creates the allocator of a service; undefined for an unknown service. */
  readonly createAllocator: (
    service: contracts.ServiceId,
  ) => SlotAllocator | undefined;
}

/** Timeout for a peer to acknowledge decisions; then its grants are revoked. */
const DECISIONS_TIMEOUT_MS = 200;
/**
 * Time after which a grant that its VM does not report as held is revoked: the
 * reply that carried it was lost, and the slot would stay unused.
 */
const GRANT_CONFIRMATION_MS = 500;
/** Time from the deadline of a request until its unreleased grant expires. */
const GRANT_EXPIRY_GRACE_MS = 1000;

/** A granted slot whose request may be in flight. */
interface Grant {
  readonly vm: contracts.VmId;
  readonly slot: Slot;
  readonly grantedMs: number;
  readonly expiresMs: number;
}

/** Allocates slots of the services for which peers chose this dispatcher. */
export class SlotDispatcher {
  readonly #options: SlotDispatcherOptions;
  readonly #services = new Map<contracts.ServiceId, DispatchedService>();

  constructor(options: SlotDispatcherOptions) {
    this.#options = options;
    options.peers.register(
      messages.SLOTS_UPDATE_METHOD,
      messages.slotsUpdateSchema,
      (update) => this.handleUpdate(update),
    );
  }

  /** Handles an update of an entry VM, including this one. */
  handleUpdate(update: messages.SlotsUpdate): messages.SlotsDecided {
    const { self } = this.#options.peers;
    const decisions = this.#service(update.service)?.handleUpdate(update) ?? [];
    return {
      service: update.service,
      vm: self.vm,
      incarnation: self.incarnation,
      decisions,
    };
  }

  /** Expires grants and requests; called at an interval. */
  refresh(): void {
    for (const service of this.#services.values()) service.refresh();
  }

  /** Applies changed settings of a service. */
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

/** Waiting requests and outstanding grants of one service. */
class DispatchedService {
  readonly #serviceId: contracts.ServiceId;
  readonly #allocator: SlotAllocator;
  readonly #options: SlotDispatcherOptions;
  readonly #requests = new Map<string, RemoteSlotRequest>();
  readonly #grants = new Map<number, Grant>();
  /** Decisions not yet sent, by entry VM. */
  readonly #outbox = new Map<contracts.VmId, messages.SlotDecision[]>();
  #nextGrantNumber = 1;
  readonly #flushScheduler = new CoalescedCallback(() => this.#flush());

  constructor(
    id: contracts.ServiceId,
    allocator: SlotAllocator,
    options: SlotDispatcherOptions,
  ) {
    this.#serviceId = id;
    this.#allocator = allocator;
    this.#options = options;
  }

  /** Returns the decisions for this VM that are available at once. */
  handleUpdate(update: messages.SlotsUpdate): messages.SlotDecision[] {
    for (const id of update.withdrawn) this.#withdraw(update.vm, id);
    const { incarnation } = this.#options.peers.self;
    if (update.dispatcher === incarnation) {
      for (const { grant, end } of update.ended) this.#endGrant(grant, end);
    }
    this.#reclaimLostGrants(update);
    for (const message of update.wants) this.#addRequest(update.vm, message);
    const decided = this.#outbox.get(update.vm) ?? [];
    this.#outbox.delete(update.vm);
    return decided;
  }

  configure(service: contracts.Service): void {
    this.#allocator.configure(service);
  }

  #reclaimLostGrants(update: messages.SlotsUpdate): void {
    const held = new Set(update.held);
    const confirmedBeforeMs = this.#options.clock.nowMs() -
      GRANT_CONFIRMATION_MS;
    for (const [id, grant] of this.#grants) {
      const isLost = grant.vm === update.vm &&
        grant.grantedMs < confirmedBeforeMs &&
        !held.has(id);
      if (isLost) this.#endGrant(id, { kind: "abandoned" });
    }
  }

  refresh(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [id, grant] of this.#grants) {
      if (grant.expiresMs < nowMs) this.#endGrant(id, { kind: "abandoned" });
    }
    for (const request of this.#requests.values()) {
      if (request.deadlineMs < nowMs) this.#withdraw(request.vm, request.id);
    }
    this.#allocator.refresh();
  }

  #addRequest(vm: contracts.VmId, message: messages.SlotRequestMessage): void {
    const key = requestKey(vm, message.wish);
    // A retransmitted request is the same request.
    if (this.#requests.has(key)) return;
    const request = new RemoteSlotRequest(vm, message, {
      nowMs: this.#options.clock.nowMs(),
      decide: (decision) => this.#decide(request, decision),
    });
    this.#requests.set(key, request);
    this.#allocator.acquire(request);
  }

  #decide(request: RemoteSlotRequest, decision: RemoteDecision): void {
    this.#requests.delete(requestKey(request.vm, request.id));
    const { vm, id } = request;
    if (decision.kind === "refused") {
      this.#enqueueDecision(vm, { ...decision, wish: id });
      return;
    }
    const grant = this.#nextGrantNumber++;
    const { slot } = decision;
    const expiresMs = request.deadlineMs + GRANT_EXPIRY_GRACE_MS;
    const grantedMs = this.#options.clock.nowMs();
    this.#grants.set(grant, { vm, slot, grantedMs, expiresMs });
    const { server } = slot.address;
    this.#enqueueDecision(vm, {
      kind: "granted",
      wish: id,
      grant,
      server,
    });
  }

  #withdraw(vm: contracts.VmId, id: number): void {
    const key = requestKey(vm, id);
    const request = this.#requests.get(key);
    if (request === undefined) return;
    this.#requests.delete(key);
    this.#allocator.withdraw(request);
  }

  #endGrant(id: number, outcome: routing.AttemptOutcome): void {
    const grant = this.#grants.get(id);
    if (grant === undefined) return;
    this.#grants.delete(id);
    this.#allocator.release(grant.slot, outcome);
  }

  /** Queues a decision; those of one event loop turn are sent together. */
  #enqueueDecision(vm: contracts.VmId, decision: messages.SlotDecision): void {
    const unsent = this.#outbox.get(vm) ?? [];
    unsent.push(decision);
    this.#outbox.set(vm, unsent);
    this.#flushScheduler.schedule();
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
      service: this.#serviceId,
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
      this.#endGrant(decision.grant, { kind: "abandoned" });
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

/** A request that waits at an entry VM, possibly another one. */
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
    message: messages.SlotRequestMessage,
    options: {
      readonly nowMs: number;
      readonly decide: (decision: RemoteDecision) => void;
    },
  ) {
    this.vm = vm;
    this.id = message.wish;
    this.tenant = message.tenant;
    this.deadlineMs = options.nowMs + message.timeLeftMs;
    this.tried = new Set(message.tried);
    this.#decide = options.decide;
  }

  onGranted(slot: Slot): void {
    this.#decide({ kind: "granted", slot });
  }

  onRefused(
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number },
  ): void {
    const sentReason = reason === "no-server" ? "no-server" : "queue-full";
    const { retryAfterMs } = options;
    this.#decide({ kind: "refused", reason: sentReason, retryAfterMs });
  }
}

function requestKey(vm: contracts.VmId, id: number): string {
  return `${vm} ${id}`;
}
