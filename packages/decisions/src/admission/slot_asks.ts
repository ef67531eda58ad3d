/** What this entry VM asks of the desks that give out owners' slots. */
import type * as contracts from "@guavatide/contracts";
import type { DeskServer, HeldSlot, SlotWish } from "./slot_desk.ts";
import type { Refusal, WaitingRequest } from "./waiting_request.ts";

/** Messages for one desk, sent together. */
export interface SlotMessage {
  readonly wishes: SlotWish[];
  /** Wishes and slots that are over, with the time of an answered request. */
  readonly ended: { readonly id: number; readonly tookMs?: number }[];
  /** All slots that this VM has of the desk; undefined when not told now. */
  held: HeldSlot[] | undefined;
}

/** A desk's answer to one wish. */
export interface SlotWord {
  readonly id: number;
  readonly kind: "given" | "queued" | "refused";
  readonly refusal?: Refusal;
}

/** Options of {@link SlotAsks}. */
export interface SlotAsksOptions {
  readonly vm: contracts.VmId;
  /** The VM that gives out a server's slots, leaving out silent ones. */
  readonly deskOf: (
    server: DeskServer,
    silent: ReadonlySet<contracts.VmId>,
  ) => contracts.VmId | undefined;
  /** There are messages to send. */
  readonly onMessage: () => void;
  /** A request has a slot and can be placed. */
  readonly onGiven: (request: WaitingRequest) => void;
  readonly onRefused: (request: WaitingRequest, refusal: Refusal) => void;
  /** A desk is left out for a while, and asked again afterwards. */
  readonly onSilent: (desk: contracts.VmId) => void;
}

/** A wish without any word is sent again: the datagram was lost. */
const ASK_AGAIN_MS = 60;
/** A desk that leaves a wish without any word for so long is not asked. */
const DESK_SILENT_MS = 250;
/** A wish that is queued is told again at this interval. */
const QUEUED_AGAIN_MS = 300;
/** A desk that does not confirm a queued wish for so long is gone. */
const QUEUED_SILENT_MS = 800;
/** How long a silent desk is left out. */
const SILENT_REST_MS = 2_000;
/** Interval at which slots are listed to their desks. */
const LIST_MS = 500;

interface Ask {
  readonly wish: SlotWish;
  readonly request: WaitingRequest;
  /** Undefined when no desk can be asked. */
  readonly desk: contracts.VmId | undefined;
  state: "asked" | "queued" | "given" | "in-use";
  sentMs: number;
  heardMs: number;
}

/** Wishes and slots of one entry VM. */
export class SlotAsks {
  readonly #options: SlotAsksOptions;
  readonly #open = new Map<WaitingRequest, Ask>();
  readonly #byId = new Map<number, Ask>();
  readonly #silentUntilMs = new Map<contracts.VmId, number>();
  readonly #outbox = new Map<contracts.VmId, SlotMessage>();
  #nextId = 1;
  #listedMs = 0;

  constructor(options: SlotAsksOptions) {
    this.#options = options;
  }

  /**
   * Whether a request has a slot at a server; asks for one if it has not.
   * `ownRequests` are this VM's requests there: without any desk the first is
   * sent all the same.
   */
  take(
    request: WaitingRequest,
    server: DeskServer,
    { ownRequests, nowMs }: { ownRequests: number; nowMs: number },
  ): boolean {
    let ask = this.#open.get(request);
    const isSame = ask?.wish.server === server.server &&
      ask.wish.bornMs === server.bornMs;
    // The key has moved to another owner since.
    if (ask !== undefined && !isSame) this.withdraw(request);
    if (ask === undefined || !isSame) ask = this.#ask(request, server, nowMs);
    if (ask.desk === undefined) return ownRequests === 0;
    return ask.state === "given";
  }

  /** A request is sent with its slot. The returned function gives it back. */
  begin(request: WaitingRequest): (tookMs: number | undefined) => void {
    const ask = this.#open.get(request);
    if (ask === undefined) return () => {};
    this.#open.delete(request);
    ask.state = "in-use";
    return (tookMs) => this.#end(ask, tookMs);
  }

