/**
 * Rendezvous hashing: every VM that knows the same members names the same one
 * for a job, without asking, and a member that leaves moves only its own jobs.
 */
import type * as contracts from "@guavatide/contracts";

/** The member for a job; nothing when there is no member. */
export function chooseByRendezvous(
  members: readonly contracts.VmId[],
  job: string,
  options: { readonly hash: (text: string) => number },
): contracts.VmId | undefined {
  let best: contracts.VmId | undefined;
  let bestHash = -1;
  for (const member of members) {
    const hash = options.hash(`${job} ${member}`);
    const isBetter = hash > bestHash ||
      (hash === bestHash && best !== undefined && member < best);
    if (!isBetter) continue;
    best = member;
    bestHash = hash;
  }
  return best;
}
