/**
 * Shares of the capacity of a service without keys. One entry VM sums the
 * reports of all VMs and replies with the rate that each may admit, in
 * proportion to its demand. Reports and replies may be lost: the next one
 * supersedes them.
 */
import type * as contracts from "@guavatide/contracts";
import { DecayingCount } from "./decaying_count.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/** One VM's requests of a service since its last report. */
export interface AdmissionReport {
  readonly arrived: number;
  /** Sent to a server. */
  readonly admitted: number;
  readonly refused: number;
  /** Ended at a server. */
  readonly ended: number;
  /** Within their callers' shares and waiting at present. */
  readonly waiting: number;
}

/** What a VM may admit. */
export interface AdmissionShare {
  /** Requests per second that the VM may admit. */
  readonly perSecond: number;
  /** Requests per second of the whole service. */
  readonly capacityPerSecond: number;
  /** Requests within their callers' shares that wait at all VMs. */
  readonly waiting: number;
}

/** A reply is in force for this time. */
const SHARE_TTL_MS = 1_000;
/**
 * VMs together admit more than the capacity by this factor: what one of them
 * does not use is left to the others.
 */
const ADMITTED_RATIO = 1.1;
/**
 * Requests above their callers' shares are sent while the others wait less than
 * this at all VMs: what is left of the capacity is used without delaying these.
 */
const MAX_WAIT_BEFORE_OTHERS_MS = 50;
/** Requests that a VM may admit at once beyond its rate. */
const MIN_BURST = 2;
const BURST_MS = 100;
/** Time constant of the rates that VMs report. */
const RATE_DECAY_MS = 1_000;
/** A VM that reported nothing for this time has no shortage. */
const REPORT_TTL_MS = 1_500;
/**
 * While requests wait, the capacity is what VMs report as ended, within these
 * factors of what the servers are known to run: after an outage of servers,
 * few requests have ended.
 */
const MIN_CAPACITY_RATIO = 0.5;
const MAX_CAPACITY_RATIO = 1.5;
/**
 * Demand that counts in addition for each VM, as a fraction of the mean, so that
 * a VM whose demand rises has a share at once.
 */
const MIN_DEMAND_RATIO = 0.1;

/** Reports and share of this VM. */
export class AdmissionReporter {
  #arrived = 0;
  #admitted = 0;
  #refused = 0;
  #ended = 0;
  #share: AdmissionShare | undefined;
  #sharedMs = Number.NEGATIVE_INFINITY;
  readonly #endedRate = new DecayingCount(RATE_DECAY_MS);
  #tokens = 0;
  #refilledMs = 0;
  /** Waiting by the last report. */
  #reportedWaiting = 0;

  /** Counts a request that arrived. */
  recordArrival(): void {
    this.#arrived++;
  }

  /** Counts a request that was sent to a server. */
  recordAdmission(nowMs: number): void {
    this.#admitted++;
    this.#refill(nowMs);
    this.#tokens--;
  }

