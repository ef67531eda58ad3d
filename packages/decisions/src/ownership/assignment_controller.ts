/**
 * Controls the assignment of one service's slices to servers. A handover takes
 * two conditional updates: the first takes a slice from its owner, the second
 * grants it to the next owner once no other server can hold a lease for it. The
 * controller always continues from what the store holds, so a lost reply, a
 * failed controller and a concurrent one are handled alike: it reads the store
 * and continues from there.
 */
import * as contracts from "@guavatide/contracts";
import { AssignmentBuilder } from "./assignment_builder.ts";
import { AssignmentMaintenance } from "./assignment_maintenance.ts";
import {
  type UnfencedRequestReport,
  UnfencedRequestTracker,
} from "./unfenced_request_tracker.ts";
import type { ChangeRequest, SliceChange } from "./assignment_changes.ts";
import {
  type RevisionAck,
  RevisionAckTracker,
} from "./revision_ack_tracker.ts";
import { longestTimings, type OwnershipSettings } from "./settings.ts";
import type { AnsweredCommand } from "./slice_handover.ts";
import { HandoverTracker } from "./handover_tracker.ts";

/** Result of a read of the assignment object. */
export type AssignmentReadResult =
  | {
    readonly kind: "found";
    readonly assignment: contracts.Assignment;
    readonly version: string;
  }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable" };

/** Result of a conditional update. */
export type AssignmentWriteResult =
  | { readonly kind: "acknowledged"; readonly version: string }
  /** Another version is stored, or no reply arrived: it has to be read. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unknown" }
  | { readonly kind: "refused" };

/** A store call that the caller is to make. */
export type AssignmentEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly assignment: contracts.Assignment;
    readonly condition: contracts.WriteCondition;
    /** The changes that the update makes, for the log. */
    readonly changes: readonly SliceChange[];
  };

/** Input of one tick. */
export interface AssignmentTick {
  readonly nowMs: number;
  readonly random: contracts.RandomSource;
  /** Whether a server can take over slices now. */
  isLive(server: contracts.ServerId): boolean;
  /** Whether a server checks fences; undefined while no reply has said so. */
  checksFences(server: contracts.ServerId): boolean | undefined;
  /** All entry VMs that may forward requests. */
  readonly entryVms: readonly contracts.VmId[];
}

/** Identity under which a controller writes. */
export interface ControllerIdentity {
  readonly service: contracts.ServiceId;
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
}

interface StoredAssignment {
  readonly assignment: contracts.Assignment;
  readonly version: string;
}

const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 2_000;

/** Controls the assignment of one service. */
export class AssignmentController {
  readonly #identity: ControllerIdentity;
  readonly #settings: OwnershipSettings;
  protected readonly acks = new RevisionAckTracker();
  readonly #unfencedRequests: UnfencedRequestTracker;
  #queue: ChangeRequest[] = [];
  /** Changes that the pending write contains. */
  #changesInWrite: readonly ChangeRequest[] = [];
  readonly #handovers: HandoverTracker;
  readonly #maintenance = new AssignmentMaintenance();
  #stored: StoredAssignment | undefined;
  #isAbsent = false;
  #initialSlices: contracts.Slice[] | undefined;
  #pendingEffect: AssignmentEffect | undefined;
  #mustRead = true;
  #nextAttemptAtMs = Number.NEGATIVE_INFINITY;
  #failures = 0;

