/** Request path: load balancing, queueing, rate limits and retries. */
export * from "./caller_limits.ts";
export * from "./fair_queue.ts";
export * from "./least_outstanding_choice.ts";
export * from "./outlier_ejection.ts";
export * from "./policies.ts";
export * from "./power_of_two_choice.ts";
export * from "./queue_limit.ts";
export * from "./rendezvous.ts";
export * from "./retry_budget.ts";
export * from "./retry_rule.ts";
export * from "./round_robin_choice.ts";
export * from "./server_board.ts";
export * from "./server_choice.ts";
export * from "./slow_start.ts";
export * from "./token_bucket.ts";
