/** Which entry VMs are to be the keepers of a range map, and which are gone. */
import type * as contracts from "@guavatide/contracts";

/** Entry VMs that answer for a map: a majority of them is asked. */
const KEEPER_COUNT = 7;
/** A keeper silent for this long is replaced by another VM. */
const KEEPER_REPLACE_AFTER_MS = 3_000;
/**
 * A keeper silent for this long counts as gone for good: a map that lost the
 * majority of its keepers could not change otherwise.
 */
const KEEPER_GONE_AFTER_MS = 10_000;

/** What a VM knows of the keepers. */
export interface VoterSelectionInput {
  readonly vm: contracts.VmId;
  readonly map: contracts.RangeMap | undefined;
  /** VMs that are up, in the order in which they become keepers. */
  readonly live: readonly contracts.VmId[];
  /** Time since a VM's last message; infinite for one never heard. */
  readonly sinceLastMessageMs: (vm: contracts.VmId) => number;
  /** How long the process has run. */
  readonly uptimeMs: number;
}

/** Keepers to have: those that serve now stay, silent ones are replaced. */
export function selectVoters(input: VoterSelectionInput): contracts.VmId[] {
  const present = input.map?.keeperSets.at(-1) ?? [];
  const kept = present.filter((keeper) =>
    silenceMs(input, keeper) < KEEPER_REPLACE_AFTER_MS
  );
  const added = input.live.filter((vm) => !kept.includes(vm));
  return [...kept, ...added].slice(0, Math.max(KEEPER_COUNT, kept.length));
}

/** Keepers that are gone for good. */
export function removedVoters(input: VoterSelectionInput): Set<contracts.VmId> {
  const keepers = input.map?.keeperSets.flat() ?? [];
  return new Set(
    keepers.filter((keeper) => silenceMs(input, keeper) > KEEPER_GONE_AFTER_MS),
  );
}

/**
 * Silence that this process has witnessed itself: just after its start, live
 * keepers that it has not heard yet would count as gone.
 */
function silenceMs(
  { vm, sinceLastMessageMs: silentMs, uptimeMs: lifeMs }: VoterSelectionInput,
  keeper: contracts.VmId,
): number {
  return keeper === vm ? 0 : Math.min(silentMs(keeper), lifeMs);
}
