/**
 * Slots of an unkeyed service from its dispatcher, which may be another entry
 * VM. When the dispatcher is silent, or the service's policy is another, this
 * VM chooses by itself.
 */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type { ServerView } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import { CoalescedCallback } from "../utils/coalesced_callback.ts";
import type { PeerRpc } from "./peer_rpc.ts";
import type { Slot, SlotAllocator, SlotRequest } from "./slot_allocator.ts";
import type { SlotDispatcher } from "./slot_dispatcher.ts";
import * as messages from "./slot_messages.ts";

/** Options of {@link DispatchedAllocator}. */
export interface DispatchedAllocatorOptions {
  readonly service: contracts.Service;
  readonly peers: PeerRpc;
  /** This VM's own dispatcher. */
  readonly dispatcher: SlotDispatcher;
  /** Used while the dispatcher is silent and by other policies. */
  readonly fallback: SlotAllocator;
  readonly servers: ServerView;
  readonly clock: contracts.Clock;
  readonly hash: (text: string) => number;
  readonly log: Logger;
}

/** Time the dispatcher has to answer an update. */
const UPDATE_TIMEOUT_MS = 250;
/** Updates on their way at a time; more are gathered into one. */
const MAX_UPDATES_IN_FLIGHT = 2;
/** Interval at which a silent dispatcher is asked again. */
const PROBE_INTERVAL_MS = 1000;
/** A dispatcher that said nothing for this long while requests wait is asked. */
const MAX_QUIET_MS = 50;

interface HeldGrant {
  readonly grant: number;
  readonly dispatcher: contracts.Incarnation;
}

/** The entry VM's side of one service's dispatcher. */
export class DispatchedAllocator implements SlotAllocator {
  readonly #options: DispatchedAllocatorOptions;
  readonly #wishes = new Map<number, SlotRequest>();
  readonly #numbers = new Map<SlotRequest, number>();
  readonly #held = new Map<Slot, HeldGrant>();
  #wants: messages.SlotRequestMessage[] = [];
  #withdrawn: number[] = [];
  #ended: messages.SlotRelease[] = [];
  #dispatcher: contracts.VmId | undefined;
  #incarnation: contracts.Incarnation | undefined;
  #isSilent = false;
  #askAgainMs = -Infinity;
  #heardMs = -Infinity;
  #updatesInFlight = 0;
  #nextWish = 1;
  /** What changes in one turn of the event loop leaves together. */
  readonly #flushing = new CoalescedCallback(() => this.#flush());
  #service: contracts.Service;

  constructor(options: DispatchedAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
  }

  get waitingCount(): number {
    return this.#wishes.size + this.#options.fallback.waitingCount;
  }

