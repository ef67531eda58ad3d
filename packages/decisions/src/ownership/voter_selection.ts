/** Selects the voters of a service with as few changes as possible. */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "./key_hasher.ts";
import { rendezvousOrder } from "./rendezvous_order.ts";

/** Maximum voters of one service; four of them may fail at once. */
export const MAX_VOTERS = 9;

/** Options of {@link chooseVoters}. */
export interface ChooseVotersOptions {
  readonly service: contracts.ServiceId;
  /** The newest voter set; empty when there is none. */
  readonly current: readonly contracts.VmId[];
  /** Live entry VMs that have read the store. */
  readonly eligible: readonly contracts.VmId[];
  /** Entry VMs that are removed for good. */
  readonly removed: ReadonlySet<contracts.VmId>;
  readonly hasher: KeyHasher;
}

/**
 * The voters to use. An unresponsive voter stays for as long as it may come
 * back, since each change needs a quorum of the set before it.
 */
export function chooseVoters(
  options: ChooseVotersOptions,
): contracts.Voter[] {
  const { service, current, eligible, removed, hasher } = options;
  const kept = current.filter((vm) => !removed.has(vm));
  const others = eligible.filter((vm) =>
    !kept.includes(vm) && !removed.has(vm)
  );
  const added = rendezvousOrder(service, others, { hasher });
  return [...kept, ...added].slice(0, MAX_VOTERS).map((vm) => ({ vm }));
}
