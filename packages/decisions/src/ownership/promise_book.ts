/**
 * Which entry VMs are known to know which revision. A mover counts on it that
 * no majority of keepers can confirm an older revision any more.
 */
import type * as contracts from "@guavatide/contracts";
import { majorityOf } from "./evidence.ts";

/** Promises that one mover has seen for one service. */
export class PromiseBook {
  readonly #revisions = new Map<contracts.VmId, number>();
  #gone: ReadonlySet<contracts.VmId> = new Set();

  /** A VM told that it knows a revision. */
  note(vm: contracts.VmId, revision: number): void {
    const known = this.#revisions.get(vm) ?? 0;
    if (revision > known) this.#revisions.set(vm, revision);
  }

  /**
   * VMs that the platform has dropped from its list for so long that their
   * processes are gone for good: they can confirm nothing any more.
   */
  noteGone(vms: ReadonlySet<contracts.VmId>): void {
    this.#gone = vms;
  }

  /** Whether a majority of every set knows `revision` or a newer one. */
  hasMajority(
    keeperSets: readonly (readonly contracts.Keeper[])[],
    revision: number,
  ): boolean {
    return keeperSets.every((set) => {
      const count = set.filter(({ vm }) => this.#counts(vm, revision)).length;
      return count >= majorityOf(set.length);
    });
  }

  #counts(vm: contracts.VmId, revision: number): boolean {
    return this.#gone.has(vm) || (this.#revisions.get(vm) ?? 0) >= revision;
  }
}