  constructor(identity: ControllerIdentity, settings: OwnershipSettings) {
    this.#identity = identity;
    this.#settings = settings;
    this.#unfencedRequests = new UnfencedRequestTracker(
      settings.unfencedMoveWaitMs,
    );
    this.#handovers = new HandoverTracker(settings);
  }

  /** The assignment as last read or acknowledged. */
  get assignment(): contracts.Assignment | undefined {
    return this.#stored?.assignment;
  }

  /** Whether the store has answered that there is no assignment yet. */
  get isAbsent(): boolean {
    return this.#isAbsent;
  }

  /** Whether no change is queued and no store call is pending or due. */
  get isIdle(): boolean {
    return this.#queue.length === 0 && this.#pendingEffect === undefined &&
      !this.#mustRead;
  }

  /** Requests a change; it replaces an earlier one for the same slice. */
  request(change: ChangeRequest): void {
    this.#queue = this.#queue.filter(({ slice }) => slice !== change.slice);
    this.#queue.push(change);
  }

  /** Requests the initial assignment, written only if there is none. */
  requestInitial(slices: contracts.Slice[]): void {
    this.#initialSlices = slices;
  }

  /** Requests a voter set. */
  requestVoters(voters: readonly contracts.Voter[]): void {
    this.#maintenance.requestVoters(voters);
  }

  /** Requests lease timings. */
  requestTimings(timings: contracts.LeaseTimings): void {
    this.#maintenance.requestTimings(timings);
  }

  /**
   * Discards queued changes and reads before the next decision, for example
   * after this VM became leader.
   */
  reset(): void {
    this.#queue = [];
    this.#handovers.reset();
    this.#maintenance.reset();
    this.#mustRead = true;
  }

  /**
   * A revision is known to exist; it is read when it is newer than the one
   * here.
   */
  noteNewerRevision(revision: number): void {
    if (revision > (this.assignment?.revision ?? 0)) this.#mustRead = true;
  }

  /** An entry VM reported the revision that it knows. */
  noteAck(ack: RevisionAck): void {
    this.acks.noteAck(ack);
    this.#checkQuorum(ack.nowMs);
  }

  /** Whether to poll the voters now, because that may complete a quorum. */
  get needsVoterReplies(): boolean {
    const sets = this.assignment?.keeperSets;
    if (sets === undefined) return false;
    return this.#handovers.revisionsWithoutQuorum.some((revision) =>
      this.acks.mayReachQuorum(sets, revision)
    );
  }

  /** See `RevisionAckTracker.noteRemovedVms`. */
  noteRemovedVms(vms: ReadonlySet<contracts.VmId>, nowMs: number): void {
    this.acks.noteRemovedVms(vms);
    this.#checkQuorum(nowMs);
  }

  /** An entry VM reported its requests at servers that do not check fences. */
  noteUnfencedRequests(report: UnfencedRequestReport): void {
    this.#unfencedRequests.noteReport(report);
  }

  /** Drops the reports of entry VMs that are no longer members. */
  keepMembers(vms: readonly contracts.VmId[]): void {
    this.#unfencedRequests.keepOnly(vms);
  }

  /** A server answered a lease command. */
  noteReply(answered: AnsweredCommand): void {
    this.#maintenance.noteReply(answered, this.assignment);
    this.#handovers.noteReply(answered);
  }

  /** Servers from which slices are being taken. */
  vacatingServers(): Set<contracts.ServerId> {
    const slices = this.assignment?.slices ?? [];
    return new Set(slices.flatMap((slice) => slice.from));
  }

  /**
   * Servers to send a lease command to at once: from now on their replies count
   * as a release. Each is returned once.
   */
  takeUrgentServers(): contracts.ServerId[] {
    return this.#handovers.takeUrgentServers();
  }

  /** Returns the next store call; at most one is pending. */
  tick(tick: AssignmentTick): AssignmentEffect | undefined {
    if (
      this.#pendingEffect !== undefined || tick.nowMs < this.#nextAttemptAtMs
    ) {
      return undefined;
    }
    this.#pendingEffect = this.#mustRead
      ? { kind: "read" }
      : this.#nextWrite(tick);
    return this.#pendingEffect;
  }

  /** The read that `tick` requested has ended. */
  noteRead(
    read: AssignmentReadResult,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    this.#pendingEffect = undefined;
    if (read.kind === "unavailable") return this.#backOff(nowMs, random);
    if (read.kind === "absent") return this.#noteAbsent(nowMs, random);
    const isLower = read.assignment.revision < (this.assignment?.revision ?? 0);
    if (isLower) return this.#backOff(nowMs, random);
    const { vm } = this.#identity;
    // Changes planned on a state that another VM has replaced are void.
    if (read.assignment.writer !== vm) this.#queue = [];
    this.#adopt(read, nowMs);
  }

  /** The write that `tick` requested has ended. */
  noteWrite(
    write: AssignmentWriteResult,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    const pending = this.#pendingEffect;
    this.#pendingEffect = undefined;
    if (write.kind === "acknowledged" && pending?.kind === "write") {
      const { assignment } = pending;
      this.#queue = this.#queue.filter((change) =>
        !this.#changesInWrite.includes(change)
      );
      return this.#adopt({ assignment, version: write.version }, nowMs);
    }
    // The update may have taken effect without a reply. Deciding on the old
    // state could, for example, skip the wait of a handover that has started.
    this.#mustRead = true;
    if (write.kind !== "conflict") this.#backOff(nowMs, random);
  }

  #adopt(stored: StoredAssignment, nowMs: number): void {
    this.#stored = stored;
    this.#isAbsent = false;
    this.#initialSlices = undefined;
    this.#mustRead = false;
    this.#failures = 0;
    this.acks.noteAck({
      ...this.#identity,
      revision: stored.assignment.revision,
      requestedAtMs: Number.POSITIVE_INFINITY,
      nowMs,
    });
    this.acks.keepOnly(stored.assignment.keeperSets);
    this.#handovers.noteStored(stored.assignment, nowMs);
    this.#maintenance.noteStored(stored.assignment);
    this.#checkQuorum(nowMs);
  }

  /**
   * Treats an object that existed before as unavailable, so that it is never
   * created a second time.
   */
  #noteAbsent(nowMs: number, random: contracts.RandomSource): void {
    if (this.#stored !== undefined) return this.#backOff(nowMs, random);
    this.#isAbsent = true;
    this.#mustRead = false;
    this.#failures = 0;
  }

  #backOff(nowMs: number, random: contracts.RandomSource): void {
    this.#mustRead = true;
    const limitMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** this.#failures);
    this.#failures++;
    // Jitter keeps the controllers of all services from reading at the same
    // moment when the store is available again.
    this.#nextAttemptAtMs = nowMs + limitMs * (0.5 + random.next() / 2);
  }

  #checkQuorum(nowMs: number): void {
    const hasQuorum = (revision: number) => this.hasQuorum(revision);
    this.#handovers.checkQuorum(hasQuorum, nowMs);
    this.#maintenance.checkQuorum(hasQuorum, nowMs);
  }

  /** Whether a quorum of every voter set has acknowledged a revision. */
  protected hasQuorum(revision: number): boolean {
    const sets = this.assignment?.keeperSets;
    return sets !== undefined && this.acks.hasQuorum(sets, revision);
  }

  /** Whether the second update of a handover may be written. */
  protected mayFinishHandover(
    slice: contracts.Slice,
    tick: AssignmentTick,
  ): boolean {
    const handover = this.#handovers.get(slice);
    if (handover === undefined || !tick.isLive(slice.server)) return false;
    return handover.mayFinish(slice.server, {
      nowMs: tick.nowMs,
      timings: this.longestTimings(),
      isUnfenced: (server) => this.#isUnfenced(server, tick),
      areRequestsDrained: (server, revision) =>
        this.#unfencedRequests.isDrained(server, revision, {
          vms: tick.entryVms,
          nowMs: tick.nowMs,
        }),
    });
  }

  /** The lease timings whose expiry a handover waits for. */
  protected longestTimings(): contracts.LeaseTimings {
    return longestTimings(this.assignment, this.#settings);
  }

  #isUnfenced(server: contracts.ServerId, tick: AssignmentTick): boolean {
    const listed = this.assignment?.unfencedServers ?? [];
    return listed.includes(server) || tick.checksFences(server) === false;
  }

  #nextWrite(tick: AssignmentTick): AssignmentEffect | undefined {
    if (this.#stored === undefined) return this.#initialWrite(tick);
    const { assignment } = this.#stored;
    const hasWork = this.#queue.length > 0 || !this.#handovers.isEmpty ||
      this.#maintenance.isDue(assignment);
    if (!hasWork) return undefined;
    const draft = new AssignmentBuilder(
      assignment,
      assignment,
      tick.checksFences,
    );
    draft.finishHandovers((slice) => this.mayFinishHandover(slice, tick));
    for (const change of this.#queue) draft.apply(change);
    this.#maintenance.apply(draft, assignment, {
      hasQuorum: (revision) => this.hasQuorum(revision),
      nowMs: tick.nowMs,
    });
    this.#changesInWrite = this.#queue;
    if (!draft.isChanged) {
      this.#queue = [];
      return undefined;
    }
    const { version } = this.#stored;
    return this.#write(draft, tick, { kind: "version", version });
  }

  #initialWrite(tick: AssignmentTick): AssignmentEffect | undefined {
    const { voters } = this.#maintenance;
    const slices = this.#initialSlices;
    const isReady = this.#isAbsent && slices && voters;
    if (!isReady) return undefined;
    const start = { slices, keeperSets: [[...voters]] };
    const draft = new AssignmentBuilder(undefined, start, tick.checksFences);
    draft.addTimings(this.#settings);
    return this.#write(draft, tick, { kind: "absent" });
  }

  #write(
    draft: AssignmentBuilder,
    tick: AssignmentTick,
    condition: contracts.WriteCondition,
  ): AssignmentEffect {
    const { service, vm, incarnation } = this.#identity;
    const assignment = draft.build({
      service,
      writer: vm,
      writerIncarnation: incarnation,
      nonce: Math.floor(tick.random.next() * 2 ** 48).toString(16),
    });
    return { kind: "write", assignment, condition, changes: draft.changes };
  }
}
