/**
 * Load balancing by the power of two choices: the less loaded of two random
 * servers, by the load that they reported in recent answers.
 */
import type * as contracts from "@guavatide/contracts";
import type { Candidate, LoadBalancer } from "./load_balancer.ts";

/**
 * Older reports say nothing about the load of servers with only a few slots.
 */
const REPORT_TTL_MS = 200;

/** The less loaded of two random servers. */
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
 * Estimates a server's load per slot: from its last report if that is fresh,
 * otherwise from this process's own requests in flight.
 */
export function estimateLoad(candidate: Candidate): number {
  const isFresh = candidate.reportedInFlight !== undefined &&
    candidate.reportAgeMs <= REPORT_TTL_MS;
  const inFlight = isFresh
    ? candidate.reportedInFlight!
    : candidate.localInFlight;
  return (inFlight + 1) / (candidate.slots * candidate.weight);
}
