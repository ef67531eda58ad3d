/**
 * Ownership of all keyed services in one entry process. Exchanges heartbeats
 * with peers, which carry confirmations, acknowledgements and newer
 * assignments, and answers the request path from memory.
 */
import * as contracts from "@guavatide/contracts";
import type { OwnerLookup, OwnerView } from "../contracts/views.ts";
import type { SystemClock } from "../utils/clock.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type {
  HeartbeatDraft,
  HeartbeatParticipant,
  HeartbeatReplyDraft,
} from "../vms/peer_task.ts";
import { AssignmentStore } from "./assignment_store.ts";
import { KnownAssignment } from "./known_assignment.ts";
import type { LoadSource } from "./assignment_controller_task.ts";
import type { ServiceContext } from "./service_context.ts";
import { ServiceOwnership } from "./service_ownership.ts";

const TICK_MS = 50;
/** Interval for reading which services exist and who their voters are. */
const REFRESH_INTERVAL_MS = 200;
const STOP_TIMEOUT_MS = 1_000;

/** Options of {@link OwnershipTask}. */
export interface OwnershipTaskOptions
  extends Omit<ServiceContext, "service" | "assignments" | "known"> {
  readonly clock: SystemClock;
  readonly config: {
    services(): readonly contracts.Service[];
    service(id: contracts.ServiceId): contracts.Service | undefined;
  };
  /** The planner's load figures for a service. */
  load(service: contracts.ServiceId): LoadSource;
}

/** Owns the tasks of each keyed service. */
export class OwnershipTask implements OwnerView, HeartbeatParticipant {
  readonly #options: OwnershipTaskOptions;
  readonly #services = new Map<contracts.ServiceId, ServiceOwnership>();
  #nextRefreshMs = Number.NEGATIVE_INFINITY;

  constructor(options: OwnershipTaskOptions) {
    this.#options = options;
  }

