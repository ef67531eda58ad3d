/**
 * Maintains what an assignment carries besides its slices: voter sets, lease
 * timings and the servers that do not check fences. Adds what is requested, and
 * drops earlier voter sets and timings once no lease can depend on them.
 */
import type * as contracts from "@guavatide/contracts";
import {
  type AssignmentBuilder,
  isSameTimings,
  isSameVoterSet,
} from "./assignment_builder.ts";
import type { AnsweredCommand } from "./slice_handover.ts";
import { TimingsExpiry } from "./timings_expiry.ts";

/** Voter sets that an assignment may list at once. */
const MAX_VOTER_SETS = 3;
/** Lease timings that an assignment may list at once. */
const MAX_TIMINGS = 4;

/** Whether a quorum of every voter set has acknowledged a revision. */
export type HasQuorum = (revision: number) => boolean;

/** Maintenance of one service's assignment by one controller. */
export class AssignmentMaintenance {
  readonly #timingsExpiry = new TimingsExpiry();
  #voters: readonly contracts.Voter[] | undefined;
  #timings: contracts.LeaseTimings | undefined;
  #hasUnlistedServer = false;

  /** The requested voter set; undefined until one is requested. */
  get voters(): readonly contracts.Voter[] | undefined {
    return this.#voters;
  }

  requestVoters(voters: readonly contracts.Voter[]): void {
    this.#voters = voters;
  }

  requestTimings(timings: contracts.LeaseTimings): void {
    this.#timings = timings;
  }

  /** Starts all waits again, for example after this VM became leader. */
  reset(): void {
    this.#timingsExpiry.reset();
  }

  /** The store holds this assignment. */
  noteStored(assignment: contracts.Assignment): void {
    this.#hasUnlistedServer = false;
    this.#timingsExpiry.noteStored(assignment);
  }

  /**
   * Entry VMs learn from the assignment which servers do not check fences, so a
   * server found not to is added by an update.
   */
  noteReply(
    { command, reply }: AnsweredCommand,
    assignment: contracts.Assignment | undefined,
  ): void {
    const listed = assignment?.unfencedServers ?? [];
    const isUnlisted = !reply.checksFences && !listed.includes(command.server);
    if (isUnlisted && command.slices.length > 0) this.#hasUnlistedServer = true;
  }

  /** Checks whether a quorum has acknowledged the timings last written. */
  checkQuorum(hasQuorum: HasQuorum, nowMs: number): void {
    this.#timingsExpiry.checkQuorum(hasQuorum, nowMs);
  }

  /** Whether an update may be needed. */
  isDue(assignment: contracts.Assignment): boolean {
    const { keeperSets, leaseTimings = [] } = assignment;
    const isVoterChange = this.#voters !== undefined &&
      !isSameVoterSet(this.#voters, keeperSets.at(-1)!);
    const isTimingsChange = this.#timings !== undefined &&
      !isSameTimings(this.#timings, leaseTimings.at(-1));
    return keeperSets.length > 1 || leaseTimings.length > 1 ||
      isVoterChange || isTimingsChange || this.#hasUnlistedServer;
  }

  /** Adds the changes that are due to an update. */
  apply(
    draft: AssignmentBuilder,
    assignment: contracts.Assignment,
    context: { readonly hasQuorum: HasQuorum; readonly nowMs: number },
  ): void {
    this.#updateVoters(draft, assignment, context.hasQuorum);
    this.#updateTimings(draft, assignment, context.nowMs);
    if (this.#hasUnlistedServer) draft.markChanged();
  }

  /**
   * Adds the requested set. Drops earlier ones when a quorum of each has
   * acknowledged the current revision: until then they could still confirm an
   * older one.
   */
  #updateVoters(
    draft: AssignmentBuilder,
    { keeperSets, revision }: contracts.Assignment,
    hasQuorum: HasQuorum,
  ): void {
    const mayDrop = keeperSets.length > 1 && hasQuorum(revision);
    if (mayDrop) draft.dropEarlierVoterSets();
    // Each further set needs a quorum too: with more, old ones pile up.
    const mayAdd = keeperSets.length < MAX_VOTER_SETS || mayDrop;
    if (this.#voters !== undefined && mayAdd) draft.addVoterSet(this.#voters);
  }

  /** Settings are rolled out VM by VM, so the leader's settings decide. */
  #updateTimings(
    draft: AssignmentBuilder,
    assignment: contracts.Assignment,
    nowMs: number,
  ): void {
    const count = assignment.leaseTimings?.length ?? 0;
    const mayDrop = count > 1 &&
      this.#timingsExpiry.hasExpired(assignment, nowMs);
    if (mayDrop) draft.dropEarlierTimings();
    const mayAdd = count < MAX_TIMINGS || mayDrop;
    if (this.#timings !== undefined && mayAdd) draft.addTimings(this.#timings);
  }
}
