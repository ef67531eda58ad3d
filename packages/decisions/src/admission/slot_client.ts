/** What this entry VM asks of the coordinators that give out owners' slots. */
import type * as contracts from "@guavatide/contracts";
import type {
  HeldSlot,
  SlotDecision,
  SlotRequest,
  SlotServer,
} from "./slot_coordinator.ts";
import type { Refusal, WaitingRequest } from "./waiting_request.ts";

/** Messages for one coordinator, sent together. */
export interface CoordinatorMessage {
  readonly requests: SlotRequest[];
  /** Wishes and slots that are over, with the time of an answered request. */
  readonly ended: { readonly id: number; readonly tookMs?: number }[];
  /** All slots that this VM has of the coordinator; undefined when not told now. */
  held: HeldSlot[] | undefined;
}

/** A coordinator's answer to one wish of this VM. */
export type SlotReply = Omit<SlotDecision, "vm">;

/** Options of {@link SlotClient}. */
export interface SlotClientOptions {
  readonly vm: contracts.VmId;
  /** The VM that gives out a server's slots, leaving out silent ones. */
  readonly coordinatorOf: (
    server: SlotServer,
    silent: ReadonlySet<contracts.VmId>,
  ) => contracts.VmId | undefined;
  /** There are messages to send. */
  readonly onMessage: () => void;
  /** A request has a slot and can be placed. */
  readonly onGranted: (request: WaitingRequest) => void;
  readonly onRefused: (request: WaitingRequest, refusal: Refusal) => void;
  /** A coordinator is left out for a while, and asked again afterwards. */
  readonly onUnresponsive: (coordinator: contracts.VmId) => void;
}

/** A wish without any word is sent again: the datagram was lost. */
const RESEND_MS = 60;
/** A coordinator that leaves a wish without any word for so long is not asked. */
const ANSWER_TIMEOUT_MS = 250;
/** A wish that is queued is told again at this interval. */
const QUEUED_RESEND_MS = 300;
/** A coordinator that does not confirm a queued wish for so long is gone. */
const QUEUED_TIMEOUT_MS = 800;
/** How long a silent coordinator is left out. */
const COORDINATOR_QUARANTINE_MS = 2_000;
/** Interval at which slots are listed to their coordinators. */
const HELD_SLOTS_INTERVAL_MS = 500;

interface OpenRequest {
  readonly slotRequest: SlotRequest;
  readonly request: WaitingRequest;
  /** Undefined when no coordinator can be asked. */
  readonly coordinator: contracts.VmId | undefined;
  state: "asked" | "queued" | "given" | "in-use";
  sentMs: number;
  lastReplyMs: number;
}

/** Wishes and slots of one entry VM. */
export class SlotClient {
  readonly #options: SlotClientOptions;
  readonly #open = new Map<WaitingRequest, OpenRequest>();
  readonly #byId = new Map<number, OpenRequest>();
  readonly #silentUntilMs = new Map<contracts.VmId, number>();
  readonly #outbox = new Map<contracts.VmId, CoordinatorMessage>();
  #nextId = 1;
  #listedMs = 0;

  constructor(options: SlotClientOptions) {
    this.#options = options;
  }

  /**
   * Whether a request has a slot at a server; asks for one if it has not.
   * `ownRequests` are this VM's requests there: without a coordinator the first
   * is sent all the same.
   */
  tryAcquire(
    request: WaitingRequest,
    server: SlotServer,
    { ownRequests, nowMs }: { ownRequests: number; nowMs: number },
  ): boolean {
    let ask = this.#open.get(request);
    const isSame = ask?.slotRequest.server === server.server &&
      ask.slotRequest.bornMs === server.bornMs;
    // The key has moved to another owner since.
    if (ask !== undefined && !isSame) this.cancel(request);
    if (ask === undefined || !isSame) ask = this.#ask(request, server, nowMs);
    if (ask.coordinator === undefined) return ownRequests === 0;
    return ask.state === "given";
  }

  /** A request is sent with its slot. The returned function gives it back. */
  markInUse(request: WaitingRequest): (tookMs: number | undefined) => void {
    const ask = this.#open.get(request);
    if (ask === undefined) return () => {};
    this.#open.delete(request);
    ask.state = "in-use";
    return (tookMs) => this.#end(ask, tookMs);
  }

  /** A request needs no slot any more. */
  cancel(request: WaitingRequest): void {
    const ask = this.#open.get(request);
    if (ask === undefined) return;
    this.#open.delete(request);
    this.#end(ask, undefined);
  }

