/**
 * Takes the better of two servers drawn by chance, by the load that the
 * servers themselves reported in recent answers.
 */
import type * as contracts from "@guavatide/contracts";
import type { Candidate, LoadBalancer } from "./load_balancer.ts";

/** Reports older than this say nothing about servers of a few slots. */
const REPORT_TTL_MS = 200;

/** The better of two by fresh reports. */
export class PowerOfTwoBalancer implements LoadBalancer {
  choose(
    candidates: readonly Candidate[],
    random: contracts.RandomSource,
  ): Candidate | undefined {
    if (candidates.length < 2) return candidates[0];
    const first = Math.floor(random.next() * candidates.length);
    const offset = 1 + Math.floor(random.next() * (candidates.length - 1));
    const a = candidates[first]!;
    const b = candidates[(first + offset) % candidates.length]!;
    return estimateLoad(a) <= estimateLoad(b) ? a : b;
  }
}

/**
 * Load of a server for each of its slots, from its last report when that is
 * fresh, else from this process's own requests.
 */
export function estimateLoad(candidate: Candidate): number {
  const isFresh = candidate.reportedInFlight !== undefined &&
    candidate.reportAgeMs <= REPORT_TTL_MS;
  const inFlight = isFresh
    ? candidate.reportedInFlight!
    : candidate.localInFlight;
  return (inFlight + 1) / (candidate.slots * candidate.weight);
}
