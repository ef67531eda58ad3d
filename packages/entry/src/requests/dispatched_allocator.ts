/**
 * Allocates slots of an unkeyed service through the service's dispatcher, which
 * may run on another entry VM. While the dispatcher does not respond, or when
 * the service has a different policy, this VM chooses servers by itself.
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
  /** Used while the dispatcher is unresponsive, and for other policies. */
  readonly fallback: SlotAllocator;
  readonly servers: ServerView;
  readonly clock: contracts.Clock;
  readonly hash: (text: string) => number;
  readonly log: Logger;
}

/** Timeout of an update to the dispatcher. */
const UPDATE_TIMEOUT_MS = 250;
/** Limit of concurrent updates; later changes are batched into the next one. */
const MAX_UPDATES_IN_FLIGHT = 2;
/** Interval at which an unresponsive dispatcher is probed. */
const PROBE_INTERVAL_MS = 1000;
/**
 * Time without a message after which the dispatcher is probed while requests
 * wait.
 */
const MAX_QUIET_MS = 50;

interface HeldGrant {
  readonly grant: number;
  readonly dispatcher: contracts.Incarnation;
}

/** Client of the dispatcher of one service. */
export class DispatchedAllocator implements SlotAllocator {
  readonly #options: DispatchedAllocatorOptions;
  readonly #requests = new Map<number, SlotRequest>();
  readonly #requestNumbers = new Map<SlotRequest, number>();
  readonly #heldGrants = new Map<Slot, HeldGrant>();
  #newRequests: messages.SlotRequestMessage[] = [];
  #withdrawn: number[] = [];
  #releases: messages.SlotRelease[] = [];
  #dispatcher: contracts.VmId | undefined;
  #dispatcherIncarnation: contracts.Incarnation | undefined;
  #isUnresponsive = false;
  #nextProbeMs = -Infinity;
  #lastMessageMs = -Infinity;
  #updatesInFlight = 0;
  #nextRequestNumber = 1;
  /** Sends all changes of one event loop turn in one update. */
  readonly #flushScheduler = new CoalescedCallback(() => this.#flush());
  #service: contracts.Service;

  constructor(options: DispatchedAllocatorOptions) {
    this.#options = options;
    this.#service = options.service;
  }

  get waitingCount(): number {
    return this.#requests.size + this.#options.fallback.waitingCount;
  }

