/**
 * The newest assignment that this process knows of one service, with its
 * confirmations and change listeners.
 */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { Logger } from "../utils/log.ts";

/** Options of {@link KnownAssignment}. */
export interface KnownAssignmentOptions {
  readonly vm: contracts.VmId;
  readonly service: contracts.ServiceId;
  readonly settings: ownership.OwnershipSettings;
  readonly clock: contracts.BoundedClock;
  readonly log: Logger;
}

/** The newest known assignment of a service. Its revision never falls. */
export class KnownAssignment {
  readonly service: contracts.ServiceId;
  readonly #tracker: ownership.AssignmentTracker;
  readonly #clock: contracts.BoundedClock;
  readonly #log: Logger;
  readonly #listeners = new Set<() => void>();
  #slices: ownership.SliceMap | undefined;
  #voters: readonly contracts.VmId[] = [];

  constructor(options: KnownAssignmentOptions) {
    this.service = options.service;
    this.#clock = options.clock;
    this.#log = options.log;
    this.#tracker = new ownership.AssignmentTracker(
      options.vm,
      options.service,
      options.settings,
    );
  }

  get assignment(): contracts.Assignment | undefined {
    return this.#tracker.assignment;
  }

  get revision(): number {
    return this.#tracker.revision;
  }

  /** Lease timings to use with the newest known assignment. */
  get timings(): contracts.LeaseTimings {
    return this.#tracker.timings;
  }

  /** Slices of the newest known assignment. */
  get slices(): ownership.SliceMap | undefined {
    return this.#slices;
  }

  /** Whether this process has read the store since it started. */
  get hasReadStore(): boolean {
    return this.#tracker.mayVote;
  }

  /** The newest voter set. */
  get voters(): readonly contracts.VmId[] {
    return this.#voters;
  }

  knownRevision(): contracts.KnownRevision {
    return this.#tracker.knownRevision();
  }

  /** Applies an assignment received from a peer if it is newer. */
  learn(assignment: contracts.Assignment): void {
    const slices = this.#validate(assignment);
    if (slices === undefined) return;
    if (this.#tracker.learn(assignment)) this.#apply(slices, "peer");
  }

  /** Applies what the store held at some moment after `requestedAtMs`. */
  noteStoreRead(assignment: contracts.Assignment, requestedAtMs: number): void {
    const slices = this.#validate(assignment);
    if (slices === undefined) return;
    const isNewer = this.#tracker.noteStoreRead(assignment, requestedAtMs);
    if (isNewer) this.#apply(slices, "store");
  }

  noteStoreAbsent(): void {
    this.#tracker.noteStoreAbsent();
  }

  noteVoterReply(reply: ownership.VoterReply): void {
    this.#tracker.noteVoterReply(reply);
  }

  dropConfirmations(): void {
    this.#tracker.dropConfirmations();
  }

  /**
   * When the request behind the newest confirmation was sent, at the earliest:
   * the machine may have been suspended since.
   */
  confirmedAtMs(nowMs: number): number {
    const confirmedAtMs = this.#tracker.confirmedAtMs(nowMs);
    return nowMs - this.#clock.maxElapsedMs(confirmedAtMs);
  }

  /** Whether lease commands for the known revision may be sent now. */
  isConfirmed(nowMs: number): boolean {
    return nowMs < this.confirmedAtMs(nowMs) + this.timings.evidenceMs;
  }

  /** Calls the listener after each change. Returns a function to unsubscribe. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Rejects an invalid slice map, which would leave keys without an owner. */
  #validate(assignment: contracts.Assignment): ownership.SliceMap | undefined {
    if (assignment.service !== this.service) return undefined;
    if (assignment.revision === this.revision) return this.#slices;
    const slices = ownership.SliceMap.create(assignment.slices);
    if (slices.isOk()) return slices.value;
    this.#log.error(
      "invalid assignment rejected, the previous one stays in force",
      {
        service: this.service,
        revision: assignment.revision,
        reason: slices.error.message,
      },
    );
    return undefined;
  }

  #apply(slices: ownership.SliceMap, source: string): void {
    this.#slices = slices;
    const voterSet = this.assignment?.keeperSets.at(-1) ?? [];
    this.#voters = voterSet.map(({ vm }) => vm);
    this.#log.info("assignment in force", {
      service: this.service,
      revision: this.revision,
      slices: slices.slices.length,
      source,
    });
    for (const listener of this.#listeners) listener();
  }
}
