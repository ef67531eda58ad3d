/**
 * Whether earlier timings of an assignment may be dropped. They may when no
 * lease that was given by them can be left: a majority of every keeper set
 * knows a revision that lists the newer ones, and the longest wait is over.
 */
import type * as contracts from "@guavatide/contracts";
import { leaseExpiryWaitMs, longestTimings } from "./settings.ts";

/** The wait of one mover for one service. */
export class TimingsExpiry {
  #list = "";
  #revision = 0;
  #promisedAtMs: number | undefined;

  /** Takes in what the store holds. */
  noteStored({ leaseTimings, revision }: contracts.Assignment): void {
    const list = JSON.stringify(leaseTimings);
    if (list === this.#list) return;
    this.#list = list;
    this.#revision = revision;
    this.#promisedAtMs = undefined;
  }

  /** Begins anew, for example after duty was taken over. */
  reset(): void {
    this.#list = "";
  }

  /** Notes whether the keepers' promise is there as of now. */
  checkQuorum(
    hasPromise: (revision: number) => boolean,
    nowMs: number,
  ): void {
    if (this.#promisedAtMs !== undefined || this.#revision === 0) return;
    if (hasPromise(this.#revision)) this.#promisedAtMs = nowMs;
  }

  hasExpired(assignment: contracts.Assignment, nowMs: number): boolean {
    const [first] = assignment.leaseTimings ?? [];
    if (first === undefined || this.#promisedAtMs === undefined) return false;
    const waitMs = leaseExpiryWaitMs(longestTimings(assignment, first));
    return nowMs >= this.#promisedAtMs + waitMs;
  }
}