  /** Whether no request waits for a slot. */
  get isIdle(): boolean {
    return this.#open.size === 0;
  }

  /** Words of a coordinator. */
  handleReplies(
    coordinator: contracts.VmId,
    words: readonly SlotReply[],
    nowMs: number,
  ): void {
    for (const { id, kind, refusal } of words) {
      const ask = this.#byId.get(id);
      if (ask === undefined || ask.coordinator !== coordinator) {
        // The wish was withdrawn before the slot was given.
        if (kind === "given") this.#message(coordinator).ended.push({ id });
        continue;
      }
      ask.lastReplyMs = nowMs;
      if (ask.state === "in-use" || ask.state === "given") continue;
      if (kind === "refused") this.#refuse(ask, refusal!);
      else this.#advance(ask, kind);
    }
  }

  /** Sends again what was lost, and turns from coordinators that are silent. */
  tick(nowMs: number): void {
    for (const [coordinator, untilMs] of this.#silentUntilMs) {
      if (nowMs >= untilMs) this.#silentUntilMs.delete(coordinator);
    }
    for (const ask of [...this.#open.values()]) this.#review(ask, nowMs);
    if (nowMs - this.#listedMs < HELD_SLOTS_INTERVAL_MS) return;
    this.#listedMs = nowMs;
    for (
      const { state, coordinator, slotRequest: wish } of this.#byId.values()
    ) {
      if (state !== "in-use" || coordinator === undefined) continue;
      const message = this.#message(coordinator);
      message.held ??= [];
      message.held.push(wish);
    }
  }

  /** Takes what is to be sent, by coordinator. */
  drainMessages(): Map<contracts.VmId, CoordinatorMessage> {
    const messages = new Map(this.#outbox);
    this.#outbox.clear();
    return messages;
  }

  #ask(
    request: WaitingRequest,
    server: SlotServer,
    nowMs: number,
  ): OpenRequest {
    const { vm, coordinatorOf } = this.#options;
    const { route, targetMs, answerByMs } = request;
    const { service, server: name, bornMs, slots } = server;
    const wish: SlotRequest = {
      service,
      server: name,
      bornMs,
      slots,
      id: this.#nextId++,
      vm,
      route,
      targetMs,
      answerByMs,
    };
    const coordinator = coordinatorOf(
      server,
      new Set(this.#silentUntilMs.keys()),
    );
    const ask: OpenRequest = {
      slotRequest: wish,
      request,
      coordinator,
      state: "asked",
      sentMs: nowMs,
      lastReplyMs: nowMs,
    };
    this.#open.set(request, ask);
    this.#byId.set(wish.id, ask);
    if (coordinator !== undefined) {
      this.#message(coordinator).requests.push(wish);
    }
    return ask;
  }

  #review(ask: OpenRequest, nowMs: number): void {
    const {
      coordinator,
      state,
      lastReplyMs: heardMs,
      sentMs,
      slotRequest: wish,
      request,
    } = ask;
    if (coordinator === undefined || state === "given") return;
    const isQueued = state === "queued";
    const limitMs = isQueued ? QUEUED_TIMEOUT_MS : ANSWER_TIMEOUT_MS;
    if (nowMs - heardMs >= limitMs) {
      if (!this.#silentUntilMs.has(coordinator)) {
        this.#options.onUnresponsive(coordinator);
      }
      this.#silentUntilMs.set(coordinator, nowMs + COORDINATOR_QUARANTINE_MS);
      this.cancel(request);
      // Asks the next coordinator, or goes without one.
      return this.#options.onGranted(request);
    }
    const againMs = isQueued ? QUEUED_RESEND_MS : RESEND_MS;
    if (nowMs - sentMs < againMs) return;
    ask.sentMs = nowMs;
    this.#message(coordinator).requests.push(wish);
  }

  #advance(ask: OpenRequest, kind: "given" | "queued"): void {
    ask.state = kind;
    if (kind === "given") this.#options.onGranted(ask.request);
  }

  #refuse(ask: OpenRequest, refusal: Refusal): void {
    this.#open.delete(ask.request);
    this.#byId.delete(ask.slotRequest.id);
    this.#options.onRefused(ask.request, refusal);
  }

  #end(
    { slotRequest: wish, coordinator }: OpenRequest,
    tookMs: number | undefined,
  ): void {
    this.#byId.delete(wish.id);
    if (coordinator === undefined) return;
    this.#message(coordinator).ended.push({ id: wish.id, tookMs });
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
