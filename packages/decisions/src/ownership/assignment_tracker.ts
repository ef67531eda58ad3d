/**
 * Tracks what one process knows of a service's assignment, and until when it
 * may act on it. A revision is confirmed by a store read that returned it, or
 * by a quorum of its voters that knew of none newer. Either counts from when
 * the request was sent, because the reply may have been on its way for a long
 * time.
 */
import type * as contracts from "@guavatide/contracts";
import { activeTimings } from "./settings.ts";

/** A voter's reply with the highest revision that it knows. */
export interface VoterReply {
  readonly vm: contracts.VmId;
  readonly known: contracts.KnownRevision;
  /** Time at which the request left, on this process's clock. */
  readonly requestedAtMs: number;
}

interface StoreReply {
  readonly revision: number;
  readonly requestedAtMs: number;
}

/** Time of a confirmation that does not exist. */
export const NEVER_MS = Number.NEGATIVE_INFINITY;

/** Number of members that form a majority of a set. */
export function quorumSize(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/** The assignment of one service as known to one process. */
export class AssignmentTracker {
  readonly #self: contracts.VmId;
  readonly #service: contracts.ServiceId;
  readonly #settings: contracts.LeaseTimings;
  readonly #voterReplies = new Map<contracts.VmId, VoterReply>();
  #assignment: contracts.Assignment | undefined;
  #storeReply: StoreReply | undefined;
  #mayVote = false;

  constructor(
    self: contracts.VmId,
    service: contracts.ServiceId,
    settings: contracts.LeaseTimings,
  ) {
    this.#self = self;
    this.#service = service;
    this.#settings = settings;
  }

  /** Highest revision known; never replaced by a lower one. */
  get assignment(): contracts.Assignment | undefined {
    return this.#assignment;
  }

  /** Lease timings of the highest revision known. */
  get timings(): contracts.LeaseTimings {
    return activeTimings(this.#assignment, this.#settings);
  }

  /** Highest revision known; 0 when there is none. */
  get revision(): number {
    return this.#assignment?.revision ?? 0;
  }

  /**
   * Whether this process may confirm revisions to others. A restarted voter has
   * forgotten what it acknowledged; without this rule it could confirm an old
   * revision while a controller relies on its acknowledgement. Every
   * acknowledgement follows an acknowledged write, so one read of the store
   * after the start returns at least that revision. While the store is
   * unavailable, replies of the other voters serve too, see
   * `#restoreVoteFromPeers`.
   */
  get mayVote(): boolean {
    return this.#mayVote;
  }

  /** What this process reports to its peers. */
  knownRevision(): contracts.KnownRevision {
    return {
      service: this.#service,
      revision: this.revision,
      settled: this.mayVote,
    };
  }

  /** Learns an assignment from any source. Returns whether it is newer. */
  learn(assignment: contracts.Assignment): boolean {
    if (assignment.revision <= this.revision) return false;
    this.#assignment = assignment;
    this.#dropNonVoters(assignment);
    this.#restoreVoteFromPeers();
    return true;
  }

  /**
   * A read of the store or an acknowledged write, sent at `requestedAtMs`.
   * Returns whether the assignment is newer.
   */
  noteStoreRead(
    assignment: contracts.Assignment,
    requestedAtMs: number,
  ): boolean {
    this.#mayVote = true;
    const isNewer = this.learn(assignment);
    const isLater =
      requestedAtMs > (this.#storeReply?.requestedAtMs ?? NEVER_MS);
    if (isLater || assignment.revision > (this.#storeReply?.revision ?? 0)) {
      this.#storeReply = {
        revision: assignment.revision,
        requestedAtMs,
      };
    }
    return isNewer;
  }

  /** The store has no assignment yet. */
  noteStoreAbsent(): void {
    this.#mayVote = true;
  }

  /**
   * A voter replied. Replies to earlier requests that arrive late are ignored.
   */
  noteVoterReply(reply: VoterReply): void {
    const last = this.#voterReplies.get(reply.vm);
    if (last !== undefined && last.requestedAtMs > reply.requestedAtMs) return;
    this.#voterReplies.set(reply.vm, reply);
    this.#restoreVoteFromPeers();
  }

  /** Drops all confirmations, for example after the machine was suspended. */
  dropConfirmations(): void {
    this.#voterReplies.clear();
    this.#storeReply = undefined;
  }

  /** Time as of which the known revision is confirmed; else NEVER_MS. */
  confirmedAtMs(nowMs: number): number {
    if (this.#assignment === undefined) return NEVER_MS;
    return Math.max(
      this.#storeConfirmedAtMs(),
      this.#quorumConfirmedAtMs(nowMs),
    );
  }

  /**
   * Lets a restarted voter vote again on the replies of others. If a majority
   * acknowledged a newer revision before this process started, fewer than the
   * required number of voters are outside it, so one of the replies would
   * report that revision. Without this rule every restart during a long outage
   * of the store would cost a voter, and in the end all keyed services would
   * stop.
   */
  #restoreVoteFromPeers(): void {
    const voters = this.#assignment?.keeperSets.at(-1) ?? [];
    const isVoter = voters.some(({ vm }) => vm === this.#self);
    if (this.#mayVote || !isVoter) return;
    const confirming = voters.filter(({ vm }) => {
      const reply = this.#voterReplies.get(vm);
      return reply !== undefined && this.#confirms(reply);
    });
    const required = voters.length - Math.floor(voters.length / 2);
    if (confirming.length >= required) this.#mayVote = true;
  }

  /** Only voters confirm; other VMs are added and removed over time. */
  #dropNonVoters({ keeperSets }: contracts.Assignment): void {
    const voters = new Set(keeperSets.flat().map(({ vm }) => vm));
    for (const vm of this.#voterReplies.keys()) {
      if (!voters.has(vm)) this.#voterReplies.delete(vm);
    }
  }

  #storeConfirmedAtMs(): number {
    if (this.#storeReply?.revision !== this.revision) return NEVER_MS;
    return this.#storeReply.requestedAtMs;
  }

  /**
   * Send time of the oldest request among the most recent quorum of replies: if
   * a quorum had acknowledged a newer revision before that, one of these voters
   * would have reported it.
   */
  #quorumConfirmedAtMs(nowMs: number): number {
    const voters = this.#assignment?.keeperSets.at(-1) ?? [];
    const times: number[] = [];
    for (const { vm } of voters) {
      if (vm === this.#self) {
        if (this.mayVote) times.push(nowMs);
        continue;
      }
      const reply = this.#voterReplies.get(vm);
      if (reply !== undefined && this.#confirms(reply)) {
        times.push(reply.requestedAtMs);
      }
    }
    times.sort((a, b) => b - a);
    return times[quorumSize(voters.length) - 1] ?? NEVER_MS;
  }

  #confirms(reply: VoterReply): boolean {
    return reply.known.settled && reply.known.revision <= this.revision;
  }
}