  /**
   * Whether the VM has admitted no more than its share. Requests above their
   * callers' shares also wait for the others at all VMs.
   */
  mayAdmit({ standing }: Pick<WaitingRequest, "standing">, nowMs: number) {
    if (!this.#isRecent(nowMs)) return true;
    const { waiting, capacityPerSecond } = this.#share!;
    const mostWaiting = capacityPerSecond * MAX_WAIT_BEFORE_OTHERS_MS / 1_000;
    if (standing === "above-share" && waiting >= mostWaiting) return false;
    // Without shortage at other VMs, what servers have free is free for this.
    if (waiting - this.#reportedWaiting < mostWaiting) return true;
    this.#refill(nowMs);
    return this.#tokens > 0;
  }

  /** Unlimited without a recent reply: servers bound what is sent then. */
  #refill(nowMs: number): void {
    const perSecond = this.#isRecent(nowMs)
      ? this.#share!.perSecond * ADMITTED_RATIO
      : Number.POSITIVE_INFINITY;
    const burst = MIN_BURST + perSecond * BURST_MS / 1_000;
    const added = perSecond * (nowMs - this.#refilledMs) / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + (added || 0));
    if (!Number.isFinite(this.#tokens)) this.#tokens = burst;
    this.#refilledMs = nowMs;
  }

  #isRecent(nowMs: number): boolean {
    return this.#share !== undefined && nowMs - this.#sharedMs < SHARE_TTL_MS;
  }

  /** Counts a refusal for lack of capacity. */
  recordRefusal(): void {
    this.#refused++;
  }

  /** Counts a request that ended at a server. */
  recordEnd(nowMs: number): void {
    this.#ended++;
    this.#endedRate.add(1, nowMs);
  }

  /** Takes the report to send; undefined if nothing waits or was refused. */
  takeReport(waiting: number): AdmissionReport | undefined {
    const report = {
      arrived: this.#arrived,
      admitted: this.#admitted,
      refused: this.#refused,
      ended: this.#ended,
      waiting,
    };
    this.#reportedWaiting = waiting;
    this.#arrived =
      this.#admitted =
      this.#refused =
      this.#ended =
        0;
    return waiting === 0 && report.refused === 0 ? undefined : report;
  }

  /** Applies the reply to a report. */
  applyShare(share: AdmissionShare, nowMs: number): void {
    this.#share = share;
    this.#sharedMs = nowMs;
  }

  /**
   * The share; without a recent reply an equal one of the known capacity, or
   * what servers have run for this VM lately if that is more.
   */
  share(
    { capacityPerSecond, vmCount }: {
      readonly capacityPerSecond: number;
      readonly vmCount: number;
    },
    nowMs: number,
  ): AdmissionShare {
    if (this.#isRecent(nowMs)) return this.#share!;
    const perSecond = Math.max(
      capacityPerSecond / vmCount,
      this.#endedRate.perSecond(nowMs),
    );
    return { perSecond, capacityPerSecond, waiting: 0 };
  }
}

class VmDemand {
  readonly arrived = new DecayingCount(RATE_DECAY_MS);
  readonly ended = new DecayingCount(RATE_DECAY_MS);
  reportedMs: number;
  waiting = 0;

  constructor(readonly firstMs: number) {
    this.reportedMs = firstMs;
  }

  /** Corrects the rate of a VM that has reported for a short time only. */
  perSecond(count: DecayingCount, nowMs: number): number {
    const observed = 1 - Math.exp((this.firstMs - nowMs) / RATE_DECAY_MS);
    return count.perSecond(nowMs) / Math.max(0.2, observed);
  }
}

/** Sums the reports on one service. */
export class AdmissionAggregator {
  readonly #vms = new Map<contracts.VmId, VmDemand>();

  /** Applies a VM's report and returns its share. */
  report(
    vm: contracts.VmId,
    report: AdmissionReport,
    { capacityPerSecond, vmCount, nowMs }: {
      /** What the servers are known to run. */
      readonly capacityPerSecond: number;
      readonly vmCount: number;
      readonly nowMs: number;
    },
  ): AdmissionShare {
    const demand = this.#vms.get(vm) ?? new VmDemand(nowMs);
    this.#vms.set(vm, demand);
    demand.arrived.add(report.arrived, nowMs);
    demand.ended.add(report.ended, nowMs);
    demand.waiting = report.waiting;
    demand.reportedMs = nowMs;
    this.#dropSilent(nowMs);
    const { arrived, ended, waiting } = this.#sums(nowMs);
    // VMs without shortage report nothing. What they use is not known, but what
    // the others get beside them is.
    const reporting = capacityPerSecond * Math.min(1, this.#vms.size / vmCount);
    const isFull = waiting > 0;
    const shared = isFull
      ? Math.min(
        capacityPerSecond * MAX_CAPACITY_RATIO,
        Math.max(reporting * MIN_CAPACITY_RATIO, ended),
      )
      : reporting;
    const minDemand = arrived / this.#vms.size * MIN_DEMAND_RATIO;
    const own = demand.perSecond(demand.arrived, nowMs) + minDemand;
    const all = arrived + minDemand * this.#vms.size;
    return {
      perSecond: all === 0 ? shared / this.#vms.size : shared * own / all,
      capacityPerSecond: Math.max(capacityPerSecond, shared),
      waiting,
    };
  }

  #sums(nowMs: number) {
    let waiting = 0;
    let arrived = 0;
    let ended = 0;
    for (const demand of this.#vms.values()) {
      arrived += demand.perSecond(demand.arrived, nowMs);
      ended += demand.perSecond(demand.ended, nowMs);
      waiting += demand.waiting;
    }
    return { arrived, ended, waiting };
  }

  #dropSilent(nowMs: number): void {
    for (const [vm, { reportedMs }] of this.#vms) {
      if (nowMs - reportedMs >= REPORT_TTL_MS) this.#vms.delete(vm);
    }
  }
}
