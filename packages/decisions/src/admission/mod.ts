/**
 * Admission control: which request is sent to which backend server, and when.
 */
export * from "./capped_servers.ts";
export * from "./lag_shedding.ts";
export * from "./limit_share.ts";
export * from "./limited_keys.ts";
export * from "./request_limits.ts";
export * from "./peer_backoffs.ts";
export * from "./server_backoffs.ts";
export * from "./server_load.ts";
export * from "./server_ranking.ts";
export * from "./server_rate_limit.ts";
export * from "./service_queue.ts";
export * from "./server_speed.ts";
export * from "./service_times.ts";
export * from "./shared_retry_budget.ts";
export * from "./short_request_reserve.ts";
export * from "./slot_client.ts";
export * from "./slot_coordinator.ts";
export * from "./waiting_request.ts";
