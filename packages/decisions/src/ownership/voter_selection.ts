/** Chooses the keepers of a service with as few changes as can be. */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "./key_hasher.ts";
import { rendezvousOrder } from "./rendezvous_order.ts";

/** Most keepers of one service: four of them may be lost at once. */
export const MAX_VOTERS = 9;

/** What the choice is made from. */
export interface ChooseVotersOptions {
  readonly service: contracts.ServiceId;
  /** The set in force; empty when there is none. */
  readonly current: readonly contracts.VmId[];
  /** Entry VMs that are alive and have read the store. */
  readonly eligible: readonly contracts.VmId[];
  /** Entry VMs that are gone for good. */
  readonly removed: ReadonlySet<contracts.VmId>;
  readonly hasher: KeyHasher;
}

/**
 * The keepers to have. One that is silent stays for as long as it may come
 * back, since each change costs a majority of the set before it.
 */
export function chooseVoters(
  options: ChooseVotersOptions,
): contracts.Voter[] {
  const { service, current: present, eligible: able, removed: gone, hasher } =
    options;
  const kept = present.filter((vm) => !gone.has(vm));
  const others = able.filter((vm) => !kept.includes(vm) && !gone.has(vm));
  const added = rendezvousOrder(service, others, { hasher });
  return [...kept, ...added].slice(0, MAX_VOTERS).map((vm) => ({ vm }));
}
