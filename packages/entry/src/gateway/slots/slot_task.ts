/**
 * Slots of servers of keyed services: requests slots from the coordinators, and
 * grants slots of the servers that this VM coordinates.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import { CoalescedCallback } from "../../utils/coalesced_callback.ts";
import type { Logger } from "../../utils/log.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import type { RequestLimitTask } from "../limits/request_limit_task.ts";
import type { ServerRateLimits } from "../limits/server_rate_limits.ts";
import * as messages from "../peers/peer_messages.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link SlotTask}. */
export interface SlotTaskOptions {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
  readonly gossip: PeerGossip;
  readonly registry: ServerRegistry;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
  readonly isLeaving: () => boolean;
  readonly rateLimits: ServerRateLimits;
  /** Whether another server can take over what this one owns. */
  readonly isReplaceable: (server: admission.SlotServer) => boolean;
  readonly requestLimits: Pick<
    RequestLimitTask,
    "newsOf" | "applyNews" | "hasAny"
  >;
  /** Whether callers have shares, by the configuration in force. */
  readonly hasShares: () => boolean;
  /** Service times that this VM has measured at all servers of a service. */
  readonly timesOf: (
    service: contracts.ServiceId,
  ) => admission.ServiceTimes | undefined;
  /** Decisions on hot keys, by service and decision. */
  readonly hotKeyCounts: LabelledCounts;
  /** Counts requests refused at stalled servers, and slots freed, by kind. */
  readonly counts: LabelledCounts;
}

/** A queue whose requests need slots. */
export interface SlotConsumer {
  grant(request: admission.WaitingRequest): void;
  refuse(
    request: admission.WaitingRequest,
    refusal: admission.Refusal,
  ): void;
}

/** Keeps ids of requests exact and their messages small. */
const MAX_FIRST_ID = 2 ** 40;
/** Interval at which lost messages are resent and waiting requests checked. */
const ACTIVE_TICK_MS = 25;
/** The same interval while no request waits. */
const IDLE_TICK_MS = 200;

