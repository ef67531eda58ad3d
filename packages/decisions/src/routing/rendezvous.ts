/**
 * Rendezvous hashing: all VMs that know the same members choose the same one
 * for a job without coordination, and a leaving member moves only its own jobs.
 */
import type * as contracts from "@guavatide/contracts";

/** Returns the member for a job; undefined without members. */
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
