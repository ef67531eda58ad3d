/** Names of the load balancing policies in the configuration of a service. */
import { LeastOutstandingBalancer } from "./least_outstanding_balancer.ts";
import { PowerOfTwoBalancer } from "./power_of_two_balancer.ts";
import { RoundRobinBalancer } from "./round_robin_balancer.ts";
import type { LoadBalancer } from "./load_balancer.ts";

/** Policies that need only the local state of one entry VM. */
export const LOCAL_POLICIES = [
  "round-robin",
  "least-outstanding",
  "power-of-two",
] as const;
/** One of {@link LOCAL_POLICIES}. */
export type LocalPolicy = typeof LOCAL_POLICIES[number];

/** Policy by which a single entry VM grants all slots of the service. */
export const DISPATCHED_POLICY = "dispatched";

/** Policy of a service whose configuration names none. */
export const DEFAULT_POLICY = "power-of-two";

/** Creates a load balancer by policy name; the default for an unknown name. */
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
