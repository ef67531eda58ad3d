/**
 * Slots of servers that own keys: asks for this VM's requests, and gives out
 * slots of the servers that are its share.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { LifeCycle, RegularWork } from "../utils/life_cycle.ts";
import { OncePerTurn } from "../utils/once_per_turn.ts";
import type { PartLog } from "../utils/log.ts";
import type { ColdStartLimits } from "./cold_start_limits.ts";
import type { PeerGossip } from "./peer_gossip.ts";
import * as messages from "./peer_messages.ts";
import type { ServerRegistry } from "./server_registry.ts";

/** Options of {@link SlotTask}. */
export interface SlotTaskOptions {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
  readonly gossip: PeerGossip;
  readonly registry: ServerRegistry;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: PartLog;
  readonly isLeaving: () => boolean;
  readonly coldStarts: ColdStartLimits;
}

/** The queue whose requests ask for slots. */
export interface SlotConsumer {
  grant(request: admission.WaitingRequest): void;
  refuse(
    request: admission.WaitingRequest,
    refusal: admission.Refusal,
  ): void;
}

/** Interval at which lost words are made good and waits are looked through. */
const ACTIVE_TICK_MS = 25;
/** The same while no request waits. */
const IDLE_TICK_MS = 200;

/** The task that speaks with the coordinators, and is one. */
export class SlotTask {
  readonly #options: SlotTaskOptions;
  readonly #asks: admission.SlotClient;
  readonly #coordinator: admission.SlotCoordinator;
  readonly #order: grants.VmRanking;
  /** Answers of the own coordinator, not sent yet. */
  readonly #words = new Map<contracts.VmId, admission.SlotReply[]>();
  readonly #callers = new Map<admission.WaitingRequest, SlotConsumer>();
  #work: RegularWork | undefined;
  /** What changes in one turn of the event loop leaves together. */
  readonly #flushing = new OncePerTurn(() => this.#flush());

