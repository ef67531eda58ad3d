/** Takes the server with the fewest own requests in flight. A baseline. */
import type * as contracts from "@guavatide/contracts";
import type { Candidate, LoadBalancer } from "./load_balancer.ts";

/** Least outstanding by this process's own count; ties fall by chance. */
export class LeastOutstandingBalancer implements LoadBalancer {
  choose(
    candidates: readonly Candidate[],
    random: contracts.RandomSource,
  ): Candidate | undefined {
    let best: Candidate | undefined;
    let bestLoad = Infinity;
    let ties = 0;
    for (const candidate of candidates) {
      const load = (candidate.localInFlight + 1) / candidate.weight;
      if (load < bestLoad) {
        best = candidate;
        bestLoad = load;
        ties = 1;
      } else if (load === bestLoad) {
        ties++;
        if (random.next() * ties < 1) best = candidate;
      }
    }
    return best;
  }
}
