/** The order in which VMs take a duty, the same on all without messages. */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "../ownership/key_hasher.ts";
import { rendezvousOrder } from "../ownership/rendezvous_order.ts";

interface Ranked {
  /** VMs that the order was worked out for. */
  readonly present: string;
  readonly vms: readonly contracts.VmId[];
}

/** Orders of VMs by duty, kept while the VMs stay the same. */
export class VmRanking {
  readonly #hasher: KeyHasher;
  readonly #ranked = new Map<string, Ranked>();

  constructor(hasher: KeyHasher) {
    this.#hasher = hasher;
  }

  /** The VMs in the order in which they take a duty, the same on every VM. */
  rank(
    duty: string,
    vms: readonly contracts.VmId[],
  ): readonly contracts.VmId[] {
    const present = vms.join();
    const found = this.#ranked.get(duty);
    if (found?.present === present) return found.vms;
    const ranked = rendezvousOrder(duty, vms, { hasher: this.#hasher });
    this.#ranked.set(duty, { present, vms: ranked });
    return ranked;
  }

  /** Forgets the duties that are no longer there. */
  keepOnly(duties: ReadonlySet<string>): void {
    for (const duty of this.#ranked.keys()) {
      if (!duties.has(duty)) this.#ranked.delete(duty);
    }
  }
}