  constructor(options: SlotTaskOptions) {
    this.#options = options;
    const { gossip, zone, random, hasher, vm } = options;
    this.#order = new grants.VmRanking(hasher);
    this.#asks = new admission.SlotClient({
      vm,
      coordinatorOf: (server, silent) => this.#coordinatorOf(server, silent),
      onMessage: () => this.#flushing.schedule(),
      onGranted: (request) => this.#callers.get(request)?.grant(request),
      onRefused: (request, refusal) => {
        const caller = this.#callers.get(request);
        this.#callers.delete(request);
        caller?.refuse(request, refusal);
      },
      onUnresponsive: (coordinator) =>
        options.log.warn("Leaves out a VM that gives out slots: no answer.", {
          peer: coordinator,
        }),
    });
    this.#coordinator = new admission.SlotCoordinator({
      zone,
      random,
      onDecision: (decision) => this.#decide(decision),
      coldStartsOf: (service) => options.coldStarts.forCoordinator(service),
    });
    options.registry.onChange(() =>
      this.#order.keepOnly(options.registry.ids())
    );
    gossip.onGuarded(
      messages.SLOT_REQUESTS_METHOD,
      messages.isSlotRequests,
      (asks) => this.#takeAsks(asks),
    );
    gossip.onGuarded(
      messages.SLOT_REPLIES_METHOD,
      messages.isSlotReplies,
      (words) => this.#takeWords(words),
    );
  }

  /** Starts the regular work. */
  start(lifeCycle: LifeCycle): void {
    this.#work = lifeCycle.every(IDLE_TICK_MS, () => {
      const nowMs = this.#options.clock.nowMs();
      this.#asks.tick(nowMs);
      this.#coordinator.sweep(nowMs);
      this.#followLoad();
    });
  }

  #followLoad(): void {
    const isIdle = this.#asks.isIdle && !this.#coordinator.hasPending;
    this.#work?.setIntervalMs(isIdle ? IDLE_TICK_MS : ACTIVE_TICK_MS);
  }

  /** Slots for the requests of one queue. */
  source(caller: SlotConsumer): admission.SlotSource {
    return {
      tryAcquire: (request, load, nowMs) => {
        this.#callers.set(request, caller);
        const ownRequests = load.ownInFlight;
        return this.#asks.tryAcquire(request, load.entry, {
          ownRequests,
          nowMs,
        });
      },
      markInUse: (request) => {
        this.#callers.delete(request);
        return this.#asks.markInUse(request);
      },
      cancel: (request) => {
        this.#callers.delete(request);
        this.#asks.cancel(request);
      },
    };
  }

  /** How much longer than average each server takes, as this coordinator sees it. */
  latencyFactors(
    service: contracts.ServiceId,
  ): Map<contracts.ServerId, number> {
    return this.#coordinator.latencyFactors(service);
  }

  /**
   * The first of the VMs in the server's availability zone, in an order of the
   * server's own; of all VMs when that zone has none.
   */
  #coordinatorOf(
    { server }: admission.SlotServer,
    silent: ReadonlySet<contracts.VmId>,
  ): contracts.VmId | undefined {
    const { gossip, registry, vm } = this.#options;
    const zone = registry.zoneOf(server);
    const inZone = zone === undefined ? [] : gossip.liveVmsIn(zone);
    const near = inZone.filter((it) => this.#isAble(it, silent));
    const able = near.length > 0
      ? near
      : [vm, ...gossip.live.map((peer) => peer.vm)]
        .filter((it) => this.#isAble(it, silent)).sort();
    return this.#order.rank(server, able)[0];
  }

  #isAble(
    candidate: contracts.VmId,
    silent: ReadonlySet<contracts.VmId>,
  ): boolean {
    const { vm, isLeaving } = this.#options;
    return !silent.has(candidate) && (candidate !== vm || !isLeaving());
  }

  #flush(): void {
    this.#followLoad();
    const { vm, gossip } = this.#options;
    for (const [coordinator, message] of this.#asks.drainMessages()) {
      const asks = this.#encodeAsks(message);
      if (coordinator === vm) this.#takeAsks(asks);
      else gossip.send(messages.SLOT_REQUESTS_METHOD, asks, [coordinator]);
    }
    const answers = [...this.#words];
    this.#words.clear();
    for (const [to, words] of answers) {
      const answer = encodeReplies(vm, words);
      if (to === vm) this.#takeWords(answer);
      else gossip.send(messages.SLOT_REPLIES_METHOD, answer, [to]);
    }
  }

  #encodeAsks(
    { requests: wishes, ended, held }: admission.CoordinatorMessage,
  ): messages.SlotRequests {
    const { vm, clock } = this.#options;
    const nowMs = clock.nowMs();
    return {
      vm,
      wishes: wishes.map((wish) => [
        encodeSlot(wish),
        Math.round(wish.targetMs - nowMs),
        Math.round(wish.answerByMs - nowMs),
      ]),
      ended: ended.map(({ id, tookMs }) => [id, tookMs ?? null]),
      held: held?.map(encodeSlot) ?? null,
    };
  }

  #takeAsks({ vm, wishes, ended, held }: messages.SlotRequests): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [id, tookMs] of ended) {
      this.#coordinator.release(vm, id, { tookMs: tookMs ?? undefined, nowMs });
    }
    for (const [slot, targetLeftMs, answerLeftMs] of wishes) {
      this.#coordinator.request({
        ...decodeSlot(slot),
        vm,
        targetMs: nowMs + targetLeftMs,
        answerByMs: nowMs + answerLeftMs,
      }, nowMs);
    }
    if (held === null) return;
    this.#coordinator.reconcileHeld(vm, held.map(decodeSlot), nowMs);
  }

  #takeWords({ vm, given, queued, refused }: messages.SlotReplies): void {
    const words: admission.SlotReply[] = [
      ...given.map((id) => ({ id, kind: "given" as const })),
      ...queued.map((id) => ({ id, kind: "queued" as const })),
      ...refused.map(([id, reason, retryAfterMs, expectedWaitMs]) => ({
        id,
        kind: "refused" as const,
        refusal: { reason, retryAfterMs, expectedWaitMs },
      })),
    ];
    this.#asks.handleReplies(vm, words, this.#options.clock.nowMs());
  }

  #decide({ vm, ...word }: admission.SlotDecision): void {
    const words = this.#words.get(vm);
    if (words === undefined) this.#words.set(vm, [word]);
    else words.push(word);
    this.#flushing.schedule();
  }
}

function encodeSlot(
  { id, service, server, bornMs, slots, route }: admission.HeldSlot,
): messages.SlotTuple {
  const { name, priority, targetLatencyMs } = route;
  return [
    id,
    service,
    server,
    bornMs,
    slots,
    name,
    priority,
    targetLatencyMs,
  ];
}

function decodeSlot(
  [id, service, server, bornMs, slots, name, priority, targetLatencyMs]:
    messages.SlotTuple,
): admission.HeldSlot {
  const route = { name, priority, targetLatencyMs };
  return { id, service, server, bornMs, slots, route };
}

function encodeReplies(
  vm: contracts.VmId,
  words: readonly admission.SlotReply[],
): messages.SlotReplies {
  const idsOf = (wanted: admission.SlotReply["kind"]) =>
    words.filter(({ kind }) => kind === wanted).map(({ id }) => id);
  return {
    vm,
    given: idsOf("given"),
    queued: idsOf("queued"),
    refused: words.flatMap(({ id, refusal }) =>
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
