/**
 * Moves slices of one service between servers by two conditional updates: the
 * first takes a slice from its owner, the second, once nobody else can hold a
 * lease for it, gives it to the next. Whatever the store then holds is taken
 * over as it is, so a lost reply, a lost mover and a second mover are one
 * case: read, and go on from what was read.
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

/** What came of a read of the assignment object. */
export type AssignmentReadResult =
  | {
    readonly kind: "found";
    readonly assignment: contracts.Assignment;
    readonly version: string;
  }
  | { readonly kind: "absent" }
  | { readonly kind: "unavailable" };

/** What came of a conditional update. */
export type AssignmentWriteResult =
  | { readonly kind: "acknowledged"; readonly version: string }
  /** Another version was there, or no reply came: it has to be read. */
  | { readonly kind: "conflict" }
  | { readonly kind: "unknown" }
  | { readonly kind: "refused" };

/** What a mover asks of the task around it. */
export type AssignmentEffect =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly assignment: contracts.Assignment;
    readonly condition: contracts.WriteCondition;
    /** Moves that the update begins or ends, for the log. */
    readonly changes: readonly SliceChange[];
  };

/** The world as the task sees it at a tick. */
export interface AssignmentTick {
  readonly nowMs: number;
  readonly random: contracts.RandomSource;
  /** Whether a server can take slices now. */
  isLive(server: contracts.ServerId): boolean;
  /** Whether a server is known to check fences; undefined when not met. */
  checksFences(server: contracts.ServerId): boolean | undefined;
  /** All entry VMs that may forward requests. */
  readonly entryVms: readonly contracts.VmId[];
}

/** Who moves. */
export interface ControllerIdentity {
  readonly service: contracts.ServiceId;
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
}

interface StoredAssignment {
  readonly assignment: contracts.Assignment;
  /** Undefined when the object does not exist yet. */
  readonly version: string;
}

const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 2_000;

/** Moves the slices of one service. */
export class AssignmentController {
  readonly #identity: ControllerIdentity;
  readonly #settings: OwnershipSettings;
  protected readonly acks = new RevisionAckTracker();
  readonly #forwards: UnfencedRequestTracker;
  #queue: ChangeRequest[] = [];
  /** Requests that the write under way covers. */
  #written: readonly ChangeRequest[] = [];
  readonly #waits: HandoverTracker;
  readonly #upkeep = new AssignmentMaintenance();
  #stored: StoredAssignment | undefined;
  #isAbsent = false;
  #first: contracts.Slice[] | undefined;
  #call: AssignmentEffect | undefined;
  #mustRead = true;
  #notBeforeMs = Number.NEGATIVE_INFINITY;
  #failures = 0;

  constructor(identity: ControllerIdentity, settings: OwnershipSettings) {
    this.#identity = identity;
    this.#settings = settings;
    this.#forwards = new UnfencedRequestTracker(settings.unfencedMoveWaitMs);
    this.#waits = new HandoverTracker(settings);
  }

  /** The assignment as last read or acknowledged. */
  get assignment(): contracts.Assignment | undefined {
    return this.#stored?.assignment;
  }

  /** Whether the store has answered that there is no assignment yet. */
  get isAbsent(): boolean {
    return this.#isAbsent;
  }

  /** Whether nothing is asked for and no call to the store is under way. */
  get isIdle(): boolean {
    return this.#queue.length === 0 && this.#call === undefined &&
      !this.#mustRead;
  }

  /** Asks for a change; a later one for the same slice replaces it. */
  request(change: ChangeRequest): void {
    this.#queue = this.#queue.filter(({ slice }) => slice !== change.slice);
    this.#queue.push(change);
  }

  /** Asks for the first assignment, written only if there is none. */
  requestInitial(slices: contracts.Slice[]): void {
    this.#first = slices;
  }

  /** Asks for a keeper set. */
  requestVoters(keepers: readonly contracts.Voter[]): void {
    this.#upkeep.requestVoters(keepers);
  }

  /** Asks for timings to be put in force. */
  requestTimings(timings: contracts.LeaseTimings): void {
    this.#upkeep.requestTimings(timings);
  }

