/**
 * Which entry VMs are known to know which revision. A mover counts on it that
 * no majority of keepers can confirm an older revision any more.
 */
import type * as contracts from "@guavatide/contracts";
import { majorityOf, NEVER_MS } from "./evidence.ts";

/** What a VM told of the revision that it knows. */
export interface KeeperPromise {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  readonly revision: number;
  /** When the question left that this answers; absent when none was asked. */
  readonly askedAtMs?: number;
  readonly nowMs: number;
}

interface Told {
  readonly incarnation: contracts.Incarnation;
  readonly revision: number;
  /** When this run told this revision first. */
  readonly toldAtMs: number;
  /** The latest question that this run answered. */
  readonly askedAtMs: number;
}

type KeeperSets = readonly (readonly contracts.Keeper[])[];

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
export class PromiseBook {
  readonly #told = new Map<contracts.VmId, Told>();
  #gone: ReadonlySet<contracts.VmId> = new Set();

  /** A VM told that it knows a revision. */
  note(promise: KeeperPromise): void {
    const { vm, incarnation, revision, nowMs } = promise;
    const last = this.#told.get(vm);
    const isSameRun = last?.incarnation === incarnation;
    const askedAtMs = Math.max(
      promise.askedAtMs ?? NEVER_MS,
      isSameRun ? last.askedAtMs : NEVER_MS,
    );
    const isOld = isSameRun && revision <= last.revision;
    const toldAtMs = isOld ? last.toldAtMs : nowMs;
    const highest = isOld ? last.revision : revision;
    this.#told.set(vm, { incarnation, revision: highest, toldAtMs, askedAtMs });
  }

  /**
   * VMs that the platform has dropped from its list for so long that their
   * processes are gone for good: they can confirm nothing any more.
   */
  noteGone(vms: ReadonlySet<contracts.VmId>): void {
    this.#gone = vms;
  }

  /** Forgets VMs that are in none of the sets. */
  keepOnly(keeperSets: KeeperSets): void {
    const keepers = new Set(keeperSets.flat().map(({ vm }) => vm));
    for (const vm of this.#told.keys()) {
      if (!keepers.has(vm)) this.#told.delete(vm);
    }
  }

  /** Whether a majority of every set knows `revision` or a newer one. */
  hasMajority(keeperSets: KeeperSets, revision: number): boolean {
    const moments = [...this.#told.values()].map(({ toldAtMs }) => toldAtMs);
    return moments.some((momentMs) =>
      this.#isMajority(
        keeperSets,
        (vm) => this.isPromisedAt(vm, revision, momentMs),
      )
    );
  }

  /**
   * Whether a majority has told, though not each of it was asked again since:
   * asking now may complete the promise.
   */
  isWorthAsking(keeperSets: KeeperSets, revision: number): boolean {
    return this.#isMajority(keeperSets, (vm) => {
      const told = this.#told.get(vm);
      return told !== undefined && told.revision >= revision;
    });
  }

  /** Whether a VM had promised at a moment and still knew of it later. */
  protected isPromisedAt(
    vm: contracts.VmId,
    revision: number,
    momentMs: number,
  ): boolean {
    const told = this.#told.get(vm);
    return told !== undefined && told.revision >= revision &&
      told.toldAtMs <= momentMs && told.askedAtMs >= momentMs;
  }

  #isMajority(
    keeperSets: KeeperSets,
    counts: (vm: contracts.VmId) => boolean,
  ): boolean {
    return keeperSets.every((set) => {
      const known = set.filter(({ vm }) => this.#gone.has(vm) || counts(vm));
      return known.length >= majorityOf(set.length);
    });
  }
}
