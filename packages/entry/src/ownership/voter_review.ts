/** Chooses the voters of one service and detects those removed for good. */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServiceContext } from "./service_context.ts";

/** Result of a review. */
export interface VoterReviewResult {
  /** Desired voter set. Empty while no VM is eligible. */
  readonly voters: contracts.Voter[];
  /** Voters unlisted by the platform and not alive for `vmGoneGraceMs`. */
  readonly removed: ReadonlySet<contracts.VmId>;
}

/** Reviews the voters of one service. */
export class VoterReview {
  readonly #context: ServiceContext;
  readonly #storeReaders = new Set<contracts.VmId>();
  readonly #unlistedSinceMs = new Map<contracts.VmId, number>();

  constructor(context: ServiceContext) {
    this.#context = context;
  }

  /** Records whether a VM has read the store, without which it can't vote. */
  noteHasReadStore(vm: contracts.VmId, hasReadStore: boolean): void {
    if (hasReadStore) this.#storeReaders.add(vm);
    else this.#storeReaders.delete(vm);
  }

  review(nowMs: number): VoterReviewResult {
    const { known, service, hasher, peers } = this.#context;
    const removed = this.#removedVms(nowMs);
    const eligible = peers.live().filter((vm) => this.#storeReaders.has(vm));
    const current = known.voters;
    const voters = ownership.chooseVoters({
      service,
      current,
      eligible,
      removed,
      hasher,
    });
    return { voters, removed };
  }

  #removedVms(nowMs: number): Set<contracts.VmId> {
    const { peers, timings, known } = this.#context;
    const listed = peers.listed();
    const removed = new Set<contracts.VmId>();
    if (listed === undefined) return removed;
    const live = new Set(peers.live());
    const voterSets = known.assignment?.keeperSets ?? [];
    for (const { vm } of voterSets.flat()) {
      if (listed.has(vm) || live.has(vm)) {
        this.#unlistedSinceMs.delete(vm);
        continue;
      }
      const sinceMs = this.#unlistedSinceMs.get(vm) ?? nowMs;
      this.#unlistedSinceMs.set(vm, sinceMs);
      if (nowMs - sinceMs >= timings.vmGoneGraceMs) removed.add(vm);
    }
    return removed;
  }
}
