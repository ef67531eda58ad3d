/** Chooses the entry VMs that renew a server, without a word between them. */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "./key_hasher.ts";

/** Options of {@link rendezvousOrder}. */
export interface RendezvousOrderOptions {
  readonly hasher: KeyHasher;
}

/**
 * VMs in rendezvous order for a name: each VM computes the same order, and
 * the loss of one moves only what that one did.
 */
export function rendezvousOrder(
  name: string,
  vms: readonly contracts.VmId[],
  options: RendezvousOrderOptions,
): contracts.VmId[] {
  const weights = new Map<contracts.VmId, number>();
  for (const vm of vms) {
    weights.set(vm, options.hasher.hash(`${vm}|${name}`));
  }
  return [...weights.keys()].sort((a, b) =>
    weights.get(b)! - weights.get(a)! || (a < b ? -1 : 1)
  );
}
