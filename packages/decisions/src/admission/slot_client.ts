/** Client side of the {@link SlotCoordinator} protocol, on each entry VM. */
import type * as contracts from "@guavatide/contracts";
import type {
  HeldSlot,
  SlotDecision,
  SlotRequest,
  SlotServer,
} from "./slot_coordinator.ts";
import type { Refusal, WaitingRequest } from "./waiting_request.ts";

/** What is sent to one coordinator in one message. */
export interface CoordinatorMessage {
  readonly requests: SlotRequest[];
  /**
   * Slots released and slot requests cancelled, with an answered request's
   * time.
   */
  readonly ended: { readonly id: number; readonly tookMs?: number }[];
  /**
   * All slots held from the coordinator; undefined if this message has no list.
   */
  held: HeldSlot[] | undefined;
}

/** A coordinator's reply to one slot request of this VM. */
export type SlotReply = Omit<SlotDecision, "vm">;

/** Options of {@link SlotClient}. */
export interface SlotClientOptions {
  readonly vm: contracts.VmId;
  /** The VM that coordinates a server, except unresponsive ones. */
  readonly coordinatorOf: (
    server: SlotServer,
    unresponsive: ReadonlySet<contracts.VmId>,
  ) => contracts.VmId | undefined;
  /** Called when there are messages to send. */
  readonly onMessage: () => void;
  /**
   * Called when a request was granted a slot or its coordinator failed, so that
   * the request can be tried again.
   */
  readonly onGranted: (request: WaitingRequest) => void;
  readonly onRefused: (request: WaitingRequest, refusal: Refusal) => void;
  /** Called when a coordinator is unresponsive and excluded for a while. */
  readonly onUnresponsive: (coordinator: contracts.VmId) => void;
  /** Called when a slot is released that was still in use after its deadline. */
  readonly onOverdue?: (slot: SlotRequest) => void;
}

/**
 * A request without a reply is resent after this time, as datagrams get lost.
 */
const RESEND_MS = 60;
/** Without a reply for this long, a coordinator counts as unresponsive. */
const ANSWER_TIMEOUT_MS = 250;
/** A queued request is resent at this interval to be confirmed. */
const QUEUED_RESEND_MS = 300;
/**
 * Without a confirmation for this long, a coordinator counts as unresponsive.
 */
const QUEUED_TIMEOUT_MS = 800;
/** How long an unresponsive coordinator is excluded. */
const COORDINATOR_QUARANTINE_MS = 2_000;
/** Interval at which held slots are reported to their coordinators. */
const HELD_SLOTS_INTERVAL_MS = 500;
/**
 * A request ends by its deadline, so a slot in use for this much longer was not
 * released by mistake.
 */
const OVERDUE_SLOT_TTL_MS = 500;

interface OpenRequest {
  readonly slotRequest: SlotRequest;
  readonly request: WaitingRequest;
  /** Undefined when no coordinator is available. */
  readonly coordinator: contracts.VmId | undefined;
  state: "asked" | "queued" | "given" | "in-use";
  sentMs: number;
  lastReplyMs: number;
}

/** Slot requests and held slots of one entry VM. */
export class SlotClient {
  readonly #options: SlotClientOptions;
  readonly #open = new Map<WaitingRequest, OpenRequest>();
  readonly #byId = new Map<number, OpenRequest>();
  readonly #quarantinedUntilMs = new Map<contracts.VmId, number>();
  readonly #outbox = new Map<contracts.VmId, CoordinatorMessage>();
  #nextId = 1;
  #heldReportedMs = 0;

  constructor(options: SlotClientOptions) {
    this.#options = options;
  }

  /**
   * Whether a request has a slot at a server; requests one if not.
   * `ownRequests` are this VM's requests in flight there: without a coordinator
   * a request is sent only when there is none.
   */
  tryAcquire(
    request: WaitingRequest,
    server: SlotServer,
    { ownRequests, nowMs }: { ownRequests: number; nowMs: number },
  ): boolean {
    let open = this.#open.get(request);
    const isSame = open?.slotRequest.server === server.server &&
      open.slotRequest.bornMs === server.bornMs;
    // The key has moved to another owner since.
    if (open !== undefined && !isSame) this.cancel(request);
    if (open === undefined || !isSame) open = this.#add(request, server, nowMs);
    if (open.coordinator === undefined) return ownRequests === 0;
    return open.state === "given";
  }

  /** Notes that a request uses its slot. The returned function releases it. */
  markInUse(request: WaitingRequest): (tookMs: number | undefined) => void {
    const open = this.#open.get(request);
    if (open === undefined) return () => {};
    this.#open.delete(request);
    open.state = "in-use";
    return (tookMs) => this.#release(open, tookMs);
  }

  /** Cancels a slot request, or releases its slot if that was granted. */
  cancel(request: WaitingRequest): void {
    const open = this.#open.get(request);
    if (open === undefined) return;
    this.#open.delete(request);
    this.#release(open, undefined);
  }

  /** Whether no slot request is open. */
  get isIdle(): boolean {
    return this.#open.size === 0;
  }

