/** Takes servers in turn, whatever their load. A baseline. */
import type * as contracts from "@guavatide/contracts";
import type { Candidate, LoadBalancer } from "./load_balancer.ts";

/** Round robin over server ids in their order. */
export class RoundRobinBalancer implements LoadBalancer {
  #last: contracts.ServerId | undefined;

  choose(candidates: readonly Candidate[]): Candidate | undefined {
    const sorted = [...candidates].sort(byServer);
    const last = this.#last;
    const next = last === undefined
      ? sorted[0]
      : sorted.find((candidate) => candidate.server > last) ?? sorted[0];
    this.#last = next?.server;
    return next;
  }
}

function byServer(a: Candidate, b: Candidate): number {
  return a.server < b.server ? -1 : 1;
}
