/** One proof: an invariant, a fault that tries it, and how it is brought on. */
import type { ProofCluster } from "./proof_cluster.ts";
import type { ProofClusterOptions } from "./proof_plan.ts";

/** A scenario of the failure proofs. */
export interface ProofScenario {
  readonly name: string;
  /** Line of the brief under "What must always hold". */
  readonly invariant: string;
  readonly fault: string;
  readonly cluster?: ProofClusterOptions;
  /**
   * Brings the fault about under load. Returns violations besides those that
   * journals and records show; rejects when something awaited never came.
   */
  run(cluster: ProofCluster): Promise<readonly string[]>;
}

/** Invariants by short names, as the table prints them. */
export const INVARIANTS = {
  oneOwner: "one owner of a key at any moment",
  assignmentKept: "an acknowledged assignment survives",
  ownAnswer: "whole answer to one's own request",
  leaving: "a leaving server gets no new work",
  graceful: "a graceful shutdown cuts nothing off",
  configuration: "configuration in force, never reverts",
  served: "keys stay served",
} as const;