  /** Reads anew before the next decision, for example after taking duty. */
  reset(): void {
    this.#queue = [];
    this.#waits.reset();
    this.#upkeep.reset();
    this.#mustRead = true;
  }

  /** A newer revision than the one stored here is known to exist. */
  noteNewerRevision(revision: number): void {
    if (revision > (this.assignment?.revision ?? 0)) this.#mustRead = true;
  }

  /** An entry VM told which revision it knows. */
  noteAck(promise: RevisionAck): void {
    this.acks.noteAck(promise);
    this.#checkPromises(promise.nowMs);
  }

  /** Whether the keepers are to be asked once more what they know. */
  get needsVoterReplies(): boolean {
    const sets = this.assignment?.keeperSets;
    if (sets === undefined) return false;
    return this.#waits.revisionsWithoutQuorum.some((revision) =>
      this.acks.mayReachQuorum(sets, revision)
    );
  }

  /** See `PromiseBook.noteGone`. */
  noteRemovedVms(vms: ReadonlySet<contracts.VmId>, nowMs: number): void {
    this.acks.noteRemovedVms(vms);
    this.#checkPromises(nowMs);
  }

  /** An entry VM told of its requests at servers that check no fences. */
  noteUnfencedRequests(report: UnfencedRequestReport): void {
    this.#forwards.noteReport(report);
  }

  /** Forgets what entry VMs told that are no longer members. */
  keepMembers(vms: readonly contracts.VmId[]): void {
    this.#forwards.keepOnly(vms);
  }

  /** A server answered an order. */
  noteReply(answer: AnsweredCommand): void {
    this.#upkeep.noteReply(answer, this.assignment);
    this.#waits.noteReply(answer);
  }

  /** Servers that slices are being taken from. */
  vacatingServers(): Set<contracts.ServerId> {
    const slices = this.assignment?.slices ?? [];
    return new Set(slices.flatMap((slice) => slice.from));
  }

  /**
   * Servers to send an order to without delay, once: from now on their
   * answers count as a release.
   */
  takeUrgentServers(): contracts.ServerId[] {
    return this.#waits.takeUrgentServers();
  }

  /** Decides what to do next; at most one call to the store is under way. */
  tick(tick: AssignmentTick): AssignmentEffect | undefined {
    if (this.#call !== undefined || tick.nowMs < this.#notBeforeMs) {
      return undefined;
    }
    this.#call = this.#mustRead ? { kind: "read" } : this.#nextWrite(tick);
    return this.#call;
  }

  /** The read that `tick` asked for has ended. */
  noteRead(
    read: AssignmentReadResult,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    this.#call = undefined;
    if (read.kind === "unavailable") return this.#backOff(nowMs, random);
    if (read.kind === "absent") return this.#noteAbsent(nowMs, random);
    const isLower = read.assignment.revision < (this.assignment?.revision ?? 0);
    if (isLower) return this.#backOff(nowMs, random);
    const { vm } = this.#identity;
    // Changes planned on a state that another mover has replaced are void.
    if (read.assignment.writer !== vm) this.#queue = [];
    this.#adopt(read, nowMs);
  }

  /** The write that `tick` asked for has ended. */
  noteWrite(
    write: AssignmentWriteResult,
    nowMs: number,
    random: contracts.RandomSource,
  ): void {
    const call = this.#call;
    this.#call = undefined;
    if (write.kind === "acknowledged" && call?.kind === "write") {
      const { assignment } = call;
      this.#queue = this.#queue.filter((change) =>
        !this.#written.includes(change)
      );
      return this.#adopt({ assignment, version: write.version }, nowMs);
    }
    // The update may have happened although no reply said so. Deciding on the
    // old state could, for one, skip the wait of a move that did begin.
    this.#mustRead = true;
    if (write.kind !== "conflict") this.#backOff(nowMs, random);
  }

  #adopt(stored: StoredAssignment, nowMs: number): void {
    this.#stored = stored;
    this.#isAbsent = false;
    this.#first = undefined;
    this.#mustRead = false;
    this.#failures = 0;
    this.acks.noteAck({
      ...this.#identity,
      revision: stored.assignment.revision,
      requestedAtMs: Number.POSITIVE_INFINITY,
      nowMs,
    });
    this.acks.keepOnly(stored.assignment.keeperSets);
    this.#waits.noteStored(stored.assignment, nowMs);
    this.#upkeep.noteStored(stored.assignment);
    this.#checkPromises(nowMs);
  }

  /** An object that was there once is never written anew from nothing. */
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
    // Jitter keeps the movers of all services from asking a store that has
    // just come back at the same moment.
    this.#notBeforeMs = nowMs + limitMs * (0.5 + random.next() / 2);
  }

  #checkPromises(nowMs: number): void {
    const hasPromise = (revision: number) => this.hasQuorum(revision);
    this.#waits.checkQuorum(hasPromise, nowMs);
    this.#upkeep.checkQuorum(hasPromise, nowMs);
  }

  /** Whether a majority of every keeper set knows a revision. */
  protected hasQuorum(revision: number): boolean {
    const sets = this.assignment?.keeperSets;
    return sets !== undefined && this.acks.hasQuorum(sets, revision);
  }

  /** Whether the second update of a move may be written. */
  protected mayFinishHandover(
    slice: contracts.Slice,
    tick: AssignmentTick,
  ): boolean {
    const wait = this.#waits.get(slice);
    if (wait === undefined || !tick.isLive(slice.server)) return false;
    return wait.mayFinish(slice.server, {
      nowMs: tick.nowMs,
      timings: this.longestTimings(),
      isUnfenced: (server) => this.#isUnfenced(server, tick),
      areRequestsDrained: (server, revision) =>
        this.#forwards.isDrained(server, revision, {
          vms: tick.entryVms,
          nowMs: tick.nowMs,
        }),
    });
  }

  /** What has to be waited out. */
  protected longestTimings(): contracts.LeaseTimings {
    return longestTimings(this.assignment, this.#settings);
  }

  #isUnfenced(server: contracts.ServerId, tick: AssignmentTick): boolean {
    const listed = this.assignment?.unfencedServers ?? [];
    return listed.includes(server) || tick.checksFences(server) === false;
  }

  #nextWrite(tick: AssignmentTick): AssignmentEffect | undefined {
    if (this.#stored === undefined) return this.#firstWrite(tick);
    const { assignment } = this.#stored;
    const hasWork = this.#queue.length > 0 || !this.#waits.isEmpty ||
      this.#upkeep.isDue(assignment);
    if (!hasWork) return undefined;
    const edit = new AssignmentBuilder(
      assignment,
      assignment,
      tick.checksFences,
    );
    edit.finishHandovers((slice) => this.mayFinishHandover(slice, tick));
    for (const change of this.#queue) edit.apply(change);
    this.#upkeep.apply(edit, assignment, {
      hasPromise: (revision) => this.hasQuorum(revision),
      nowMs: tick.nowMs,
    });
    this.#written = this.#queue;
    if (!edit.isChanged) {
      this.#queue = [];
      return undefined;
    }
    const { version } = this.#stored;
    return this.#write(edit, tick, { kind: "version", version });
  }

  #firstWrite(tick: AssignmentTick): AssignmentEffect | undefined {
    const { voters: keepers } = this.#upkeep;
    const slices = this.#first;
    const isReady = this.#isAbsent && slices && keepers;
    if (!isReady) return undefined;
    const start = { slices, keeperSets: [[...keepers]] };
    const edit = new AssignmentBuilder(undefined, start, tick.checksFences);
    edit.addTimings(this.#settings);
    return this.#write(edit, tick, { kind: "absent" });
  }

  #write(
    edit: AssignmentBuilder,
    tick: AssignmentTick,
    condition: contracts.WriteCondition,
  ): AssignmentEffect {
    const { service, vm, incarnation } = this.#identity;
    const assignment = edit.build({
      service,
      writer: vm,
      writerIncarnation: incarnation,
      nonce: Math.floor(tick.random.next() * 2 ** 48).toString(16),
    });
    return { kind: "write", assignment, condition, changes: edit.changes };
  }
}
