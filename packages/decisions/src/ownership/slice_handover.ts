/**
 * The handover of one slice: what the controller has seen of it, and whether
 * its earlier owners can no longer hold a lease.
 */
import type * as contracts from "@guavatide/contracts";
import { leaseExpiryWaitMs, type OwnershipSettings } from "./settings.ts";
import { overlaps, rangeOfSliceId } from "./slice_map.ts";

/** A server's reply to a lease command, with the command. */
export interface AnsweredCommand {
  readonly command: contracts.LeaseCommand;
  readonly reply: contracts.LeaseCommandReply;
  readonly sentAtMs: number;
  readonly nowMs: number;
}

/** Conditions by which the end of a handover is decided. */
export interface HandoverConditions {
  readonly nowMs: number;
  /** The longest timings by which a lease may have been granted. */
  readonly timings: contracts.LeaseTimings;
  /** Whether the server is not known to check fences. */
  isUnfenced(server: contracts.ServerId): boolean;
  /**
   * Whether every entry VM has reported no request in flight at the revision.
   */
  areRequestsDrained(server: contracts.ServerId, revision: number): boolean;
}

/** The handover of one vacating slice. */
export class SliceHandover {
  /** Revision at which this controller first saw the slice vacating. */
  readonly revision: number;
  readonly #slice: contracts.Slice;
  readonly #acknowledgedAtMs: number;
  readonly #settings: OwnershipSettings;
  readonly #released = new Set<contracts.ServerId>();
  readonly #lastBusyReplyAtMs = new Map<contracts.ServerId, number>();
  #quorumAtMs: number | undefined;

  constructor(
    slice: contracts.Slice,
    start: { readonly revision: number; readonly acknowledgedAtMs: number },
    settings: OwnershipSettings,
  ) {
    this.revision = start.revision;
    this.#slice = slice;
    this.#acknowledgedAtMs = start.acknowledgedAtMs;
    this.#settings = settings;
  }

  /** Servers that may still hold a lease, by what the store holds. */
  get earlierOwners(): readonly contracts.ServerId[] {
    return this.#slice.from;
  }

  /** Whether a quorum of every voter set has acknowledged the revision. */
  get hasQuorum(): boolean {
    return this.#quorumAtMs !== undefined;
  }

  /** A quorum of every voter set has acknowledged the revision by now. */
  noteQuorum(nowMs: number): void {
    this.#quorumAtMs ??= nowMs;
  }

  /**
   * Notes a reply. It counts as a release if its command did not list the slice
   * and no request runs on it any more. The command must have left after the
   * quorum's acknowledgement: a server that restarts after its release could
   * otherwise get the slice back from a voter that does not know the revision
   * yet.
   */
  noteReply(answered: AnsweredCommand): void {
    const { command, reply } = answered;
    if (!this.#slice.from.includes(command.server)) return;
    if (!reply.accepted || reply.revision < this.revision) return;
    if (command.revision < this.revision) return;
    if (command.slices.some((held) => overlaps(held, this.#slice))) return;
    if (this.#hasRequestsInFlight(reply)) {
      this.#lastBusyReplyAtMs.set(command.server, answered.nowMs);
      return;
    }
    if (!this.hasQuorum || answered.sentAtMs < this.#quorumAtMs!) return;
    this.#released.add(command.server);
  }

  /** Whether no earlier owner but `next` can still hold a lease. */
  mayFinish(next: contracts.ServerId, conditions: HandoverConditions): boolean {
    return this.#slice.from.every((server) =>
      server === next || this.#holdsNoLease(server, conditions)
    );
  }

  #holdsNoLease(
    server: contracts.ServerId,
    conditions: HandoverConditions,
  ): boolean {
    if (conditions.isUnfenced(server)) {
      return this.#isUnfencedServerDrained(server, conditions);
    }
    if (this.#released.has(server)) return true;
    const endMs = this.#waitStartMs() + leaseExpiryWaitMs(conditions.timings);
    return conditions.nowMs >= endMs &&
      !this.#isFinishingRequests(server, conditions.nowMs);
  }

  /**
   * Leases do not bind a server that ignores fences. What counts is when the
   * last entry VM lost the right to forward, and whether its requests have
   * ended since.
   */
  #isUnfencedServerDrained(
    server: contracts.ServerId,
    conditions: HandoverConditions,
  ): boolean {
    const { evidenceMs, clockRateMargin } = conditions.timings;
    const endMs = this.#waitStartMs() + evidenceMs * (1 + clockRateMargin);
    if (conditions.nowMs < endMs) return false;
    return conditions.areRequestsDrained(server, this.revision) ||
      conditions.nowMs >=
        endMs + this.#settings.unfencedMoveWaitMs * (1 + clockRateMargin);
  }

  #waitStartMs(): number {
    if (this.#quorumAtMs === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(this.#acknowledgedAtMs, this.#quorumAtMs);
  }

  /**
   * Whether to give a server that replies and still runs requests time to
   * finish.
   */
  #isFinishingRequests(server: contracts.ServerId, nowMs: number): boolean {
    const lastBusyReplyAtMs = this.#lastBusyReplyAtMs.get(server);
    if (lastBusyReplyAtMs === undefined) return false;
    return nowMs < lastBusyReplyAtMs + this.#settings.detectMs &&
      nowMs < this.#acknowledgedAtMs + this.#settings.releaseWaitMs;
  }

  /** Requests may run under an older, wider slice, so ranges are compared. */
  #hasRequestsInFlight(reply: contracts.LeaseCommandReply): boolean {
    return reply.releasing.some(({ slice, inFlight }) => {
      const range = rangeOfSliceId(slice);
      const isAffected = range === undefined || overlaps(range, this.#slice);
      return isAffected && inFlight > 0;
    });
  }
}
