/**
 * Load of the keyed services. Every entry VM counts what it forwards and
 * reports it to the VM that holds the service's control duty, whose planner
 * reads the sum. A report has a bounded size whatever the number of keys.
 */
import * as contracts from "@guavatide/contracts";
import * as placement from "@guavatide/decisions/placement/mod";
import type { LoadSource } from "../ownership/assignment_controller_task.ts";
import type { KeyedRequestSample } from "../requests/request_metrics.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PeerServer } from "../vms/peer_server.ts";
import type { PeerClient } from "../vms/peer_client.ts";
import type { HeartbeatParticipant } from "../vms/peer_task.ts";

/** Method by which a VM reports a service's load to the holder of duty. */
export const LOAD_METHOD = "load";

const REPORT_INTERVAL_MS = 1_000;
const REPORT_TIMEOUT_MS = 500;
/** Reports that may be missed before a VM's load no longer counts. */
const REPORT_TTL_MS = 10_000;

/** What is used of the link to a peer. */
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

/** Whose slices the counts are told apart by. */
export interface OwnershipSource {
  /** Services whose moves this VM plans now. */
  heldDuties(): contracts.ServiceId[];
  /** The assignment known of a service. */
  assignment(service: contracts.ServiceId): contracts.Assignment | undefined;
}

/** Counts, reports and collects load. */
export class LoadTask implements HeartbeatParticipant {
  readonly #options: LoadTaskOptions;
  readonly #trackers = new Map<contracts.ServiceId, placement.LoadTracker>();
  readonly #books = new Map<contracts.ServiceId, placement.LoadAggregator>();
  #owners: OwnershipSource | undefined;
  readonly #holders = new Map<contracts.ServiceId, contracts.VmId>();

  constructor(options: LoadTaskOptions) {
    this.#options = options;
    options.peerServer.register(
      LOAD_METHOD,
      contracts.serviceLoadSchema,
      (load) => this.#take(load),
    );
  }

  /** Takes slices and duties from the ownership task. */
  setOwnershipSource(owners: OwnershipSource): void {
    this.#owners = owners;
  }

  /** Reports until the process stops. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(REPORT_INTERVAL_MS, () => this.reportAll());
  }

  /** Counts one answered request. */
  recordRequest(work: KeyedRequestSample): void {
    const slices = this.#owners?.assignment(work.service)?.slices;
    if (slices === undefined) return;
    const slice = slices[placement.findSlice(slices, work.keyHash)];
    if (slice === undefined) return;
    const { fromHash, toHash } = slice;
    const tracker = this.#tracker(work.service);
    tracker.record({ fromHash, toHash, keyHash: work.keyHash });
    if (work.hadFreeSlot) tracker.recordServiceTime(work.server, work.workMs);
  }

  /** Where the planner of a service reads its figures. */
  loadSource(service: contracts.ServiceId): LoadSource {
    return {
      estimate: (slices) => this.#book(service).estimate(slices, this.#now()),
      speeds: () => this.#book(service).speeds(this.#now()),
    };
  }

  /**
   * Largest load of a server over the mean, by the latest reports; undefined
   * where this VM plans no moves or nothing is asked of the service.
   */
  imbalance(service: contracts.ServiceId): number | undefined {
    const isPlanned = this.#owners?.heldDuties().includes(service) ?? false;
    const slices = this.#owners?.assignment(service)?.slices;
    if (!isPlanned || slices === undefined) return undefined;
    const rates = this.#book(service).estimate(slices, this.#now()).slices;
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
      if (holdsDuty === true) this.#holders.set(service, reply.vm);
      else if (this.#holders.get(service) === reply.vm) {
        this.#holders.delete(service);
      }
    }
  }

  /** Reports once; `start` does so at an interval. */
  reportAll(): void {
    const held = new Set(this.#owners?.heldDuties());
    for (const [service, tracker] of this.#trackers) {
      const sender = { ...this.#options.self, service };
      const load = tracker.report(sender, this.#now());
      if (held.has(service)) this.#take(load);
      else void this.#send(load);
    }
  }

  /** A lost report is made good by the next one. */
  async #send(load: contracts.ServiceLoad): Promise<void> {
    const holder = this.#holders.get(load.service);
    if (holder === undefined) return;
    await this.#options.peers.link(holder)?.call(LOAD_METHOD, {
      params: load,
      schema: contracts.serviceLoadReplySchema,
      timeoutMs: REPORT_TIMEOUT_MS,
    });
  }

  #take(load: contracts.ServiceLoad): contracts.ServiceLoadReply {
    this.#book(load.service).record(load, this.#now());
    return { taken: true };
  }

  #tracker(service: contracts.ServiceId): placement.LoadTracker {
    const known = this.#trackers.get(service);
    if (known !== undefined) return known;
    const tracker = new placement.LoadTracker(placement.DEFAULT_LOAD_TRACKER);
    this.#trackers.set(service, tracker);
    return tracker;
  }

  #book(service: contracts.ServiceId): placement.LoadAggregator {
    const known = this.#books.get(service);
    if (known !== undefined) return known;
    const book = new placement.LoadAggregator(REPORT_TTL_MS);
    this.#books.set(service, book);
    return book;
  }

  #now(): number {
    return this.#options.clock.nowMs();
  }
}
