/**
 * Chooses the voters of a range map: entry VMs whose majority confirms that a
 * revision is current and acknowledges the next one.
 */
import type * as contracts from "@guavatide/contracts";

/** Voters of a map, as long as there are so many VMs. */
const VOTER_COUNT = 7;
/**
 * With so many strong VMs, weak ones do not vote: two voters may be lost, and
 * a weak VM would spend much of its processor on messages.
 */
const MIN_STRONG_VOTERS = 5;
/** Voters that reach servers: one may be lost without a lease lapsing. */
const MIN_GRANTING_VOTERS = 3;
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
  /** VMs that vote only when there are too few others. */
  readonly weak: ReadonlySet<contracts.VmId>;
  /** VMs that reach no backend server and can grant nothing. */
  readonly cutOff: ReadonlySet<contracts.VmId>;
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
  const strong = input.live.filter((vm) =>
    !input.weak.has(vm) && !input.cutOff.has(vm)
  );
  const mayVote = strong.length >= MIN_STRONG_VOTERS
    ? (vm: contracts.VmId) => !input.weak.has(vm)
    : () => true;
  const added = input.live.filter((vm) => !kept.includes(vm) && mayVote(vm));
  const staying = withoutOneWeakVoter(kept, input, strong);
  const voters = [...staying, ...added]
    .slice(0, Math.max(VOTER_COUNT, staying.length));
  return withGrantingVoters(voters, input);
}

/**
 * Drops one weak voter if strong VMs can take its place. One at a time, as each
 * change of voters needs a majority of the old ones.
 */
function withoutOneWeakVoter(
  kept: readonly contracts.VmId[],
  { vm, weak }: VoterSelectionInput,
  strong: readonly contracts.VmId[],
): readonly contracts.VmId[] {
  if (strong.length < MIN_STRONG_VOTERS) return kept;
  // The leader selects the voters; it leaves only as the last weak one.
  const weakVoters = kept.filter((voter) => weak.has(voter));
  const dropped = weakVoters.find((voter) => voter !== vm) ?? weakVoters[0];
  return kept.filter((voter) => voter !== dropped);
}

/** Lets VMs that reach servers replace cut off voters, as many as are needed. */
function withGrantingVoters(
  voters: readonly contracts.VmId[],
  { live, cutOff }: VoterSelectionInput,
): contracts.VmId[] {
  if (cutOff.size === 0) return [...voters];
  const granting = voters.filter((vm) => !cutOff.has(vm)).length;
  const spare = live.filter((vm) => !cutOff.has(vm) && !voters.includes(vm))
    .slice(0, Math.max(0, MIN_GRANTING_VOTERS - granting));
  const idle = voters.filter((vm) => cutOff.has(vm));
  const dropped = new Set(idle.slice(Math.max(0, idle.length - spare.length)));
  return [...voters.filter((vm) => !dropped.has(vm)), ...spare];
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
