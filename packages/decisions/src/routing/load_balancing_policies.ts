/** The names by which a service object selects how requests are spread. */
import { LeastOutstandingBalancer } from "./least_outstanding_balancer.ts";
import { PowerOfTwoBalancer } from "./power_of_two_balancer.ts";
import { RoundRobinBalancer } from "./round_robin_balancer.ts";
import type { LoadBalancer } from "./load_balancer.ts";

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
export function createLoadBalancer(policy: string | undefined): LoadBalancer {
  switch (policy) {
    case "round-robin":
      return new RoundRobinBalancer();
    case "least-outstanding":
      return new LeastOutstandingBalancer();
    default:
      return new PowerOfTwoBalancer();
  }
}
