/**
 * Decides when earlier lease timings of an assignment may be dropped: when no
 * lease that was granted by them can be left. For that, a quorum of every voter
 * set has acknowledged a revision that lists the newer ones, and the longest
 * lease has expired since.
 */
import type * as contracts from "@guavatide/contracts";
import { leaseExpiryWaitMs, longestTimings } from "./settings.ts";

/** Expiry of earlier timings, as one controller sees it for one service. */
export class TimingsExpiry {
  #listedTimings = "";
  #revision = 0;
  #quorumAtMs: number | undefined;

  /** The store holds this assignment. */
  noteStored({ leaseTimings, revision }: contracts.Assignment): void {
    const listedTimings = JSON.stringify(leaseTimings);
    if (listedTimings === this.#listedTimings) return;
    this.#listedTimings = listedTimings;
    this.#revision = revision;
    this.#quorumAtMs = undefined;
  }

  /** Starts the wait again, for example after this VM became leader. */
  reset(): void {
    this.#listedTimings = "";
  }

  /** Checks whether a quorum has acknowledged the timings by now. */
  checkQuorum(
    hasQuorum: (revision: number) => boolean,
    nowMs: number,
  ): void {
    if (this.#quorumAtMs !== undefined || this.#revision === 0) return;
    if (hasQuorum(this.#revision)) this.#quorumAtMs = nowMs;
  }

  /** Whether no lease by any but the newest timings can be left. */
  hasExpired(assignment: contracts.Assignment, nowMs: number): boolean {
    const [oldest] = assignment.leaseTimings ?? [];
    if (oldest === undefined || this.#quorumAtMs === undefined) return false;
    const waitMs = leaseExpiryWaitMs(longestTimings(assignment, oldest));
    return nowMs >= this.#quorumAtMs + waitMs;
  }
}
