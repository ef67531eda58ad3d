/** Ranks entry VMs for a role, with the same result on every VM. */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "../ownership/key_hasher.ts";
import { rendezvousOrder } from "../ownership/rendezvous_order.ts";

interface CachedRanking {
  /** Ids of the VMs that were ranked, joined. */
  readonly vmIds: string;
  readonly vms: readonly contracts.VmId[];
}

/**
 * Rendezvous ranking of VMs for each role, cached while the VMs are the same.
 */
export class VmRanking {
  readonly #hasher: KeyHasher;
  readonly #rankings = new Map<string, CachedRanking>();

  constructor(hasher: KeyHasher) {
    this.#hasher = hasher;
  }

  /**
   * VMs in the order in which they take over a role; the first is the leader.
   */
  rank(
    role: string,
    vms: readonly contracts.VmId[],
  ): readonly contracts.VmId[] {
    const vmIds = vms.join();
    const cached = this.#rankings.get(role);
    if (cached?.vmIds === vmIds) return cached.vms;
    const ranked = rendezvousOrder(role, vms, { hasher: this.#hasher });
    this.#rankings.set(role, { vmIds, vms: ranked });
    return ranked;
  }

  /** Drops the cached rankings of roles that no longer exist. */
  keepOnly(roles: ReadonlySet<string>): void {
    for (const role of this.#rankings.keys()) {
      if (!roles.has(role)) this.#rankings.delete(role);
    }
  }
}
