/**
 * What keepers have told: evidence that no newer map is in force, for renewals,
 * and the promise of a majority that it knows the newer map, for moves.
 */
import type * as contracts from "@guavatide/contracts";

/** What one keeper said of one service's map, in answer to a question. */
export interface VoterReport {
  readonly vm: contracts.VmId;
  /** Highest revision that it knows; 0 for none. */
  readonly revision: number;
  /** Whether it has read the map from the store in this run of its process. */
  readonly hasReadMap: boolean;
  /** When the question left that this answers, on this VM's clock. */
  readonly requestedAtMs: number;
  readonly receivedAtMs: number;
  /** When its run began, on this VM's clock, at the latest. */
  readonly startedAtMs: number;
  /**
   * End of its last grant call to a server, on this VM's clock at the latest;
   * the word's own time while one is under way.
   */
  readonly lastGrantMs: ReadonlyMap<contracts.ServerId, number>;
  /** The same for grants that were not answered. */
  readonly lastUnansweredMs: ReadonlyMap<contracts.ServerId, number>;
}

/** Words of all keepers of one service's map. */
export class VoterReports {
  readonly #words = new Map<contracts.VmId, VoterReport>();
  #readRevision = 0;
  #readAskedAtMs = Number.NEGATIVE_INFINITY;

  /** A keeper's word; the own VM's word is noted like the others'. */
  noteReport(word: VoterReport): void {
    this.#words.set(word.vm, word);
  }

  /** The store answered a read that left at `askedAtMs` with a revision. */
  noteRead(revision: number, askedAtMs: number): void {
    if (revision < this.#readRevision) return;
    this.#readRevision = revision;
    this.#readAskedAtMs = askedAtMs;
  }

  /** The latest word of a keeper. */
  reportOf(vm: contracts.VmId): VoterReport | undefined {
    return this.#words.get(vm);
  }

  /** Forgets all evidence, as after the process stood still. */
  clearConfirmations(): void {
    this.#words.clear();
    this.#readAskedAtMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * The latest moment at which the map is known to have been in force: a read
   * of the store, or the word of a majority of its keepers that they know none
   * newer. A restarted keeper may have forgotten one, so it counts after its
   * first read.
   */
  confirmedAtMs(map: contracts.RangeMap): number {
    const readMs = this.#readRevision === map.revision
      ? this.#readAskedAtMs
      : Number.NEGATIVE_INFINITY;
    const keepers = map.keeperSets.at(-1)!;
    const asked: number[] = [];
    for (const vm of keepers) {
      const word = this.#words.get(vm);
      if (word === undefined || !word.hasReadMap) continue;
      if (word.revision <= map.revision) asked.push(word.requestedAtMs);
    }
    asked.sort((a, b) => b - a);
    const majority = Math.floor(keepers.length / 2) + 1;
    const wordMs = asked[majority - 1] ?? Number.NEGATIVE_INFINITY;
    return Math.max(readMs, wordMs);
  }

  /**
   * Whether a majority of every keeper set knows the revision. Keepers gone for
   * good count as knowing it, or a map that lost its majority could never
   * change.
   */
  isAcknowledged(
    map: contracts.RangeMap,
    revision: number,
    gone: ReadonlySet<contracts.VmId>,
  ): boolean {
    return map.keeperSets.every((keepers) => {
      const known = keepers.filter((vm) =>
        gone.has(vm) || (this.#words.get(vm)?.revision ?? 0) >= revision
      );
      return known.length > keepers.length / 2;
    });
  }
}
