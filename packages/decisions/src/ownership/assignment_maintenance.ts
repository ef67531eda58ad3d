/**
 * What an assignment carries besides its slices: keepers, timings and the
 * servers that check no fences. Changed when somebody asks for it, and cleared
 * of earlier sets and timings when those can do no more harm.
 */
import type * as contracts from "@guavatide/contracts";
import {
  type AssignmentBuilder,
  isSameTimings,
  isSameVoterSet,
} from "./assignment_builder.ts";
import type { AnsweredCommand } from "./slice_handover.ts";
import { TimingsExpiry } from "./timings_expiry.ts";

/** Keeper sets that may stand beside each other. */
const MAX_VOTER_SETS = 3;
/** Timings that may be listed beside each other. */
const MAX_TIMINGS = 4;

/** Whether a majority of every keeper set is known to know a revision. */
export type HasQuorum = (revision: number) => boolean;

/** The upkeep of one mover for one service. */
export class AssignmentMaintenance {
  readonly #timingsWait = new TimingsExpiry();
  #keepers: readonly contracts.Voter[] | undefined;
  #timings: contracts.LeaseTimings | undefined;
  #hasFenceNews = false;

  /** The keeper set to have; undefined while none was asked for. */
  get voters(): readonly contracts.Voter[] | undefined {
    return this.#keepers;
  }

  requestVoters(keepers: readonly contracts.Voter[]): void {
    this.#keepers = keepers;
  }

  requestTimings(timings: contracts.LeaseTimings): void {
    this.#timings = timings;
  }

  /** Begins all waits anew, for example after duty was taken over. */
  reset(): void {
    this.#timingsWait.reset();
  }

  /** Takes in what the store holds. */
  noteStored(assignment: contracts.Assignment): void {
    this.#hasFenceNews = false;
    this.#timingsWait.noteStored(assignment);
  }

  /** Entry VMs learn from the assignment which servers they must guard. */
  noteReply(
    { command: order, reply }: AnsweredCommand,
    assignment: contracts.Assignment | undefined,
  ): void {
    const listed = assignment?.unfencedServers ?? [];
    const isNews = !reply.checksFences && !listed.includes(order.server);
    if (isNews && order.slices.length > 0) this.#hasFenceNews = true;
  }

  checkQuorum(hasPromise: HasQuorum, nowMs: number): void {
    this.#timingsWait.checkQuorum(hasPromise, nowMs);
  }

  /** Whether there may be anything to change. */
  isDue(assignment: contracts.Assignment): boolean {
    const { keeperSets, leaseTimings = [] } = assignment;
    const isKeeperChange = this.#keepers !== undefined &&
      !isSameVoterSet(this.#keepers, keeperSets.at(-1)!);
    const isTimingsChange = this.#timings !== undefined &&
      !isSameTimings(this.#timings, leaseTimings.at(-1));
    return keeperSets.length > 1 || leaseTimings.length > 1 ||
      isKeeperChange || isTimingsChange || this.#hasFenceNews;
  }

  /** Puts the changes that are due into an update. */
  apply(
    edit: AssignmentBuilder,
    assignment: contracts.Assignment,
    seen: { readonly hasPromise: HasQuorum; readonly nowMs: number },
  ): void {
    this.#changeKeepers(edit, assignment, seen.hasPromise);
    this.#changeTimings(edit, assignment, seen.nowMs);
    if (this.#hasFenceNews) edit.markChanged();
  }

  /**
   * Adds the wanted set, and drops earlier ones when a majority of each knows
   * the present revision: until then they could still confirm an older one.
   */
  #changeKeepers(
    edit: AssignmentBuilder,
    { keeperSets, revision }: contracts.Assignment,
    hasPromise: HasQuorum,
  ): void {
    const mayRetire = keeperSets.length > 1 && hasPromise(revision);
    if (mayRetire) edit.dropEarlierVoterSets();
    // More sets than these would only let old ones pile up unconfirmed.
    const mayAdd = keeperSets.length < MAX_VOTER_SETS || mayRetire;
    if (this.#keepers !== undefined && mayAdd) edit.addVoterSet(this.#keepers);
  }

  /** Settings may be rolled out VM by VM: the holder of duty's count. */
  #changeTimings(
    edit: AssignmentBuilder,
    assignment: contracts.Assignment,
    nowMs: number,
  ): void {
    const count = assignment.leaseTimings?.length ?? 0;
    const mayRetire = count > 1 &&
      this.#timingsWait.hasExpired(assignment, nowMs);
    if (mayRetire) edit.dropEarlierTimings();
    const mayAdd = count < MAX_TIMINGS || mayRetire;
    if (this.#timings !== undefined && mayAdd) edit.addTimings(this.#timings);
  }
}