  acquire(wish: SlotRequest): void {
    if (this.#dispatcher === undefined) this.#chooseDispatcher();
    const nowMs = this.#options.clock.nowMs();
    const isAlone = this.#dispatcher === undefined ||
      this.#service.policy !== routing.DISPATCHED_POLICY ||
      this.#isSilent;
    if (isAlone) {
      this.#options.fallback.acquire(wish);
      return;
    }
    const number = this.#nextWish++;
    this.#wishes.set(number, wish);
    this.#numbers.set(wish, number);
    this.#wants.push({
      wish: number,
      timeLeftMs: wish.deadlineMs - nowMs,
      tenant: wish.tenant,
      tried: [...wish.tried],
    });
    this.#flushing.schedule();
  }

  withdraw(wish: SlotRequest): void {
    const number = this.#forget(wish);
    if (number === undefined) {
      this.#options.fallback.withdraw(wish);
      return;
    }
    this.#withdrawn.push(number);
    this.#flushing.schedule();
  }

  release(slot: Slot, end: routing.AttemptOutcome): void {
    const held = this.#held.get(slot);
    if (held === undefined) {
      this.#options.fallback.release(slot, end);
      return;
    }
    this.#held.delete(slot);
    // A dispatcher that has restarted knows nothing of the grant.
    if (held.dispatcher !== this.#incarnation) return;
    this.#ended.push({ grant: held.grant, end });
    this.#flushing.schedule();
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#options.fallback.configure(service);
  }

  hasUntriedServer(tried: ReadonlySet<contracts.ServerId>): boolean {
    return this.#options.fallback.hasUntriedServer(tried);
  }

  refresh(): void {
    this.#options.fallback.refresh();
    this.#chooseDispatcher();
    const nowMs = this.#options.clock.nowMs();
    const isQuiet = nowMs - this.#heardMs > MAX_QUIET_MS;
    // Without this a dispatcher that froze after it took a want would hold
    // the request until its deadline.
    const mustHear = this.#wishes.size > 0 && isQuiet;
    // No request pays for finding out whether the dispatcher is back.
    const mustAsk = this.#isSilent && nowMs >= this.#askAgainMs;
    if (mustAsk) this.#askAgainMs = nowMs + PROBE_INTERVAL_MS;
    if (mustHear || mustAsk) this.#flushing.schedule();
  }

  /** Takes decisions that a dispatcher sent later. */
  applyDecisions(decided: messages.SlotsDecided): void {
    this.#heardMs = this.#options.clock.nowMs();
    const isCurrent = decided.vm === this.#dispatcher;
    if (isCurrent) this.#incarnation = decided.incarnation;
    for (const decision of decided.decisions) {
      const wish = this.#wishes.get(decision.wish);
      if (decision.kind === "granted") {
        this.#takeGrant(wish, decision, decided.incarnation);
      } else if (wish !== undefined) {
        this.#forget(wish);
        wish.onRefused(decision.reason, {
          retryAfterMs: decision.retryAfterMs,
          message: "Too many requests wait for the service; come back later",
        });
      }
    }
  }

  #takeGrant(
    wish: SlotRequest | undefined,
    decision: Extract<messages.SlotDecision, { kind: "granted" }>,
    dispatcher: contracts.Incarnation,
  ): void {
    const { grant, server } = decision;
    const address = this.#options.servers.server(server);
    if (wish === undefined || address === undefined) {
      this.#ended.push({ grant, end: { kind: "abandoned" } });
      this.#flushing.schedule();
      // A server that this VM does not know yet; another is asked for.
      if (wish !== undefined) {
        this.#forget(wish);
        this.acquire(wish);
      }
      return;
    }
    this.#forget(wish);
    const slot: Slot = { address, sentMs: this.#options.clock.nowMs() };
    this.#held.set(slot, { grant, dispatcher });
    wish.onGranted(slot);
  }

  #forget(wish: SlotRequest): number | undefined {
    const number = this.#numbers.get(wish);
    if (number === undefined) return undefined;
    this.#numbers.delete(wish);
    this.#wishes.delete(number);
    return number;
  }

  #chooseDispatcher(): void {
    const { peers, hash } = this.#options;
    const { name } = this.#service;
    const members = peers.members();
    const chosen = routing.chooseByRendezvous(members, name, { hash });
    if (chosen === this.#dispatcher) return;
    this.#options.log.info("Has a new dispatcher.", {
      service: name,
      vm: chosen,
    });
    this.#dispatcher = chosen;
    this.#incarnation = undefined;
    this.#isSilent = false;
    this.#startAnew();
  }

  /** Requests that wait at a dispatcher which is no longer asked. */
  #startAnew(): void {
    this.#wants = [];
    this.#withdrawn = [];
    this.#ended = [];
    const wishes = [...this.#numbers.keys()];
    this.#wishes.clear();
    this.#numbers.clear();
    for (const wish of wishes) this.acquire(wish);
  }

  #flush(): void {
    const { dispatcher, peers } = this.#options;
    const to = this.#dispatcher;
    if (to === undefined) return;
    if (to === peers.self.vm) {
      this.applyDecisions(dispatcher.update(this.#drainOutbox()));
      return;
    }
    if (this.#updatesInFlight >= MAX_UPDATES_IN_FLIGHT) return;
    this.#send(to, this.#drainOutbox()).catch(() => {});
  }

  #drainOutbox(): messages.SlotsUpdate {
    const { peers } = this.#options;
    const update: messages.SlotsUpdate = {
      service: this.#service.name,
      vm: peers.self.vm,
      incarnation: peers.self.incarnation,
      dispatcher: this.#incarnation,
      wants: this.#wants,
      withdrawn: this.#withdrawn,
      ended: this.#ended,
      held: this.#heldNumbers(),
    };
    this.#wants = [];
    this.#withdrawn = [];
    this.#ended = [];
    return update;
  }

  #heldNumbers(): number[] {
    const numbers: number[] = [];
    for (const { grant, dispatcher } of this.#held.values()) {
      if (dispatcher === this.#incarnation) numbers.push(grant);
    }
    return numbers;
  }

  async #send(to: contracts.VmId, update: messages.SlotsUpdate): Promise<void> {
    this.#updatesInFlight++;
    const reply = await this.#options.peers.call(
      to,
      messages.SLOTS_UPDATE_METHOD,
      {
        params: update,
        schema: messages.slotsDecidedSchema,
        timeoutMs: UPDATE_TIMEOUT_MS,
      },
    );
    this.#updatesInFlight--;
    if (to !== this.#dispatcher) return;
    if (reply === undefined) {
      this.#noteSilent(update);
      return;
    }
    if (this.#isSilent) this.#noteBack();
    this.applyDecisions(reply);
    const hasMore = this.#wants.length + this.#withdrawn.length +
        this.#ended.length > 0;
    if (hasMore) this.#flushing.schedule();
  }

  #noteSilent(update: messages.SlotsUpdate): void {
    // The dispatcher drops an end that it has seen before.
    const ended = [...update.ended, ...this.#ended];
    this.#askAgainMs = this.#options.clock.nowMs() + PROBE_INTERVAL_MS;
    if (!this.#isSilent) {
      this.#options.log.info("Dispatcher is silent; chooses alone.", {
        service: this.#service.name,
        vm: this.#dispatcher,
      });
    }
    this.#isSilent = true;
    this.#startAnew();
    this.#ended = ended;
  }

  #noteBack(): void {
    this.#isSilent = false;
    this.#options.log.info("Dispatcher is back.", {
      service: this.#service.name,
      vm: this.#dispatcher,
    });
  }
}