/** Client of the slot coordinators, and the coordinator of some servers. */
export class SlotTask {
  readonly #options: SlotTaskOptions;
  readonly #requester: admission.SlotClient;
  readonly #coordinator: admission.SlotCoordinator;
  readonly #ranking: grants.VmRanking;
  readonly #limitedKeyLog: ThrottledWarning;
  /** Replies of this VM's coordinator that are not sent yet. */
  readonly #replies = new Map<contracts.VmId, admission.SlotReply[]>();
  readonly #consumers = new Map<admission.WaitingRequest, SlotConsumer>();
  #tickTask: PeriodicTask | undefined;
  /** Changes in one event loop iteration are sent together. */
  readonly #flushing = new CoalescedCallback(() =>
    this.#lifeCycle?.guard("messages on slots", () => this.#flush())
  );
  #lifeCycle: LifeCycle | undefined;
  readonly #stallLog: ThrottledWarning;
  readonly #lostSlotLog: ThrottledWarning;
  readonly #overdueLog: ThrottledWarning;

  constructor(options: SlotTaskOptions) {
    this.#options = options;
    const { log } = options;
    this.#stallLog = new ThrottledWarning(log, "Refuses at a stalled server.");
    this.#lostSlotLog = new ThrottledWarning(
      log,
      "Freed a slot that its VM no longer lists.",
    );
    this.#overdueLog = new ThrottledWarning(
      log,
      "Released a slot that was in use after its deadline.",
    );
    const { gossip, zone, random, hasher, vm } = options;
    this.#ranking = new grants.VmRanking(hasher, () => gossip.roleWeights);
    this.#limitedKeyLog = new ThrottledWarning(
      options.log,
      "Limits a key that asks for more than its owner has left.",
    );
    this.#requester = new admission.SlotClient({
      vm,
      firstId: 1 + Math.floor(random.next() * MAX_FIRST_ID),
      coordinatorOf: (server, unresponsive) =>
        this.#coordinatorOf(server, unresponsive),
      onMessage: () => this.#flushing.schedule(),
      onGranted: (request) => this.#consumers.get(request)?.grant(request),
      onRefused: (request, refusal) => {
        const consumer = this.#consumers.get(request);
        this.#consumers.delete(request);
        consumer?.refuse(request, refusal);
      },
      onUnresponsive: (coordinator) =>
        options.log.warn("Skips an unresponsive slot coordinator.", {
          peer: coordinator,
        }),
      onOverdue: ({ id, server }) => this.#noteOverdue(id, server),
    });
    this.#coordinator = new admission.SlotCoordinator({
      zone,
      random,
      onDecision: (decision) => this.#queueReply(decision),
      rateLimitsOf: (service) => options.rateLimits.forCoordinator(service),
      isReplaceable: options.isReplaceable,
      hasShares: options.hasShares,
      timesOf: options.timesOf,
      onKeyLimited: ({ service, server }, key) => {
        options.hotKeyCounts.add(1, { service, decision: "limited" });
        const fields = { service, server, key };
        this.#limitedKeyLog.warn(options.clock.nowMs(), fields);
      },
      onStallRefusal: (report) => this.#noteStallRefusal(report),
      onSlotLost: (server, slot) => this.#noteSlotLost(server, slot),
    });
    options.registry.onChange(() =>
      this.#ranking.keepOnly(options.registry.ids())
    );
    gossip.onGuarded(
      messages.SLOT_REQUESTS_METHOD,
      messages.isSlotRequests,
      (requests) => this.#handleRequests(requests),
    );
    gossip.onGuarded(
      messages.SLOT_REPLIES_METHOD,
      messages.isSlotReplies,
      (replies) => this.#handleReplies(replies),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#lifeCycle = lifeCycle;
    this.#tickTask = lifeCycle.every(IDLE_TICK_MS, () => {
      const nowMs = this.#options.clock.nowMs();
      this.#requester.tick(nowMs);
      this.#coordinator.sweep(nowMs);
      this.#adjustInterval();
    }, "slots");
  }

  #adjustInterval(): void {
    const isIdle = this.#requester.isIdle && !this.#coordinator.hasPending;
    this.#tickTask?.setIntervalMs(isIdle ? IDLE_TICK_MS : ACTIVE_TICK_MS);
  }

  /** A source of slots for the requests of one queue. */
  source(consumer: SlotConsumer): admission.SlotSource {
    return {
      tryAcquire: (request, load, nowMs) => {
        this.#consumers.set(request, consumer);
        const ownRequests = load.ownInFlight;
        return this.#requester.tryAcquire(request, load.entry, {
          ownRequests,
          nowMs,
        });
      },
      markInUse: (request) => {
        this.#consumers.delete(request);
        return this.#requester.markInUse(request);
      },
      cancel: (request) => {
        this.#consumers.delete(request);
        this.#requester.cancel(request);
      },
    };
  }

  /**
   * Latency of each server relative to the service's average, as measured by
   * this VM's coordinator.
   */
  latencyFactors(
    service: contracts.ServiceId,
  ): Map<contracts.ServerId, number> {
    return this.#coordinator.latencyFactors(service);
  }

  /**
   * The first eligible VM of the server's availability zone, in an order that
   * depends on the server and on the strength of the VMs; of all VMs when that
   * zone has none.
   */
  #coordinatorOf(
    { server }: admission.SlotServer,
    unresponsive: ReadonlySet<contracts.VmId>,
  ): contracts.VmId | undefined {
    const { gossip, registry } = this.#options;
    const isEligible = (vm: contracts.VmId) =>
      this.#isEligible(vm, unresponsive);
    const zone = registry.zoneOf(server);
    const inZone = zone === undefined
      ? []
      : gossip.liveVmsIn(zone).filter(isEligible);
    const eligible = inZone.length > 0
      ? inZone
      : gossip.liveVmsIn(undefined).filter(isEligible);
    return this.#ranking.rank(server, eligible)[0];
  }

  #isEligible(
    candidate: contracts.VmId,
    unresponsive: ReadonlySet<contracts.VmId>,
  ): boolean {
    const { vm, isLeaving } = this.#options;
    return !unresponsive.has(candidate) && (candidate !== vm || !isLeaving());
  }

  #flush(): void {
    this.#adjustInterval();
    const { vm, gossip } = this.#options;
    for (const [coordinator, message] of this.#requester.drainMessages()) {
      const requests = this.#encodeRequests(message);
      if (coordinator === vm) this.#handleRequests(requests);
      else gossip.send(messages.SLOT_REQUESTS_METHOD, requests, [coordinator]);
    }
    const pending = [...this.#replies];
    this.#replies.clear();
    for (const [to, replies] of pending) {
      const answer = encodeReplies(vm, replies);
      if (to === vm) this.#handleReplies(answer);
      else gossip.send(messages.SLOT_REPLIES_METHOD, answer, [to]);
    }
  }

  #encodeRequests(
    { requests, ended, held }: admission.CoordinatorMessage,
  ): messages.SlotRequests {
    const { vm, clock } = this.#options;
    const nowMs = clock.nowMs();
    return {
      vm,
      wishes: requests.map((request) => encodeRequest(request, nowMs)),
      ended: ended.map(({ id, tookMs }) => [id, tookMs ?? null]),
      held: held?.map(encodeSlot) ?? null,
      limits: this.#limitsOf(requests),
    };
  }

  /** Limits that the coordinator needs, should it not have heard of them. */
  #limitsOf(
    requests: readonly admission.SlotRequest[],
  ): messages.RequestLimitTuple[] | undefined {
    const { requestLimits } = this.#options;
    if (!requestLimits.hasAny || requests.length === 0) return undefined;
    const servers = new Set(requests.map(({ server }) => server));
    return requestLimits.newsOf(servers);
  }

  #handleRequests(
    { vm, wishes: requests, ended, held, limits }: messages.SlotRequests,
  ): void {
    if (limits !== undefined) this.#options.requestLimits.applyNews(limits);
    const nowMs = this.#options.clock.nowMs();
    for (const [id, tookMs] of ended) {
      this.#coordinator.release(vm, id, { tookMs: tookMs ?? undefined, nowMs });
    }
    // First, so that slots are granted beside those that the VM holds already.
    if (held !== null) {
      this.#coordinator.reconcileHeld(vm, held.map(decodeSlot), nowMs);
    }
    for (const [slot, targetLeftMs, answerLeftMs, standing] of requests) {
      this.#coordinator.request({
        ...decodeSlot(slot),
        vm,
        targetMs: nowMs + targetLeftMs,
        answerByMs: nowMs + answerLeftMs,
        standing,
      }, nowMs);
    }
  }

  #handleReplies({ vm, given, queued, refused }: messages.SlotReplies): void {
    const replies: admission.SlotReply[] = [
      ...given.map((id) => ({ id, kind: "given" as const })),
      ...queued.map((id) => ({ id, kind: "queued" as const })),
      ...refused.map(([id, reason, retryAfterMs, expectedWaitMs]) => ({
        id,
        kind: "refused" as const,
        refusal: { reason, retryAfterMs, expectedWaitMs },
      })),
    ];
    this.#requester.handleReplies(vm, replies, this.#options.clock.nowMs());
  }

  #noteStallRefusal(
    { server, unansweredMs, held }: admission.StallReport,
  ): void {
    this.#options.counts.add(1, { kind: "stall-refusal" });
    this.#stallLog.warn(this.#options.clock.nowMs(), {
      server: server.server,
      bornMs: server.bornMs,
      unansweredMs: Math.round(unansweredMs),
      slots: server.slots,
      held: held.map(describeSlot).join("; "),
    });
  }

  #noteSlotLost(
    { server }: admission.SlotServer,
    slot: admission.HeldSlotReport,
  ): void {
    this.#options.counts.add(1, { kind: "lost-slot" });
    this.#lostSlotLog.warn(this.#options.clock.nowMs(), {
      server,
      slot: describeSlot(slot),
    });
  }

  #noteOverdue(id: number, server: contracts.ServerId): void {
    this.#options.counts.add(1, { kind: "overdue-slot" });
    this.#overdueLog.warn(this.#options.clock.nowMs(), { id, server });
  }

  #queueReply({ vm, ...reply }: admission.SlotDecision): void {
    const replies = this.#replies.get(vm);
    if (replies === undefined) this.#replies.set(vm, [reply]);
    else replies.push(reply);
    this.#flushing.schedule();
  }
}

