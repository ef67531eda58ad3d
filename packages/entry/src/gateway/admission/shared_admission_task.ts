/**
 * Shares of the capacity of services without keys: reports what this VM
 * requests, applies its share, and sums the reports of all VMs for the services
 * that this VM is selected for.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import type { Logger } from "../../utils/log.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import * as messages from "../peers/peer_messages.ts";

/** Options of {@link SharedAdmissionTask}. */
export interface SharedAdmissionTaskOptions {
  readonly vm: contracts.VmId;
  readonly gossip: Pick<
    PeerGossip,
    "onGuarded" | "send" | "liveVmsIn" | "vmCount" | "roleWeights"
  >;
  readonly hasher: ownership.KeyHasher;
  /** Requests per second that a service's servers are known to run. */
  readonly capacityPerSecond: (service: contracts.ServiceId) => number;
  readonly isActive: () => boolean;
  readonly isLeaving: () => boolean;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

interface SharedService {
  readonly reporter: admission.AdmissionReporter;
  /** Requests within shares that wait at this VM. */
  readonly waiting: () => number;
  /** Whether reports were sent since the last time that none was due. */
  isReporting: boolean;
}

/** Shortest interval of reports: at most five a second and service. */
const REPORT_INTERVAL_MIN_MS = 200;
const REPORT_INTERVAL_MAX_MS = 500;
/** Bounds what the aggregating VM receives: it has other work. */
const REPORT_INTERVAL_PER_VM_MS = 6;

/** Shares of this VM, and of all VMs at services that it aggregates. */
export class SharedAdmissionTask {
  readonly #options: SharedAdmissionTaskOptions;
  readonly #services = new Map<contracts.ServiceId, SharedService>();
  readonly #aggregators = new Map<
    contracts.ServiceId,
    admission.AdmissionAggregator
  >();
  readonly #ranking: grants.VmRanking;
  readonly #shareLog: ThrottledWarning;
  #reportTask: PeriodicTask | undefined;

  constructor(options: SharedAdmissionTaskOptions) {
    this.#options = options;
    this.#ranking = new grants.VmRanking(
      options.hasher,
      () => options.gossip.roleWeights,
    );
    this.#shareLog = new ThrottledWarning(
      options.log,
      "Admits a share of a service's capacity.",
    );
    options.gossip.onGuarded(
      messages.ADMISSION_REPORTS_METHOD,
      messages.isAdmissionReport,
      (report) => this.#handleReport(report),
    );
    options.gossip.onGuarded(
      messages.ADMISSION_SHARES_METHOD,
      messages.isAdmissionShare,
      (share) => this.#handleShare(share),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#reportTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.sendReports(),
      "admission reports",
    );
  }

  /** Adds a service without keys. */
  add(service: contracts.ServiceId, waiting: () => number): void {
    const reporter = new admission.AdmissionReporter();
    this.#services.set(service, { reporter, waiting, isReporting: false });
  }

  /** Counts of a service; undefined for one with keys. */
  reporterOf(
    service: contracts.ServiceId,
  ): admission.AdmissionReporter | undefined {
    return this.#services.get(service)?.reporter;
  }

  /** What this VM may admit. */
  share(service: contracts.ServiceId): admission.AdmissionShare {
    const { gossip, capacityPerSecond, clock } = this.#options;
    const known = {
      capacityPerSecond: capacityPerSecond(service),
      vmCount: gossip.vmCount,
    };
    return this.#services.get(service)?.reporter.share(known, clock.nowMs()) ??
      {
        ...known,
        perSecond: known.capacityPerSecond / known.vmCount,
        waiting: 0,
      };
  }

  /** Starts the reports on a service of which a request waits or is refused. */
  wake(service: contracts.ServiceId): void {
    const shared = this.#services.get(service);
    if (shared === undefined || shared.isReporting) return;
    shared.isReporting = true;
    // What was counted before is older than an interval.
    shared.reporter.takeReport(0);
    this.#reportTask?.setIntervalMs(this.#intervalMs());
  }

  #intervalMs(): number {
    return Math.min(
      REPORT_INTERVAL_MAX_MS,
      Math.max(
        REPORT_INTERVAL_MIN_MS,
        this.#options.gossip.vmCount * REPORT_INTERVAL_PER_VM_MS,
      ),
    );
  }

  /** Sends the reports that are due. */
  sendReports(): void {
    let isReporting = false;
    for (const [service, shared] of this.#services) {
      if (!shared.isReporting) continue;
      const report = shared.reporter.takeReport(shared.waiting());
      shared.isReporting = report !== undefined && this.#options.isActive();
      if (report === undefined || !shared.isReporting) continue;
      isReporting = true;
      this.#send(service, report);
    }
    this.#reportTask?.setIntervalMs(
      isReporting ? this.#intervalMs() : Number.POSITIVE_INFINITY,
    );
  }

  #send(
    service: contracts.ServiceId,
    report: admission.AdmissionReport,
  ): void {
    const { vm, gossip } = this.#options;
    const to = this.#aggregatorOf(service);
    const message: messages.AdmissionReportMessage = { vm, service, report };
    if (to === vm) this.#handleReport(message);
    else if (to !== undefined) {
      gossip.send(messages.ADMISSION_REPORTS_METHOD, message, [to]);
    }
  }

  /** The first VM in an order that depends on the service. */
  #aggregatorOf(service: contracts.ServiceId): contracts.VmId | undefined {
    const { vm, gossip, isLeaving } = this.#options;
    const eligible = gossip.liveVmsIn(undefined)
      .filter((candidate) => candidate !== vm || !isLeaving());
    return this.#ranking.rank(`admission ${service}`, eligible)[0];
  }

  #handleReport(
    { vm: from, service, report }: messages.AdmissionReportMessage,
  ): void {
    const { vm, gossip, capacityPerSecond, clock } = this.#options;
    const nowMs = clock.nowMs();
    let aggregator = this.#aggregators.get(service);
    if (aggregator === undefined) {
      // A peer may name a service that this VM has not heard of yet.
      if (!this.#services.has(service)) return;
      aggregator = new admission.AdmissionAggregator();
      this.#aggregators.set(service, aggregator);
    }
    const share = aggregator.report(from, report, {
      capacityPerSecond: capacityPerSecond(service),
      vmCount: gossip.vmCount,
      nowMs,
    });
    const message: messages.AdmissionShareMessage = { vm, service, share };
    if (from === vm) this.#handleShare(message);
    else gossip.send(messages.ADMISSION_SHARES_METHOD, message, [from]);
  }

  #handleShare(
    { vm: from, service, share }: messages.AdmissionShareMessage,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    this.#services.get(service)?.reporter.applyShare(share, nowMs);
    this.#shareLog.warn(nowMs, {
      service,
      aggregator: from,
      perSecond: Math.round(share.perSecond * 10) / 10,
      capacityPerSecond: Math.round(share.capacityPerSecond),
      waiting: share.waiting,
    });
  }
}