  /** A request needs no slot any more. */
  withdraw(request: WaitingRequest): void {
    const ask = this.#open.get(request);
    if (ask === undefined) return;
    this.#open.delete(request);
    this.#end(ask, undefined);
  }

  /** Words of a desk. */
  noteWords(
    desk: contracts.VmId,
    words: readonly SlotWord[],
    nowMs: number,
  ): void {
    for (const { id, kind, refusal } of words) {
      const ask = this.#byId.get(id);
      if (ask === undefined || ask.desk !== desk) {
        // The wish was withdrawn before the slot was given.
        if (kind === "given") this.#message(desk).ended.push({ id });
        continue;
      }
      ask.heardMs = nowMs;
      if (ask.state === "in-use" || ask.state === "given") continue;
      if (kind === "refused") this.#refuse(ask, refusal!);
      else this.#advance(ask, kind);
    }
  }

  /** Sends again what was lost, and turns from desks that are silent. */
  tick(nowMs: number): void {
    for (const [desk, untilMs] of this.#silentUntilMs) {
      if (nowMs >= untilMs) this.#silentUntilMs.delete(desk);
    }
    for (const ask of [...this.#open.values()]) this.#review(ask, nowMs);
    if (nowMs - this.#listedMs < LIST_MS) return;
    this.#listedMs = nowMs;
    for (const { state, desk, wish } of this.#byId.values()) {
      if (state !== "in-use" || desk === undefined) continue;
      const message = this.#message(desk);
      message.held ??= [];
      message.held.push(wish);
    }
  }

  /** Takes what is to be sent, by desk. */
  takeMessages(): Map<contracts.VmId, SlotMessage> {
    const messages = new Map(this.#outbox);
    this.#outbox.clear();
    return messages;
  }

  #ask(request: WaitingRequest, server: DeskServer, nowMs: number): Ask {
    const { vm, deskOf } = this.#options;
    const { route, targetMs, answerByMs } = request;
    const { service, server: name, bornMs, slots } = server;
    const wish: SlotWish = {
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
    const desk = deskOf(server, new Set(this.#silentUntilMs.keys()));
    const ask: Ask = {
      wish,
      request,
      desk,
      state: "asked",
      sentMs: nowMs,
      heardMs: nowMs,
    };
    this.#open.set(request, ask);
    this.#byId.set(wish.id, ask);
    if (desk !== undefined) this.#message(desk).wishes.push(wish);
    return ask;
  }

  #review(ask: Ask, nowMs: number): void {
    const { desk, state, heardMs, sentMs, wish, request } = ask;
    if (desk === undefined || state === "given") return;
    const isQueued = state === "queued";
    const limitMs = isQueued ? QUEUED_SILENT_MS : DESK_SILENT_MS;
    if (nowMs - heardMs >= limitMs) {
      if (!this.#silentUntilMs.has(desk)) this.#options.onSilent(desk);
      this.#silentUntilMs.set(desk, nowMs + SILENT_REST_MS);
      this.withdraw(request);
      // Asks the next desk, or goes without one.
      return this.#options.onGiven(request);
    }
    const againMs = isQueued ? QUEUED_AGAIN_MS : ASK_AGAIN_MS;
    if (nowMs - sentMs < againMs) return;
    ask.sentMs = nowMs;
    this.#message(desk).wishes.push(wish);
  }

  #advance(ask: Ask, kind: "given" | "queued"): void {
    ask.state = kind;
    if (kind === "given") this.#options.onGiven(ask.request);
  }

  #refuse(ask: Ask, refusal: Refusal): void {
    this.#open.delete(ask.request);
    this.#byId.delete(ask.wish.id);
    this.#options.onRefused(ask.request, refusal);
  }

  #end({ wish, desk }: Ask, tookMs: number | undefined): void {
    this.#byId.delete(wish.id);
    if (desk === undefined) return;
    this.#message(desk).ended.push({ id: wish.id, tookMs });
  }

  #message(desk: contracts.VmId): SlotMessage {
    const found = this.#outbox.get(desk);
    if (found !== undefined) return found;
    const created: SlotMessage = { wishes: [], ended: [], held: undefined };
    this.#outbox.set(desk, created);
    this.#options.onMessage();
    return created;
  }
}
