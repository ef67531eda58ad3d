/**
 * Load reports of the keyed services. Every entry VM counts the requests it
 * forwards and reports them to the leader of the service, whose planner uses
 * the sum. The size of a report is bounded, independent of the number of keys.
 */
import * as contracts from "@guavatide/contracts";
import * as placement from "@guavatide/decisions/placement/mod";
import type { LoadSource } from "../ownership/assignment_controller_task.ts";
import type { KeyedRequestSample } from "../requests/request_metrics.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PeerServer } from "../vms/peer_server.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import type { HeartbeatParticipant } from "../vms/peer_task.ts";

/** Method by which a VM reports the load of a service to its leader. */
export const LOAD_METHOD = "load";

const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 500;
/** Time after its last report at which the load of a VM stops counting. */
const REPORT_TTL_MS = 10_000;

/** Part of {@link PeerClient} that is used to send reports. */
export type PeerCaller = Pick<PeerClient, "call">;

/** Options of {@link LoadTask}. */
export interface LoadTaskOptions {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  readonly peers: { link(vm: contracts.VmId): PeerCaller | undefined };
  readonly peerServer: Pick<PeerServer, "register">;
  readonly clock: contracts.Clock;
}

/** Source of the slices that requests are counted by. */
export interface OwnershipSource {
  /** Services that this VM is the leader of. */
  heldDuties(): contracts.ServiceId[];
  /** The latest known assignment of a service. */
  assignment(service: contracts.ServiceId): contracts.Assignment | undefined;
}

/** Counts requests, sends load reports, and collects those of all VMs. */
export class LoadTask implements HeartbeatParticipant {
  readonly #options: LoadTaskOptions;
  readonly #trackers = new Map<contracts.ServiceId, placement.LoadTracker>();
  readonly #reports = new Map<contracts.ServiceId, placement.LoadAggregator>();
  #ownership: OwnershipSource | undefined;
  readonly #leaders = new Map<contracts.ServiceId, contracts.VmId>();

  constructor(options: LoadTaskOptions) {
    this.#options = options;
    options.peerServer.register(
      LOAD_METHOD,
      contracts.serviceLoadSchema,
      (load) => this.#receive(load),
    );
  }

  /** Sets the source of slices and leadership. Nothing is counted before. */
  setOwnershipSource(ownership: OwnershipSource): void {
    this.#ownership = ownership;
  }

  /** Sends reports every second until the process stops. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(REPORT_INTERVAL_MS, () => this.reportAll(), "loads");
  }

  /** Counts one answered request. */
  recordRequest(work: KeyedRequestSample): void {
    const slices = this.#ownership?.assignment(work.service)?.slices;
    if (slices === undefined) return;
    const slice = slices[placement.findSlice(slices, work.keyHash)];
    if (slice === undefined) return;
    const { fromHash, toHash } = slice;
    const tracker = this.#trackerOf(work.service);
    tracker.record({ fromHash, toHash, keyHash: work.keyHash });
    if (work.hadFreeSlot) tracker.recordServiceTime(work.server, work.workMs);
  }

  /** Load estimates for the planner of a service. */
  loadSource(service: contracts.ServiceId): LoadSource {
    return {
      estimate: (slices) =>
        this.#reportsOf(service).estimate(slices, this.#nowMs()),
      speeds: () => this.#reportsOf(service).speeds(this.#nowMs()),
    };
  }

  /**
   * Ratio of the largest load of a server to the mean load, by the latest
   * reports. Undefined when this VM is not the leader or there is no load.
   */
  imbalance(service: contracts.ServiceId): number | undefined {
    const isLeader = this.#ownership?.heldDuties().includes(service) ?? false;
    const slices = this.#ownership?.assignment(service)?.slices;
    if (!isLeader || slices === undefined) return undefined;
    const rates =
      this.#reportsOf(service).estimate(slices, this.#nowMs()).slices;
    const byServer = new Map<contracts.ServerId, number>();
    slices.forEach(({ server }, index) => {
      byServer.set(server, (byServer.get(server) ?? 0) + rates[index]!);
    });
    const loads = [...byServer.values()];
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    return mean > 0 ? Math.max(...loads) / mean : undefined;
  }

  noteReply(reply: contracts.PeerHeartbeatReply): void {
    for (const { service, holdsDuty } of reply.known) {
      if (holdsDuty === true) this.#leaders.set(service, reply.vm);
      else if (this.#leaders.get(service) === reply.vm) {
        this.#leaders.delete(service);
      }
    }
  }

  /** Sends one report for each service; `start` does so at an interval. */
  reportAll(): void {
    const ledServices = new Set(this.#ownership?.heldDuties());
    for (const [service, tracker] of this.#trackers) {
      const sender = { ...this.#options.self, service };
      const load = tracker.report(sender, this.#nowMs());
      if (ledServices.has(service)) this.#receive(load);
      else void this.#send(load);
    }
  }

  /** Sends without retry: the next report replaces a lost one. */
  async #send(load: contracts.ServiceLoad): Promise<void> {
    const leader = this.#leaders.get(load.service);
    if (leader === undefined) return;
    await this.#options.peers.link(leader)?.call(LOAD_METHOD, {
      params: load,
      schema: contracts.serviceLoadReplySchema,
      timeoutMs: REPORT_TIMEOUT_MS,
    });
  }

  #receive(load: contracts.ServiceLoad): contracts.ServiceLoadReply {
    this.#reportsOf(load.service).record(load, this.#nowMs());
    return { taken: true };
  }

  #trackerOf(service: contracts.ServiceId): placement.LoadTracker {
    const known = this.#trackers.get(service);
    if (known !== undefined) return known;
    const tracker = new placement.LoadTracker(placement.DEFAULT_LOAD_TRACKER);
    this.#trackers.set(service, tracker);
    return tracker;
  }

  #reportsOf(service: contracts.ServiceId): placement.LoadAggregator {
    const known = this.#reports.get(service);
    if (known !== undefined) return known;
    const reports = new placement.LoadAggregator(REPORT_TTL_MS);
    this.#reports.set(service, reports);
    return reports;
  }

  #nowMs(): number {
    return this.#options.clock.nowMs();
  }
}
