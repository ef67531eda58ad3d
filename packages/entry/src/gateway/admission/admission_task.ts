/**
 * Fair shares of callers and promised returns at services that are short of
 * capacity: judges requests, sends counts of callers to peers, and sets the
 * Retry-After of refusals.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import {
  CALLER_COUNTS_METHOD,
  type CallerCountsNews,
  isCallerCountsNews,
} from "../peers/peer_messages.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link AdmissionTask}. */
export interface AdmissionTaskOptions {
  readonly vm: contracts.VmId;
  /** Whether callers have shares, by the configuration in force. */
  readonly isActive: () => boolean;
  /** Requests per second that a server can serve. */
  readonly capacityOf: (entry: contracts.RegisteredServer) => number;
  readonly registry: Pick<ServerRegistry, "servers">;
  readonly gossip: Pick<PeerGossip, "onGuarded" | "broadcast" | "vmCount">;
  readonly hash: (text: string) => number;
  readonly clock: contracts.Clock;
  readonly unixMs: () => number;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
  /** Decisions on requests, by service and decision. */
  readonly counts: LabelledCounts;
}

/** Interval of the counts sent to peers while a service is short. */
const COUNTS_INTERVAL_MS = 1_000;
/** Services in one message of counts at most. */
const MAX_SERVICES_SENT = 4;
/** A service's capacity is summed over its servers at this interval. */
const CAPACITY_INTERVAL_MS = 250;

interface Capacity {
  readonly perSecond: number;
  readonly summedMs: number;
}

/** Shares and promises of all services at one VM. */
export class AdmissionTask {
  readonly #options: AdmissionTaskOptions;
  readonly #services = new Map<
    contracts.ServiceId,
    admission.ServiceAdmission
  >();
  readonly #capacities = new Map<contracts.ServiceId, Capacity>();
  readonly #aboveShareLog: ThrottledWarning;
  readonly #lateLog: ThrottledWarning;

  constructor(options: AdmissionTaskOptions) {
    this.#options = options;
    this.#aboveShareLog = new ThrottledWarning(
      options.log,
      "Puts requests above their caller's share behind others.",
    );
    this.#lateLog = new ThrottledWarning(
      options.log,
      "Has no capacity to promise refused callers within their time.",
    );
    options.gossip.onGuarded(
      CALLER_COUNTS_METHOD,
      isCallerCountsNews,
      (news) => this.#applyNews(news),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(COUNTS_INTERVAL_MS, () => this.sendCounts());
  }

  /** Whether callers have shares. */
  get isActive(): boolean {
    return this.#options.isActive();
  }

  /** Counts and judges a request; undefined where callers have no shares. */
  judge(
    service: contracts.ServiceId,
    request: admission.ReturningCaller,
  ): admission.JudgedRequest | undefined {
    if (!this.isActive) return undefined;
    const moment = this.#now();
    const judged = this.#of(service).arrive(request, moment);
    if (judged.standing === undefined) return judged;
    this.#options.counts.add(1, { service, decision: judged.standing });
    if (judged.isAboveShare) {
      this.#aboveShareLog.warn(moment.nowMs, {
        service,
        caller: request.caller,
        ...roundedRates(judged),
      });
    }
    return judged;
  }

  /** Records a refusal for lack of capacity; returns its Retry-After. */
  refuse(
    service: contracts.ServiceId,
    request: admission.RefusedRequest,
  ): number {
    const moment = this.#now();
    const { retryAfterMs, isPromised } = this.#of(service)
      .refuse(request, moment);
    const decision = isPromised ? "promised" : "late";
    this.#options.counts.add(1, { service, decision });
    if (!isPromised) {
      this.#lateLog.warn(moment.nowMs, {
        service,
        caller: request.caller,
        retryAfterMs: Math.round(retryAfterMs),
        ...roundedRates(request.judged),
      });
    }
    return retryAfterMs;
  }

  /** Records that a request of a service without keys waits. */
  recordWait(service: contracts.ServiceId): void {
    if (!this.isActive) return;
    this.#of(service).shares.recordWait(this.#options.clock.nowMs());
  }

  /** What the queue of a service without keys knows of shares. */
  sharesOf(service: contracts.ServiceId): admission.QueueShares {
    const isActive = () => this.isActive;
    return {
      get isActive() {
        return isActive();
      },
      refusesLate: true,
      leftRatio: (nowMs) => this.#of(service).leftRatio(nowMs),
      queueRatio: () => this.#ratioOfVm(),
    };
  }

  /** Sends peers the counts of services that are short of capacity. */
  sendCounts(): void {
    if (!this.isActive) return;
    const { vm, gossip, clock } = this.#options;
    const nowMs = clock.nowMs();
    const short = [...this.#services]
      .filter(([, { shares }]) => shares.isShort(nowMs))
      .slice(0, MAX_SERVICES_SENT);
    const services = short.flatMap(([service, { shares }]) => {
      const counts = shares.takeCounts(nowMs, short.length);
      return counts === undefined ? [] : [[service, counts] as const];
    });
    if (services.length === 0) return;
    const news: CallerCountsNews = { vm, services };
    gossip.broadcast(CALLER_COUNTS_METHOD, news);
  }

  #applyNews({ vm, services }: CallerCountsNews): void {
    if (!this.isActive || vm === this.#options.vm) return;
    const nowMs = this.#options.clock.nowMs();
    for (const [service, counts] of services) {
      this.#of(service).shares.applyPeerCounts(counts, nowMs);
    }
  }

  #of(service: contracts.ServiceId): admission.ServiceAdmission {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const { hash, random } = this.#options;
    const created = new admission.ServiceAdmission({
      hash,
      random,
      capacityPerSecond: (nowMs) => this.#capacity(service, nowMs),
      shareOfVm: () => this.#ratioOfVm(),
    });
    this.#services.set(service, created);
    return created;
  }

  #capacity(service: contracts.ServiceId, nowMs: number): number {
    const known = this.#capacities.get(service);
    if (known !== undefined && nowMs - known.summedMs < CAPACITY_INTERVAL_MS) {
      return known.perSecond;
    }
    const { registry, capacityOf } = this.#options;
    const perSecond = registry.servers(service)
      .filter(({ isDraining }) => !isDraining)
      .reduce((sum, entry) => sum + capacityOf(entry), 0);
    this.#capacities.set(service, { perSecond, summedMs: nowMs });
    return perSecond;
  }

  #ratioOfVm(): number {
    return 1 / this.#options.gossip.vmCount;
  }

  #now(): admission.Moment {
    const { clock, unixMs } = this.#options;
    return { nowMs: clock.nowMs(), unixMs: unixMs() };
  }
}

function roundedRates(
  { ratePerSecond, sharePerSecond }: admission.CallerStanding,
) {
  return {
    callerPerSecond: round(ratePerSecond),
    sharePerSecond: round(sharePerSecond),
  };
}

function round(rate: number): number {
  return Math.round(rate * 100) / 100;
}