  /** Starts the tasks, which run until the process stops. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: "ownership",
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => this.#stop(),
    });
    lifeCycle.every(TICK_MS, () => this.#tick(), "ownership");
    this.#tick();
  }

  /** Services that this VM is the leader of. */
  heldDuties(): contracts.ServiceId[] {
    return [...this.#services]
      .filter(([, ownership]) => ownership.isLeader)
      .map(([service]) => service);
  }

  /**
   * Age of the newest confirmation of a service's assignment, in milliseconds.
   * Leases are renewed while it's below the assignment's `evidenceMs`.
   * Undefined without a confirmation.
   */
  confirmationAgeMs(service: contracts.ServiceId): number | undefined {
    const nowMs = this.#options.clock.nowMs();
    const confirmedAtMs = this.#services.get(service)?.known
      .confirmedAtMs(nowMs);
    if (confirmedAtMs === undefined || !Number.isFinite(confirmedAtMs)) {
      return undefined;
    }
    return nowMs - confirmedAtMs;
  }

  /** The newest known assignment of a service. */
  assignment(service: contracts.ServiceId): contracts.Assignment | undefined {
    return this.#services.get(service)?.known.assignment;
  }

  lookup(service: contracts.ServiceId, keyHash: number): OwnerLookup {
    return this.#services.get(service)?.lookup(keyHash) ?? { kind: "none" };
  }

  mayForward(
    service: contracts.ServiceId,
    server: contracts.ServerId,
    slice: contracts.SliceId,
    fence: number,
  ): boolean {
    const ownership = this.#services.get(service);
    return ownership?.mayForward(server, slice, fence) ?? false;
  }

  checksFences(
    service: contracts.ServiceId,
    server: contracts.ServerId,
  ): boolean {
    return this.#services.get(service)?.checksFences(server) ?? true;
  }

  noteForwarded(
    service: contracts.ServiceId,
    server: contracts.ServerId,
  ): { done(): void } {
    return this.#getOrCreate(service).noteForwarded(server);
  }

  onChange(service: contracts.ServiceId, callback: () => void): () => void {
    return this.#getOrCreate(service).known.onChange(callback);
  }

  noteNotOwner(service: contracts.ServiceId, revision: number): void {
    this.#services.get(service)?.noteNotOwner(revision);
  }

  /** Applies an assignment that a peer pushed. Returns the known revision. */
  acceptAssignment(
    assignment: contracts.Assignment,
  ): contracts.KnownRevisionReply {
    this.#services.get(assignment.service)?.known.learn(assignment);
    return this.answerKnownRevision(assignment);
  }

  /** Returns the known revision of a service to a peer. */
  answerKnownRevision(
    { service }: contracts.KnownRevisionRequest,
  ): contracts.KnownRevisionReply {
    const known = this.#services.get(service)?.knownRevision() ??
      { service, revision: 0, settled: false };
    return { ...this.#options.peers.self, known };
  }

  fill(draft: HeartbeatDraft): void {
    draft.known.push(...this.#knownRevisions());
  }

  answer(
    heartbeat: contracts.PeerHeartbeat,
    draft: HeartbeatReplyDraft,
  ): void {
    for (const known of heartbeat.known) {
      this.#services.get(known.service)?.notePeer(heartbeat, known);
    }
    const senderRevisions = new Map(
      heartbeat.known.map(({ service, revision }) => [service, revision]),
    );
    for (const [service, { known }] of this.#services) {
      const { assignment, revision } = known;
      const isNewer = revision > (senderRevisions.get(service) ?? 0);
      if (assignment !== undefined && isNewer) draft.newer.push(assignment);
    }
    draft.known.push(...this.#knownRevisions());
  }

  /** Applies newer assignments first, because the reply confirms them. */
  noteReply(
    reply: contracts.PeerHeartbeatReply,
    requestedAtMs: number,
  ): void {
    for (const assignment of reply.newer) this.acceptAssignment(assignment);
    for (const known of reply.known) {
      const ownership = this.#services.get(known.service);
      if (ownership === undefined) continue;
      ownership.known.noteVoterReply({
        vm: reply.vm,
        known,
        requestedAtMs,
      });
      ownership.notePeer(reply, known, requestedAtMs);
    }
  }

  #knownRevisions(): contracts.KnownRevision[] {
    return [...this.#services.values()].map((ownership) =>
      ownership.knownRevision()
    );
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#checkWallClock();
    if (nowMs >= this.#nextRefreshMs) this.#refresh(nowMs);
    for (const ownership of this.#services.values()) ownership.tick(nowMs);
  }

  #refresh(nowMs: number): void {
    this.#nextRefreshMs = nowMs + REFRESH_INTERVAL_MS;
    for (const service of this.#options.config.services()) {
      if (service.keyed) this.#getOrCreate(service.name);
    }
    const all = [...this.#services.values()];
    // A confirmation expires before sampled heartbeats have covered a large
    // cluster, so voters are contacted with every heartbeat.
    this.#options.peers.pin(all.flatMap(({ known }) => known.voters));
  }

  /** The machine may have been suspended. */
  #checkWallClock(): void {
    const { clock, log } = this.#options;
    for (const jumpMs of clock.takeJumpsMs()) {
      if (jumpMs < 0) continue;
      log.part("owner").warn("wall clock ran ahead, confirmations dropped", {
        skewMs: Math.round(jumpMs),
      });
      for (const { known } of this.#services.values()) {
        known.dropConfirmations();
      }
    }
  }

  #getOrCreate(service: contracts.ServiceId): ServiceOwnership {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const ownership = this.#create(service);
    this.#services.set(service, ownership);
    return ownership;
  }

  #create(service: contracts.ServiceId): ServiceOwnership {
    const { load, store, clock, timings, log, peers, config } = this.#options;
    const context: ServiceContext = {
      ...this.#options,
      service,
      assignments: new AssignmentStore({
        service,
        store,
        clock,
        timeoutMs: timings.storeTimeoutMs,
      }),
      known: new KnownAssignment({
        vm: peers.self.vm,
        service,
        settings: timings,
        clock,
        log: log.part("owner"),
      }),
    };
    return new ServiceOwnership(context, {
      load: load(service),
      config: () => config.service(service),
    });
  }

  async #stop(): Promise<void> {
    const all = [...this.#services.values()];
    await Promise.all(all.map((ownership) => ownership.stop()));
  }
}