  /** Handles a coordinator's replies. */
  handleReplies(
    coordinator: contracts.VmId,
    replies: readonly SlotReply[],
    nowMs: number,
  ): void {
    for (const { id, kind, refusal } of replies) {
      const open = this.#byId.get(id);
      if (open === undefined || open.coordinator !== coordinator) {
        // The request was cancelled before the slot was granted.
        if (kind === "given") this.#message(coordinator).ended.push({ id });
        continue;
      }
      open.lastReplyMs = nowMs;
      if (open.state === "in-use" || open.state === "given") continue;
      if (kind === "refused") this.#refuse(open, refusal!);
      else this.#advance(open, kind);
    }
  }

  /** Resends lost messages and leaves unresponsive coordinators. */
  tick(nowMs: number): void {
    for (const [coordinator, untilMs] of this.#quarantinedUntilMs) {
      if (nowMs >= untilMs) this.#quarantinedUntilMs.delete(coordinator);
    }
    for (const open of [...this.#open.values()]) this.#checkReply(open, nowMs);
    if (nowMs - this.#heldReportedMs < HELD_SLOTS_INTERVAL_MS) return;
    this.#heldReportedMs = nowMs;
    for (const open of this.#byId.values()) {
      const { state, coordinator, slotRequest: { answerByMs } } = open;
      if (state !== "in-use" || coordinator === undefined) continue;
      if (nowMs - answerByMs >= OVERDUE_SLOT_TTL_MS) {
        this.#options.onOverdue?.(open.slotRequest);
        this.#release(open, undefined);
      } else this.#message(coordinator).held ??= [];
    }
  }

  /**
   * Takes the messages to send, by coordinator. Only now are held slots listed:
   * one that ended since the tick would be adopted again, and never end.
   */
  drainMessages(): Map<contracts.VmId, CoordinatorMessage> {
    const messages = new Map(this.#outbox);
    this.#outbox.clear();
    if (![...messages.values()].some(({ held }) => held)) return messages;
    for (const { state, coordinator, slotRequest } of this.#byId.values()) {
      if (state !== "in-use" || coordinator === undefined) continue;
      messages.get(coordinator)?.held?.push(slotRequest);
    }
    return messages;
  }

  #add(
    request: WaitingRequest,
    server: SlotServer,
    nowMs: number,
  ): OpenRequest {
    const { vm, coordinatorOf } = this.#options;
    const { route, key, targetMs, answerByMs, standing } = request;
    const { service, server: name, bornMs, slots } = server;
    const slotRequest: SlotRequest = {
      service,
      server: name,
      bornMs,
      slots,
      id: this.#nextId++,
      vm,
      route,
      key,
      targetMs,
      answerByMs,
      standing,
    };
    const target = coordinatorOf(
      server,
      new Set(this.#quarantinedUntilMs.keys()),
    );
    const open: OpenRequest = {
      slotRequest,
      request,
      coordinator: target,
      state: "asked",
      sentMs: nowMs,
      lastReplyMs: nowMs,
    };
    this.#open.set(request, open);
    this.#byId.set(slotRequest.id, open);
    if (target !== undefined) this.#message(target).requests.push(slotRequest);
    return open;
  }

  #checkReply(open: OpenRequest, nowMs: number): void {
    const { coordinator, state, lastReplyMs, sentMs, slotRequest, request } =
      open;
    if (coordinator === undefined || state === "given") return;
    const isQueued = state === "queued";
    const limitMs = isQueued ? QUEUED_TIMEOUT_MS : ANSWER_TIMEOUT_MS;
    if (nowMs - lastReplyMs >= limitMs) {
      if (!this.#quarantinedUntilMs.has(coordinator)) {
        this.#options.onUnresponsive(coordinator);
      }
      this.#quarantinedUntilMs.set(
        coordinator,
        nowMs + COORDINATOR_QUARANTINE_MS,
      );
      this.cancel(request);
      // Requests the slot from the next coordinator, or does without one.
      return this.#options.onGranted(request);
    }
    const resendMs = isQueued ? QUEUED_RESEND_MS : RESEND_MS;
    if (nowMs - sentMs < resendMs) return;
    open.sentMs = nowMs;
    this.#message(coordinator).requests.push(slotRequest);
  }

  #advance(open: OpenRequest, kind: "given" | "queued"): void {
    open.state = kind;
    if (kind === "given") this.#options.onGranted(open.request);
  }

  #refuse(open: OpenRequest, refusal: Refusal): void {
    this.#open.delete(open.request);
    this.#byId.delete(open.slotRequest.id);
    this.#options.onRefused(open.request, refusal);
  }

  #release(
    { slotRequest, coordinator }: OpenRequest,
    tookMs: number | undefined,
  ): void {
    this.#byId.delete(slotRequest.id);
    if (coordinator === undefined) return;
    this.#message(coordinator).ended.push({ id: slotRequest.id, tookMs });
  }

  #message(coordinator: contracts.VmId): CoordinatorMessage {
    const found = this.#outbox.get(coordinator);
    if (found !== undefined) return found;
    const created: CoordinatorMessage = {
      requests: [],
      ended: [],
      held: undefined,
    };
    this.#outbox.set(coordinator, created);
    this.#options.onMessage();
    return created;
  }
}