  acquire(request: SlotRequest): void {
    if (this.#dispatcher === undefined) this.#chooseDispatcher();
    const nowMs = this.#options.clock.nowMs();
    const choosesLocally = this.#dispatcher === undefined ||
      this.#service.policy !== routing.DISPATCHED_POLICY ||
      this.#isUnresponsive;
    if (choosesLocally) {
      this.#options.fallback.acquire(request);
      return;
    }
    const number = this.#nextRequestNumber++;
    this.#requests.set(number, request);
    this.#requestNumbers.set(request, number);
    this.#newRequests.push({
      wish: number,
      timeLeftMs: request.deadlineMs - nowMs,
      tenant: request.tenant,
      tried: [...request.tried],
    });
    this.#flushScheduler.schedule();
  }

  withdraw(request: SlotRequest): void {
    const number = this.#forgetRequest(request);
    if (number === undefined) {
      this.#options.fallback.withdraw(request);
      return;
    }
    this.#withdrawn.push(number);
    this.#flushScheduler.schedule();
  }

  release(slot: Slot, outcome: routing.AttemptOutcome): void {
    const held = this.#heldGrants.get(slot);
    if (held === undefined) {
      this.#options.fallback.release(slot, outcome);
      return;
    }
    this.#heldGrants.delete(slot);
    // A restarted dispatcher does not know the grant.
    if (held.dispatcher !== this.#dispatcherIncarnation) return;
    this.#releases.push({ grant: held.grant, end: outcome });
    this.#flushScheduler.schedule();
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
    const isQuiet = nowMs - this.#lastMessageMs > MAX_QUIET_MS;
    // Detects a dispatcher that froze after it accepted a request, which would
    // otherwise wait until its deadline.
    const mustCheck = this.#requests.size > 0 && isQuiet;
    // Probes for recovery with separate updates, so that no request waits.
    const mustProbe = this.#isUnresponsive && nowMs >= this.#nextProbeMs;
    if (mustProbe) this.#nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    if (mustCheck || mustProbe) this.#flushScheduler.schedule();
  }

  /** Applies decisions that a dispatcher sent, in a reply or later. */
  applyDecisions(message: messages.SlotsDecided): void {
    this.#lastMessageMs = this.#options.clock.nowMs();
    const isCurrent = message.vm === this.#dispatcher;
    if (isCurrent) this.#dispatcherIncarnation = message.incarnation;
    for (const decision of message.decisions) {
      const request = this.#requests.get(decision.wish);
      if (decision.kind === "granted") {
        this.#acceptGrant(request, decision, message.incarnation);
      } else if (request !== undefined) {
        this.#forgetRequest(request);
        request.onRefused(decision.reason, {
          retryAfterMs: decision.retryAfterMs,
          message: "Too many requests wait for the service; come back later",
        });
      }
    }
  }

  #acceptGrant(
    request: SlotRequest | undefined,
    decision: Extract<messages.SlotDecision, { kind: "granted" }>,
    dispatcher: contracts.Incarnation,
  ): void {
    const { grant, server } = decision;
    const address = this.#options.servers.server(server);
    if (request === undefined || address === undefined) {
      this.#releases.push({ grant, end: { kind: "abandoned" } });
      this.#flushScheduler.schedule();
      // This VM does not know the server yet, so it requests another slot.
      if (request !== undefined) {
        this.#forgetRequest(request);
        this.acquire(request);
      }
      return;
    }
    this.#forgetRequest(request);
    const slot: Slot = { address, sentMs: this.#options.clock.nowMs() };
    this.#heldGrants.set(slot, { grant, dispatcher });
    request.onGranted(slot);
  }

  #forgetRequest(request: SlotRequest): number | undefined {
    const number = this.#requestNumbers.get(request);
    if (number === undefined) return undefined;
    this.#requestNumbers.delete(request);
    this.#requests.delete(number);
    return number;
  }

  #chooseDispatcher(): void {
    const { peers, hash } = this.#options;
    const { name } = this.#service;
    const members = peers.members();
    const chosen = routing.chooseByRendezvous(members, name, { hash });
    if (chosen === this.#dispatcher) return;
    this.#options.log.info("Service has a new dispatcher.", {
      service: name,
      vm: chosen,
    });
    this.#dispatcher = chosen;
    this.#dispatcherIncarnation = undefined;
    this.#isUnresponsive = false;
    this.#requeueAll();
  }

  /** Requests slots again for all that wait at the previous dispatcher. */
  #requeueAll(): void {
    this.#newRequests = [];
    this.#withdrawn = [];
    this.#releases = [];
    const requests = [...this.#requestNumbers.keys()];
    this.#requests.clear();
    this.#requestNumbers.clear();
    for (const request of requests) this.acquire(request);
  }

  #flush(): void {
    const { dispatcher, peers } = this.#options;
    const to = this.#dispatcher;
    if (to === undefined) return;
    if (to === peers.self.vm) {
      this.applyDecisions(dispatcher.handleUpdate(this.#takeUpdate()));
      return;
    }
    if (this.#updatesInFlight >= MAX_UPDATES_IN_FLIGHT) return;
    this.#send(to, this.#takeUpdate()).catch(() => {});
  }

  #takeUpdate(): messages.SlotsUpdate {
    const { peers } = this.#options;
    const update: messages.SlotsUpdate = {
      service: this.#service.name,
      vm: peers.self.vm,
      incarnation: peers.self.incarnation,
      dispatcher: this.#dispatcherIncarnation,
      wants: this.#newRequests,
      withdrawn: this.#withdrawn,
      ended: this.#releases,
      held: this.#heldGrantNumbers(),
    };
    this.#newRequests = [];
    this.#withdrawn = [];
    this.#releases = [];
    return update;
  }

  #heldGrantNumbers(): number[] {
    const numbers: number[] = [];
    for (const { grant, dispatcher } of this.#heldGrants.values()) {
      if (dispatcher === this.#dispatcherIncarnation) numbers.push(grant);
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
      this.#handleNoReply(update);
      return;
    }
    if (this.#isUnresponsive) this.#handleRecovery();
    this.applyDecisions(reply);
    const hasMore = this.#newRequests.length + this.#withdrawn.length +
        this.#releases.length > 0;
    if (hasMore) this.#flushScheduler.schedule();
  }

  #handleNoReply(update: messages.SlotsUpdate): void {
    // Sent again: the dispatcher ignores a release that it has already applied.
    const unsent = [...update.ended, ...this.#releases];
    this.#nextProbeMs = this.#options.clock.nowMs() + PROBE_INTERVAL_MS;
    if (!this.#isUnresponsive) {
      this.#options.log.info(
        "Dispatcher is unresponsive; this VM chooses servers.",
        {
          service: this.#service.name,
          vm: this.#dispatcher,
        },
      );
    }
    this.#isUnresponsive = true;
    this.#requeueAll();
    this.#releases = unsent;
  }

  #handleRecovery(): void {
    this.#isUnresponsive = false;
    this.#options.log.info("Dispatcher responds again.", {
      service: this.#service.name,
      vm: this.#dispatcher,
    });
  }
}
