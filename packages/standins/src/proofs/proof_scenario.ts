/** One failure proof: an invariant and the fault that is injected to test it. */
import type { ProofCluster } from "./proof_cluster.ts";
import type { ProofClusterOptions } from "./proof_plan.ts";

/** A scenario of the failure proofs. */
export interface ProofScenario {
  readonly name: string;
  /** One of {@link INVARIANTS}. */
  readonly invariant: string;
  readonly fault: string;
  readonly cluster?: ProofClusterOptions;
  /**
   * Injects the fault under load. Returns violations that the journals and
   * records don't show. Errors: rejects when an awaited condition isn't met
   * before its deadline.
   */
  run(cluster: ProofCluster): Promise<readonly string[]>;
}

/** Invariants by short name; the table prints the texts. */
export const INVARIANTS = {
  oneOwner: "one owner of a key at any moment",
  assignmentKept: "an acknowledged assignment survives",
  ownAnswer: "whole answer to one's own request",
  leaving: "a leaving server gets no new work",
  graceful: "a graceful shutdown cuts nothing off",
  configuration: "configuration in force, never reverts",
  served: "keys stay served",
} as const;
