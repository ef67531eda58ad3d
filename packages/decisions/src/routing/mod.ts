/** Rules of the request path: choice, queueing, limits and retries. */
export * from "./caller_limits.ts";
export * from "./fair_queue.ts";
export * from "./least_outstanding_balancer.ts";
export * from "./outlier_ejection.ts";
export * from "./load_balancing_policies.ts";
export * from "./power_of_two_balancer.ts";
export * from "./queue_limit.ts";
export * from "./rendezvous.ts";
export * from "./retry_budget.ts";
export * from "./retry_policy.ts";
export * from "./round_robin_balancer.ts";
export * from "./server_tracker.ts";
export * from "./load_balancer.ts";
export * from "./slow_start.ts";
export * from "./token_bucket.ts";
