/** The names by which a service object selects how requests are spread. */
import { LeastOutstandingChoice } from "./least_outstanding_choice.ts";
import { PowerOfTwoChoice } from "./power_of_two_choice.ts";
import { RoundRobinChoice } from "./round_robin_choice.ts";
import type { ServerChoice } from "./server_choice.ts";

/** Names of the policies that choose by what one entry VM knows. */
export const LOCAL_POLICIES = [
  "round-robin",
  "least-outstanding",
  "power-of-two",
] as const;
/** A policy that needs no other entry VM. */
export type LocalPolicy = typeof LOCAL_POLICIES[number];

/** The policy that asks one entry VM for each slot. */
export const DISPATCHED_POLICY = "dispatched";

/** The policy of a service that names none. */
export const DEFAULT_POLICY = "power-of-two";

/** Creates a choice by name; an unknown name gives the default. */
export function createServerChoice(policy: string | undefined): ServerChoice {
  switch (policy) {
    case "round-robin":
      return new RoundRobinChoice();
    case "least-outstanding":
      return new LeastOutstandingChoice();
    default:
      return new PowerOfTwoChoice();
  }
}