function encodeRequest(
  request: admission.SlotRequest,
  nowMs: number,
): messages.SlotRequests["wishes"][number] {
  const { targetMs, answerByMs, standing } = request;
  const usual = [
    encodeSlot(request),
    Math.round(targetMs - nowMs),
    Math.round(answerByMs - nowMs),
  ] as const;
  return standing === undefined ? usual : [...usual, standing];
}

function describeSlot(
  { vm, id, ageMs, unlistedMs }: admission.HeldSlotReport,
): string {
  return `${vm}/${id} for ${Math.round(ageMs)} ms, listed ` +
    `${Math.round(unlistedMs)} ms ago`;
}

function encodeSlot(
  { id, service, server, bornMs, slots, route, key }: admission.HeldSlot,
): messages.SlotTuple {
  const { name, priority, targetLatencyMs } = route;
  const slot = [
    id,
    service,
    server,
    bornMs,
    slots,
    name,
    priority,
    targetLatencyMs,
  ] as const;
  return key === undefined ? slot : [...slot, key];
}

function decodeSlot(
  [id, service, server, bornMs, slots, name, priority, targetLatencyMs, key]:
    messages.SlotTuple,
): admission.HeldSlot {
  const route = { name, priority, targetLatencyMs };
  return { id, service, server, bornMs, slots, route, key };
}

function encodeReplies(
  vm: contracts.VmId,
  replies: readonly admission.SlotReply[],
): messages.SlotReplies {
  const idsOf = (expectedKind: admission.SlotReply["kind"]) =>
    replies.filter(({ kind }) => kind === expectedKind).map(({ id }) => id);
  return {
    vm,
    given: idsOf("given"),
    queued: idsOf("queued"),
    refused: replies.flatMap(({ id, refusal }) =>
      refusal === undefined ? [] : [encodeRefusal(id, refusal)]
    ),
  };
}

function encodeRefusal(
  id: number,
  { reason, retryAfterMs, expectedWaitMs }: admission.Refusal,
): messages.SlotRefusal {
  return [id, reason, Math.round(retryAfterMs), Math.round(expectedWaitMs)];
}
