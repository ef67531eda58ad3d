/**
 * Ownership of all keyed services in one entry process. Takes part in beats,
 * from which evidence, promises and newer assignments come, and answers the
 * request path from memory.
 */
import * as contracts from "@guavatide/contracts";
import type { OwnerLookup, OwnerView } from "../contracts/views.ts";
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
/** Between two looks at which services there are, and who keeps them. */
const REFRESH_INTERVAL_MS = 200;
const STOP_TIMEOUT_MS = 1_000;
/** Difference between two clocks that shows that the machine was suspended. */
const SUSPEND_THRESHOLD_MS = 200;

/** Options of {@link OwnershipTask}. */
export interface OwnershipTaskOptions
  extends Omit<ServiceContext, "service" | "assignments" | "known"> {
  readonly config: {
    services(): readonly contracts.Service[];
    service(id: contracts.ServiceId): contracts.Service | undefined;
  };
  /** Load figures of a service for the planner. */
  load(service: contracts.ServiceId): LoadSource;
}

/** Owns the tasks of each keyed service. */
export class OwnershipTask implements OwnerView, HeartbeatParticipant {
  readonly #options: OwnershipTaskOptions;
  readonly #services = new Map<contracts.ServiceId, ServiceOwnership>();
  #refreshAtMs = Number.NEGATIVE_INFINITY;
  #lastTick: { clockMs: number; wallMs: number } | undefined;

  constructor(options: OwnershipTaskOptions) {
    this.#options = options;
  }

  /** Runs until the process stops. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: "ownership",
      timeoutMs: STOP_TIMEOUT_MS,
      run: () => this.#stop(),
    });
    lifeCycle.every(TICK_MS, () => this.#tick());
    this.#tick();
  }

  /** Services whose moves this VM plans now. */
  heldDuties(): contracts.ServiceId[] {
    return [...this.#services]
      .filter(([, ownership]) => ownership.isLeader)
      .map(([service]) => service);
  }

  /**
   * Age of the evidence for a service's assignment; leases are renewed while
   * it is below the assignment's `evidenceMs`. Undefined without evidence.
   */
  confirmationAgeMs(service: contracts.ServiceId): number | undefined {
    const nowMs = this.#options.clock.nowMs();
    const askedAtMs = this.#services.get(service)?.known
      .confirmedAtMs(nowMs);
    if (askedAtMs === undefined || !Number.isFinite(askedAtMs)) {
      return undefined;
    }
    return nowMs - askedAtMs;
  }

  /** The assignment known of a service. */
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
    return this.#of(service).noteForwarded(server);
  }

  onChange(service: contracts.ServiceId, callback: () => void): () => void {
    return this.#of(service).known.onChange(callback);
  }

  noteNotOwner(service: contracts.ServiceId, revision: number): void {
    this.#services.get(service)?.noteNotOwner(revision);
  }

  /** A peer pushed an assignment; answers what is known then. */
  acceptAssignment(
    assignment: contracts.Assignment,
  ): contracts.KnownRevisionReply {
    this.#services.get(assignment.service)?.known.learn(assignment);
    return this.answerKnownRevision(assignment);
  }

  /** A peer asks what is known of a service. */
  answerKnownRevision(
    { service }: contracts.KnownRevisionRequest,
  ): contracts.KnownRevisionReply {
    const known = this.#services.get(service)?.knownRevision() ??
      { service, revision: 0, settled: false };
    return { ...this.#options.peers.self, known };
  }

  fill(draft: HeartbeatDraft): void {
    draft.known.push(...this.#tellAll());
  }

  answer(beat: contracts.PeerHeartbeat, draft: HeartbeatReplyDraft): void {
    for (const known of beat.known) {
      this.#services.get(known.service)?.notePeer(beat, known);
    }
    const told = new Map(
      beat.known.map(({ service, revision }) => [service, revision]),
    );
    for (const [service, { known }] of this.#services) {
      const { assignment, revision } = known;
      const isNewer = revision > (told.get(service) ?? 0);
      if (assignment !== undefined && isNewer) draft.newer.push(assignment);
    }
    draft.known.push(...this.#tellAll());
  }

  /** Newer assignments first: the answer counts as evidence for them. */
  noteReply(reply: contracts.PeerHeartbeatReply, askedAtMs: number): void {
    for (const assignment of reply.newer) this.acceptAssignment(assignment);
    for (const known of reply.known) {
      const ownership = this.#services.get(known.service);
      if (ownership === undefined) continue;
      ownership.known.noteVoterReply({
        vm: reply.vm,
        known,
        requestedAtMs: askedAtMs,
      });
      ownership.notePeer(reply, known, askedAtMs);
    }
  }

  #tellAll(): contracts.KnownRevision[] {
    return [...this.#services.values()].map((ownership) =>
      ownership.knownRevision()
    );
  }

  #tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#noteSuspend(nowMs);
    if (nowMs >= this.#refreshAtMs) this.#refresh(nowMs);
    for (const ownership of this.#services.values()) ownership.tick(nowMs);
  }

  #refresh(nowMs: number): void {
    this.#refreshAtMs = nowMs + REFRESH_INTERVAL_MS;
    for (const service of this.#options.config.services()) {
      if (service.keyed) this.#of(service.name);
    }
    const all = [...this.#services.values()];
    // Evidence lives shorter than the round of a large fleet's samples.
    this.#options.peers.pin(all.flatMap(({ known }) => known.voters));
  }

  /**
   * The monotonic clock may stand still while the whole machine is suspended.
   * Evidence would then look fresh although others have long waited it out;
   * the wall clock, which went on, shows it.
   */
  #noteSuspend(clockMs: number): void {
    const wallMs = Date.now();
    const last = this.#lastTick;
    this.#lastTick = { clockMs, wallMs };
    if (last === undefined) return;
    const skewMs = wallMs - last.wallMs - (clockMs - last.clockMs);
    if (skewMs < SUSPEND_THRESHOLD_MS) return;
    this.#options.log.part("owner").warn("clocks parted, evidence dropped", {
      skewMs: Math.round(skewMs),
    });
    for (const { known } of this.#services.values()) known.dropConfirmations();
  }

  #of(service: contracts.ServiceId): ServiceOwnership {
    const present = this.#services.get(service);
    if (present !== undefined) return present;
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
