/** Chooses the keepers of a service with as few changes as can be. */
import type * as contracts from "@guavatide/contracts";
import type { KeyHasher } from "./key_hash.ts";
import { rankByName } from "./renewers.ts";

/** Most keepers of one service: four of them may be lost at once. */
export const KEEPER_LIMIT = 9;

/** What the choice is made from. */
export interface ChooseKeepersOptions {
  readonly service: contracts.ServiceId;
  /** The set in force; empty when there is none. */
  readonly present: readonly contracts.VmId[];
  /** Entry VMs that are alive and have read the store. */
  readonly able: readonly contracts.VmId[];
  /** Entry VMs that are gone for good. */
  readonly gone: ReadonlySet<contracts.VmId>;
  readonly hasher: KeyHasher;
}

/**
 * The keepers to have. One that is silent stays for as long as it may come
 * back, since each change costs a majority of the set before it.
 */
export function chooseKeepers(
  options: ChooseKeepersOptions,
): contracts.Keeper[] {
  const { service, present, able, gone, hasher } = options;
  const kept = present.filter((vm) => !gone.has(vm));
  const others = able.filter((vm) => !kept.includes(vm) && !gone.has(vm));
  const added = rankByName(service, others, { hasher });
  return [...kept, ...added].slice(0, KEEPER_LIMIT).map((vm) => ({ vm }));
}
