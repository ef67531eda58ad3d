/**
 * Which entry VMs are known to know which revision. A mover counts on it that
 * no majority of keepers can confirm an older revision any more.
 */
import type * as contracts from "@guavatide/contracts";
import { NEVER_MS, quorumSize } from "./assignment_tracker.ts";

/** What a VM told of the revision that it knows. */
export interface RevisionAck {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  readonly revision: number;
  /** When the question left that this answers; absent when none was asked. */
  readonly requestedAtMs?: number;
  readonly nowMs: number;
}

interface AckState {
  readonly incarnation: contracts.Incarnation;
  readonly revision: number;
  /** When this run told this revision first. */
  readonly firstAckAtMs: number;
  /** The latest question that this run answered. */
  readonly askedAtMs: number;
}

type VoterSets = readonly (readonly contracts.Voter[])[];

/**
 * Promises that one mover has seen for one service.
 *
 * A run that ends forgets its promise, and the next run of the keeper may
 * learn what is current from peers, some of which have yet to promise. So a
 * promise counts only with others of its time: there must be a moment at
 * which a majority had promised, and each of these must have answered a
 * question that was sent after it, in the same run. A run that starts later
 * than that then hears of the revision from the others.
 */
export class RevisionAckTracker {
  readonly #told = new Map<contracts.VmId, AckState>();
  #gone: ReadonlySet<contracts.VmId> = new Set();

  /** A VM told that it knows a revision. */
  noteAck(promise: RevisionAck): void {
    const { vm, incarnation, revision, nowMs } = promise;
    const last = this.#told.get(vm);
    const isSameRun = last?.incarnation === incarnation;
    const askedAtMs = Math.max(
      promise.requestedAtMs ?? NEVER_MS,
      isSameRun ? last.askedAtMs : NEVER_MS,
    );
    const isOld = isSameRun && revision <= last.revision;
    const toldAtMs = isOld ? last.firstAckAtMs : nowMs;
    const highest = isOld ? last.revision : revision;
    this.#told.set(vm, {
      incarnation,
      revision: highest,
      firstAckAtMs: toldAtMs,
      askedAtMs,
    });
  }

  /**
   * VMs that the platform has dropped from its list for so long that their
   * processes are gone for good: they can confirm nothing any more.
   */
  noteRemovedVms(vms: ReadonlySet<contracts.VmId>): void {
    this.#gone = vms;
  }

  /** Forgets VMs that are in none of the sets. */
  keepOnly(keeperSets: VoterSets): void {
    const keepers = new Set(keeperSets.flat().map(({ vm }) => vm));
    for (const vm of this.#told.keys()) {
      if (!keepers.has(vm)) this.#told.delete(vm);
    }
  }

  /** Whether a majority of every set knows `revision` or a newer one. */
  hasQuorum(keeperSets: VoterSets, revision: number): boolean {
    const moments = [...this.#told.values()].map(({ firstAckAtMs: toldAtMs }) =>
      toldAtMs
    );
    return moments.some((momentMs) =>
      this.#isMajority(
        keeperSets,
        (vm) => this.isAckedAt(vm, revision, momentMs),
      )
    );
  }

  /**
   * Whether a majority has told, though not each of it was asked again since:
   * asking now may complete the promise.
   */
  mayReachQuorum(keeperSets: VoterSets, revision: number): boolean {
    return this.#isMajority(keeperSets, (vm) => {
      const told = this.#told.get(vm);
      return told !== undefined && told.revision >= revision;
    });
  }

  /** Whether a VM had promised at a moment and still knew of it later. */
  protected isAckedAt(
    vm: contracts.VmId,
    revision: number,
    momentMs: number,
  ): boolean {
    const told = this.#told.get(vm);
    return told !== undefined && told.revision >= revision &&
      told.firstAckAtMs <= momentMs && told.askedAtMs >= momentMs;
  }

  #isMajority(
    keeperSets: VoterSets,
    counts: (vm: contracts.VmId) => boolean,
  ): boolean {
    return keeperSets.every((set) => {
      const known = set.filter(({ vm }) => this.#gone.has(vm) || counts(vm));
      return known.length >= quorumSize(set.length);
    });
  }
}
