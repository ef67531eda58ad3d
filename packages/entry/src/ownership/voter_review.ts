/** Which entry VMs should keep one service, and which are gone for good. */
import type * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServiceContext } from "./service_context.ts";

/** What a review came to. */
export interface VoterReviewResult {
  /** The set to have; empty while no VM is able to keep. */
  readonly voters: contracts.Voter[];
  /** Keepers off the platform's list and silent for the whole grace time. */
  readonly removed: ReadonlySet<contracts.VmId>;
}

/** Reviews the keepers of one service. */
export class VoterReview {
  readonly #context: ServiceContext;
  readonly #settled = new Set<contracts.VmId>();
  readonly #missingSinceMs = new Map<contracts.VmId, number>();

  constructor(context: ServiceContext) {
    this.#context = context;
  }

  /** A VM told whether it may give evidence. */
  noteHasReadStore(vm: contracts.VmId, isSettled: boolean): void {
    if (isSettled) this.#settled.add(vm);
    else this.#settled.delete(vm);
  }

  review(nowMs: number): VoterReviewResult {
    const { known, service, hasher, peers } = this.#context;
    const gone = this.#goneVms(nowMs);
    const able = peers.live().filter((vm) => this.#settled.has(vm));
    const present = known.voters;
    const keepers = ownership.chooseVoters({
      service,
      current: present,
      eligible: able,
      removed: gone,
      hasher,
    });
    return { voters: keepers, removed: gone };
  }

  #goneVms(nowMs: number): Set<contracts.VmId> {
    const { peers, timings, known } = this.#context;
    const listed = peers.listed();
    const gone = new Set<contracts.VmId>();
    if (listed === undefined) return gone;
    const live = new Set(peers.live());
    const sets = known.assignment?.keeperSets ?? [];
    for (const { vm } of sets.flat()) {
      if (listed.has(vm) || live.has(vm)) {
        this.#missingSinceMs.delete(vm);
        continue;
      }
      const sinceMs = this.#missingSinceMs.get(vm) ?? nowMs;
      this.#missingSinceMs.set(vm, sinceMs);
      if (nowMs - sinceMs >= timings.vmGoneGraceMs) gone.add(vm);
    }
    return gone;
  }
}
