/**
 * What an assignment carries besides its slices: keepers, timings and the
 * servers that check no fences. Changed when somebody asks for it, and cleared
 * of earlier sets and timings when those can do no more harm.
 */
import type * as contracts from "@guavatide/contracts";
import {
  type AssignmentEdit,
  isSameSet,
  isSameTimings,
} from "./assignment_edit.ts";
import type { AnsweredOrder } from "./slice_wait.ts";
import { TimingsWait } from "./timings_wait.ts";

/** Keeper sets that may stand beside each other. */
const KEEPER_SETS = 3;
/** Timings that may be listed beside each other. */
const TIMINGS_LISTED = 4;

/** Whether a majority of every keeper set is known to know a revision. */
export type HasPromise = (revision: number) => boolean;

/** The upkeep of one mover for one service. */
export class AssignmentUpkeep {
  readonly #timingsWait = new TimingsWait();
  #keepers: readonly contracts.Keeper[] | undefined;
  #timings: contracts.LeaseTimings | undefined;
  #hasFenceNews = false;

  /** The keeper set to have; undefined while none was asked for. */
  get keepers(): readonly contracts.Keeper[] | undefined {
    return this.#keepers;
  }

  requestKeepers(keepers: readonly contracts.Keeper[]): void {
    this.#keepers = keepers;
  }

  requestTimings(timings: contracts.LeaseTimings): void {
    this.#timings = timings;
  }

  /** Begins all waits anew, for example after duty was taken over. */
  clear(): void {
    this.#timingsWait.clear();
  }

  /** Takes in what the store holds. */
  renew(assignment: contracts.Assignment): void {
    this.#hasFenceNews = false;
    this.#timingsWait.renew(assignment);
  }

  /** Entry VMs learn from the assignment which servers they must guard. */
  noteReply(
    { order, reply }: AnsweredOrder,
    assignment: contracts.Assignment | undefined,
  ): void {
    const listed = assignment?.unfencedServers ?? [];
    const isNews = !reply.checksFences && !listed.includes(order.server);
    if (isNews && order.slices.length > 0) this.#hasFenceNews = true;
  }

  checkPromise(hasPromise: HasPromise, nowMs: number): void {
    this.#timingsWait.checkPromise(hasPromise, nowMs);
  }

  /** Whether there may be anything to change. */
  isDue(assignment: contracts.Assignment): boolean {
    const { keeperSets, leaseTimings = [] } = assignment;
    const isKeeperChange = this.#keepers !== undefined &&
      !isSameSet(this.#keepers, keeperSets.at(-1)!);
    const isTimingsChange = this.#timings !== undefined &&
      !isSameTimings(this.#timings, leaseTimings.at(-1));
    return keeperSets.length > 1 || leaseTimings.length > 1 ||
      isKeeperChange || isTimingsChange || this.#hasFenceNews;
  }

  /** Puts the changes that are due into an update. */
  apply(
    edit: AssignmentEdit,
    assignment: contracts.Assignment,
    seen: { readonly hasPromise: HasPromise; readonly nowMs: number },
  ): void {
    this.#changeKeepers(edit, assignment, seen.hasPromise);
    this.#changeTimings(edit, assignment, seen.nowMs);
    if (this.#hasFenceNews) edit.touch();
  }

  /**
   * Adds the wanted set, and drops earlier ones when a majority of each knows
   * the present revision: until then they could still confirm an older one.
   */
  #changeKeepers(
    edit: AssignmentEdit,
    { keeperSets, revision }: contracts.Assignment,
    hasPromise: HasPromise,
  ): void {
    const mayRetire = keeperSets.length > 1 && hasPromise(revision);
    if (mayRetire) edit.retireKeepers();
    // More sets than these would only let old ones pile up unconfirmed.
    const mayAdd = keeperSets.length < KEEPER_SETS || mayRetire;
    if (this.#keepers !== undefined && mayAdd) edit.useKeepers(this.#keepers);
  }

  /** Settings may be rolled out VM by VM: the holder of duty's count. */
  #changeTimings(
    edit: AssignmentEdit,
    assignment: contracts.Assignment,
    nowMs: number,
  ): void {
    const count = assignment.leaseTimings?.length ?? 0;
    const mayRetire = count > 1 && this.#timingsWait.isOver(assignment, nowMs);
    if (mayRetire) edit.retireTimings();
    const mayAdd = count < TIMINGS_LISTED || mayRetire;
    if (this.#timings !== undefined && mayAdd) edit.useTimings(this.#timings);
  }
}
