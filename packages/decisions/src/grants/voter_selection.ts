/**
 * Chooses the voters of a range map: entry VMs whose majority confirms that a
 * revision is current and acknowledges the next one.
 */
import type * as contracts from "@guavatide/contracts";

/** Voters of a map, as long as there are so many VMs. */
const VOTER_COUNT = 7;
/** A voter that sent no message for this long is replaced by another VM. */
const VOTER_REPLACE_AFTER_MS = 3_000;
/**
 * A voter that sent no message for this long counts as removed for good: a map
 * that lost the majority of its voters could not change otherwise.
 */
const VOTER_REMOVE_AFTER_MS = 10_000;

/** What a VM knows of the voters and of its peers. */
export interface VoterSelectionInput {
  readonly vm: contracts.VmId;
  readonly map: contracts.RangeMap | undefined;
  /** VMs that are up, in the order in which they become voters. */
  readonly live: readonly contracts.VmId[];
  /** Time since a VM's last message; infinite when there was none. */
  readonly sinceLastMessageMs: (vm: contracts.VmId) => number;
  /** Uptime of this process. */
  readonly uptimeMs: number;
}

/** Voters of the next map: responsive ones stay, the others are replaced. */
export function selectVoters(input: VoterSelectionInput): contracts.VmId[] {
  const current = input.map?.keeperSets.at(-1) ?? [];
  const kept = current.filter((voter) =>
    unresponsiveMs(input, voter) < VOTER_REPLACE_AFTER_MS
  );
  const added = input.live.filter((vm) => !kept.includes(vm));
  return [...kept, ...added].slice(0, Math.max(VOTER_COUNT, kept.length));
}

/** Voters that count as removed for good. */
export function removedVoters(input: VoterSelectionInput): Set<contracts.VmId> {
  const voters = input.map?.keeperSets.flat() ?? [];
  return new Set(
    voters.filter((voter) =>
      unresponsiveMs(input, voter) > VOTER_REMOVE_AFTER_MS
    ),
  );
}

/**
 * Time without a message, at most the uptime of this process. Without the
 * limit, a process that has just started would remove live voters.
 */
function unresponsiveMs(
  { vm, sinceLastMessageMs, uptimeMs }: VoterSelectionInput,
  voter: contracts.VmId,
): number {
  return voter === vm ? 0 : Math.min(sinceLastMessageMs(voter), uptimeMs);
}
