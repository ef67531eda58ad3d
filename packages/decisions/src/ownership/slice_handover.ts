/**
 * What a mover has seen of one slice that is between two owners, and whether
 * its earlier owners can no longer hold a lease.
 */
import type * as contracts from "@guavatide/contracts";
import { leaseExpiryWaitMs, type OwnershipSettings } from "./settings.ts";
import { overlaps, rangeOfSliceId } from "./slice_map.ts";

/** A server's reply to an order, with what was asked. */
export interface AnsweredCommand {
  readonly command: contracts.LeaseCommand;
  readonly reply: contracts.LeaseCommandReply;
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** What the end of a wait is judged by. */
export interface HandoverConditions {
  readonly nowMs: number;
  /** The longest timings by which a lease may have been given. */
  readonly timings: contracts.LeaseTimings;
  /** Whether the server is not known to check fences. */
  isUnfenced(server: contracts.ServerId): boolean;
  /** Whether every entry VM reported nothing in flight at the revision. */
  areRequestsDrained(server: contracts.ServerId, revision: number): boolean;
}

/** The wait for one vacating slice. */
export class SliceHandover {
  /** Revision at which this mover first saw the slice vacating. */
  readonly revision: number;
  readonly #slice: contracts.Slice;
  readonly #acknowledgedAtMs: number;
  readonly #settings: OwnershipSettings;
  readonly #released = new Set<contracts.ServerId>();
  readonly #busyAtMs = new Map<contracts.ServerId, number>();
  #promisedAtMs: number | undefined;

  constructor(
    slice: contracts.Slice,
    seen: { readonly revision: number; readonly acknowledgedAtMs: number },
    settings: OwnershipSettings,
  ) {
    this.revision = seen.revision;
    this.#slice = slice;
    this.#acknowledgedAtMs = seen.acknowledgedAtMs;
    this.#settings = settings;
  }

  /** Servers that may still hold a lease as far as the store knows. */
  get earlierOwners(): readonly contracts.ServerId[] {
    return this.#slice.from;
  }

  /** Whether a majority of every keeper set has been seen to know. */
  get hasQuorum(): boolean {
    return this.#promisedAtMs !== undefined;
  }

  /** A majority of every keeper set knows the revision, as seen now. */
  noteQuorum(nowMs: number): void {
    this.#promisedAtMs ??= nowMs;
  }

  /**
   * Takes a reply as a release if it is one. The order must have left after
   * the keepers' promise: a server that restarts after its release could
   * otherwise get the slice back from a keeper that does not know yet.
   */
  noteReply(answer: AnsweredCommand): void {
    const { command: order, reply } = answer;
    if (!this.#slice.from.includes(order.server)) return;
    if (!reply.accepted || reply.revision < this.revision) return;
    if (order.revision < this.revision) return;
    if (order.slices.some((held) => overlaps(held, this.#slice))) return;
    if (this.#isStillRunning(reply)) {
      this.#busyAtMs.set(order.server, answer.nowMs);
      return;
    }
    if (!this.hasQuorum || answer.sentAtMs < this.#promisedAtMs!) return;
    this.#released.add(order.server);
  }

  /** Whether none of the earlier owners but `next` can hold a lease. */
  mayFinish(next: contracts.ServerId, facts: HandoverConditions): boolean {
    return this.#slice.from.every((server) =>
      server === next || this.#isClear(server, facts)
    );
  }

  #isClear(server: contracts.ServerId, facts: HandoverConditions): boolean {
    if (facts.isUnfenced(server)) {
      return this.#isUnfencedClear(server, facts);
    }
    if (this.#released.has(server)) return true;
    const endMs = this.#startMs() + leaseExpiryWaitMs(facts.timings);
    return facts.nowMs >= endMs && !this.#isWorthWaiting(server, facts.nowMs);
  }

  /**
   * Leases do not bind such a server. What counts is when the last entry VM
   * lost the right to forward, and that its requests are over since.
   */
  #isUnfencedClear(
    server: contracts.ServerId,
    facts: HandoverConditions,
  ): boolean {
    const { evidenceMs, clockRateMargin } = facts.timings;
    const endMs = this.#startMs() + evidenceMs * (1 + clockRateMargin);
    if (facts.nowMs < endMs) return false;
    return facts.areRequestsDrained(server, this.revision) ||
      facts.nowMs >=
        endMs + this.#settings.unfencedMoveWaitMs * (1 + clockRateMargin);
  }

  #startMs(): number {
    if (this.#promisedAtMs === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(this.#acknowledgedAtMs, this.#promisedAtMs);
  }

  /** A server that answers and still runs requests is given time to finish. */
  #isWorthWaiting(server: contracts.ServerId, nowMs: number): boolean {
    const busyAtMs = this.#busyAtMs.get(server);
    if (busyAtMs === undefined) return false;
    return nowMs < busyAtMs + this.#settings.detectMs &&
      nowMs < this.#acknowledgedAtMs + this.#settings.releaseWaitMs;
  }

  /** Requests may run under an older, wider slice: ranges are compared. */
  #isStillRunning(reply: contracts.LeaseCommandReply): boolean {
    return reply.releasing.some(({ slice, inFlight }) => {
      const range = rangeOfSliceId(slice);
      const concerns = range === undefined || overlaps(range, this.#slice);
      return concerns && inFlight > 0;
    });
  }
}
