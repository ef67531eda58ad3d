/**
 * The highest assignment that this process knows of one service, its
 * evidence, and those who want to hear of changes.
 */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { Logger } from "../utils/log.ts";

/** Options of {@link KnownAssignment}. */
export interface KnownAssignmentOptions {
  readonly vm: contracts.VmId;
  readonly service: contracts.ServiceId;
  readonly settings: ownership.OwnershipSettings;
  readonly log: Logger;
}

/** One service's assignment as known here; its revision never falls. */
export class KnownAssignment {
  readonly service: contracts.ServiceId;
  readonly #book: ownership.AssignmentTracker;
  readonly #log: Logger;
  readonly #listeners = new Set<() => void>();
  #slices: ownership.SliceMap | undefined;
  #keepers: readonly contracts.VmId[] = [];

  constructor(options: KnownAssignmentOptions) {
    this.service = options.service;
    this.#log = options.log;
    this.#book = new ownership.AssignmentTracker(
      options.vm,
      options.service,
      options.settings,
    );
  }

  get assignment(): contracts.Assignment | undefined {
    return this.#book.assignment;
  }

  get revision(): number {
    return this.#book.revision;
  }

  /** Timings to act on at the highest assignment known. */
  get timings(): contracts.LeaseTimings {
    return this.#book.timings;
  }

  /** Slices of the highest assignment known. */
  get slices(): ownership.SliceMap | undefined {
    return this.#slices;
  }

  /** Whether this process has read the store since its start. */
  get hasReadStore(): boolean {
    return this.#book.mayVote;
  }

  /** The keepers in force. */
  get voters(): readonly contracts.VmId[] {
    return this.#keepers;
  }

  knownRevision(): contracts.KnownRevision {
    return this.#book.knownRevision();
  }

  /** Takes in an assignment that a peer told. */
  learn(assignment: contracts.Assignment): void {
    const slices = this.#check(assignment);
    if (slices === undefined) return;
    if (this.#book.learn(assignment)) this.#changed(slices, "peer");
  }

  /** Takes in what the store held at some moment after `askedAtMs`. */
  noteStoreRead(assignment: contracts.Assignment, askedAtMs: number): void {
    const slices = this.#check(assignment);
    if (slices === undefined) return;
    const isNewer = this.#book.noteStoreRead(assignment, askedAtMs);
    if (isNewer) this.#changed(slices, "store");
  }

  noteStoreAbsent(): void {
    this.#book.noteStoreAbsent();
  }

  noteVoterReply(answer: ownership.VoterReply): void {
    this.#book.noteVoterReply(answer);
  }

  dropConfirmations(): void {
    this.#book.dropConfirmations();
  }

  confirmedAtMs(nowMs: number): number {
    return this.#book.confirmedAtMs(nowMs);
  }

  isConfirmed(nowMs: number): boolean {
    return this.#book.isConfirmed(nowMs);
  }

  /** Calls back after each change; returns what ends that. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** A broken map in force would leave keys without an owner. */
  #check(assignment: contracts.Assignment): ownership.SliceMap | undefined {
    if (assignment.service !== this.service) return undefined;
    if (assignment.revision === this.revision) return this.#slices;
    const slices = ownership.SliceMap.create(assignment.slices);
    if (slices.isOk()) return slices.value;
    this.#log.error("assignment refused, the last one stays in force", {
      service: this.service,
      revision: assignment.revision,
      reason: slices.error.message,
    });
    return undefined;
  }

  #changed(slices: ownership.SliceMap, source: string): void {
    this.#slices = slices;
    const set = this.assignment?.keeperSets.at(-1) ?? [];
    this.#keepers = set.map(({ vm }) => vm);
    this.#log.info("assignment in force", {
      service: this.service,
      revision: this.revision,
      slices: slices.slices.length,
      source,
    });
    for (const listener of this.#listeners) listener();
  }
}
