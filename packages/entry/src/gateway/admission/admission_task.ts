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
import type { SharedAdmissionTask } from "./shared_admission_task.ts";

/** Options of {@link AdmissionTask}. */
export interface AdmissionTaskOptions {
  readonly vm: contracts.VmId;
  /** Whether callers have shares, by the configuration in force. */
  readonly isActive: () => boolean;
  readonly gossip: Pick<PeerGossip, "onGuarded" | "broadcast">;
  readonly shared: SharedAdmissionTask;
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
/** Shares and promises of all services at one VM. */
export class AdmissionTask {
  readonly #options: AdmissionTaskOptions;
  readonly #services = new Map<
    contracts.ServiceId,
    admission.ServiceAdmission
  >();
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
    lifeCycle.every(
      COUNTS_INTERVAL_MS,
      () => this.sendCounts(),
      "admission counts",
    );
  }

  /** Whether callers have shares. */
  get isActive(): boolean {
    return this.#options.isActive();
  }

  /** Best standing of a request whose body is not read yet. */
  preview(
    service: contracts.ServiceId,
    request: admission.ReturningCaller,
  ): admission.RequestStanding | undefined {
    return this.#of(service).preview(request, this.#now());
  }

  /** Counts and judges a request; undefined where callers have no shares. */
  judge(
    service: contracts.ServiceId,
    request: admission.ReturningCaller,
  ): admission.JudgedRequest | undefined {
    if (!this.isActive) return undefined;
    const moment = this.#now();
    const judged = this.#of(service).arrive(request, moment);
    if (!judged.isAboveShare) {
      this.#options.shared.reporterOf(service)?.recordArrival();
    }
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
    this.#options.shared.wake(service);
    this.#options.shared.reporterOf(service)?.recordRefusal();
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

  /** Counts a refusal before the body was read. */
  recordUnreadBody(service: contracts.ServiceId): void {
    this.#options.counts.add(1, { service, decision: "body-not-read" });
  }

  /** Records that a request of a service without keys waits. */
  recordWait(service: contracts.ServiceId): void {
    if (!this.isActive) return;
    this.#of(service).shares.recordWait(this.#options.clock.nowMs());
    this.#options.shared.wake(service);
  }

  /** Records that a request was sent to a server, or has ended there. */
  recordSend(service: contracts.ServiceId, event: "sent" | "ended"): void {
    const reporter = this.#options.shared.reporterOf(service);
    const nowMs = this.#options.clock.nowMs();
    if (event === "ended") reporter?.recordEnd(nowMs);
    else reporter?.recordAdmission(nowMs);
  }

  /**
   * Adds a service without keys; returns what its queue knows of shares.
   * `waiting` is the number of queued requests within shares.
   */
  sharesOf(
    service: contracts.ServiceId,
    waiting: () => number,
  ): admission.QueueShares {
    const { shared } = this.#options;
    shared.add(service, waiting);
    const reporter = shared.reporterOf(service)!;
    const isActive = () => this.isActive;
    return {
      get isActive() {
        return isActive();
      },
      refusesLate: true,
      leftRatio: (nowMs) => this.#of(service).leftRatio(nowMs),
      mayAdmit: (request, nowMs) => reporter.mayAdmit(request, nowMs),
      queuePerSecond: () => shared.share(service).perSecond,
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
    const { hash, random, shared } = this.#options;
    const created = new admission.ServiceAdmission({
      hash,
      random,
      capacityPerSecond: () => shared.share(service).capacityPerSecond,
      vmPerSecond: () => shared.share(service).perSecond,
    });
    this.#services.set(service, created);
    return created;
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
