/**
 * What one process knows of one service's assignment, and until when it may
 * act on it. Evidence for a revision is a store read that returned it, or a
 * majority of its keepers that knew of none newer; either counts from before
 * the question left, because the answer may have been on its way for long.
 */
import type * as contracts from "@guavatide/contracts";
import { activeTimings } from "./settings.ts";

/** A peer's answer to the question what it knows of the service. */
export interface VoterReply {
  readonly vm: contracts.VmId;
  readonly known: contracts.KnownRevision;
  /** When the question was sent, on the asker's clock. */
  readonly requestedAtMs: number;
}

interface StoreReply {
  readonly revision: number;
  readonly askedAtMs: number;
}

/** No evidence at all. */
export const NEVER_MS = Number.NEGATIVE_INFINITY;

/** Number of members that form a majority of a set. */
export function quorumSize(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/** Evidence of one process for one service. */
export class AssignmentTracker {
  readonly #self: contracts.VmId;
  readonly #service: contracts.ServiceId;
  readonly #settings: contracts.LeaseTimings;
  readonly #answers = new Map<contracts.VmId, VoterReply>();
  #assignment: contracts.Assignment | undefined;
  #store: StoreReply | undefined;
  #isSettled = false;

  constructor(
    self: contracts.VmId,
    service: contracts.ServiceId,
    settings: contracts.LeaseTimings,
  ) {
    this.#self = self;
    this.#service = service;
    this.#settings = settings;
  }

  /** Highest assignment known; never replaced by a lower revision. */
  get assignment(): contracts.Assignment | undefined {
    return this.#assignment;
  }

  /** Timings to act on at the highest assignment known. */
  get timings(): contracts.LeaseTimings {
    return activeTimings(this.#assignment, this.#settings);
  }

  /** Revision of the highest assignment known; 0 when there is none. */
  get revision(): number {
    return this.#assignment?.revision ?? 0;
  }

  /**
   * Whether this process may give evidence to others. A restarted keeper has
   * forgotten what it promised; without this rule it would tell an asker that
   * an old revision is current while a mover counts on its promise. Every
   * promise follows an acknowledged write, so one read of the store after
   * the start returns at least what was promised. While the store is away,
   * the other keepers' answers serve as well, see {@link #settleByPeers}.
   */
  get mayVote(): boolean {
    return this.#isSettled;
  }

  /** What this process tells peers. */
  knownRevision(): contracts.KnownRevision {
    return {
      service: this.#service,
      revision: this.revision,
      settled: this.mayVote,
    };
  }

  /** Takes in an assignment from any source. Returns whether it is newer. */
  learn(assignment: contracts.Assignment): boolean {
    if (assignment.revision <= this.revision) return false;
    this.#assignment = assignment;
    this.#forgetOthers(assignment);
    this.#settleByPeers();
    return true;
  }

  /** A read of the store, or an acknowledged write, sent at `askedAtMs`. */
  noteStoreRead(assignment: contracts.Assignment, askedAtMs: number): boolean {
    this.#isSettled = true;
    const isNewer = this.learn(assignment);
    const isLater = askedAtMs > (this.#store?.askedAtMs ?? NEVER_MS);
    if (isLater || assignment.revision > (this.#store?.revision ?? 0)) {
      this.#store = { revision: assignment.revision, askedAtMs };
    }
    return isNewer;
  }

  /** The store answered that there is no assignment yet. */
  noteStoreAbsent(): void {
    this.#isSettled = true;
  }

  /** A peer answered what it knows. Late and crossed answers change nothing. */
  noteVoterReply(answer: VoterReply): void {
    const last = this.#answers.get(answer.vm);
    if (last !== undefined && last.requestedAtMs > answer.requestedAtMs) return;
    this.#answers.set(answer.vm, answer);
    this.#settleByPeers();
  }

  /** Forgets all evidence, for example when the machine was suspended. */
  dropConfirmations(): void {
    this.#answers.clear();
    this.#store = undefined;
  }

  /** Time as of which the known revision has evidence; else NEVER_MS. */
  confirmedAtMs(nowMs: number): number {
    if (this.#assignment === undefined) return NEVER_MS;
    return Math.max(this.#storeAskedAtMs(), this.#roundAskedAtMs(nowMs));
  }

  /** Whether orders for the known revision may leave now. */
  isConfirmed(nowMs: number): boolean {
    return nowMs < this.confirmedAtMs(nowMs) + this.timings.evidenceMs;
  }

  /**
   * A majority that had promised a newer revision before this process started
   * leaves fewer keepers than these outside, so one of them would have told
   * of it. Without this rule every restart during a long outage of the store
   * would take a keeper away, and in the end all keyed services would stop.
   */
  #settleByPeers(): void {
    const keepers = this.#assignment?.keeperSets.at(-1) ?? [];
    const isKeeper = keepers.some(({ vm }) => vm === this.#self);
    if (this.#isSettled || !isKeeper) return;
    const confirming = keepers.filter(({ vm }) => {
      const answer = this.#answers.get(vm);
      return answer !== undefined && this.#confirms(answer);
    });
    const needed = keepers.length - Math.floor(keepers.length / 2);
    if (confirming.length >= needed) this.#isSettled = true;
  }

  /** Only keepers give evidence; a fleet's VMs come and go. */
  #forgetOthers({ keeperSets }: contracts.Assignment): void {
    const keepers = new Set(keeperSets.flat().map(({ vm }) => vm));
    for (const vm of this.#answers.keys()) {
      if (!keepers.has(vm)) this.#answers.delete(vm);
    }
  }

  #storeAskedAtMs(): number {
    if (this.#store?.revision !== this.revision) return NEVER_MS;
    return this.#store.askedAtMs;
  }

  /**
   * The oldest question among the freshest majority: had a mover's majority
   * known a newer revision before that question was sent, one of these
   * keepers would have told of it.
   */
  #roundAskedAtMs(nowMs: number): number {
    const keepers = this.#assignment?.keeperSets.at(-1) ?? [];
    const times: number[] = [];
    for (const { vm } of keepers) {
      if (vm === this.#self) {
        if (this.mayVote) times.push(nowMs);
        continue;
      }
      const answer = this.#answers.get(vm);
      if (answer !== undefined && this.#confirms(answer)) {
        times.push(answer.requestedAtMs);
      }
    }
    times.sort((a, b) => b - a);
    return times[quorumSize(keepers.length) - 1] ?? NEVER_MS;
  }

  #confirms(answer: VoterReply): boolean {
    return answer.known.settled && answer.known.revision <= this.revision;
  }
}
