/**
 * Admission control: which request is sent to which backend server, and when.
 */
export * from "./caller_shares.ts";
export * from "./capped_servers.ts";
export * from "./held_bytes.ts";
export * from "./lag_shedding.ts";
export * from "./limit_share.ts";
export * from "./limited_keys.ts";
export * from "./request_limits.ts";
export * from "./peer_backoffs.ts";
export * from "./request_backlog.ts";
export * from "./server_backoffs.ts";
export * from "./server_load.ts";
export * from "./server_ranking.ts";
export * from "./server_rate_limit.ts";
export * from "./return_schedule.ts";
export * from "./service_admission.ts";
export * from "./service_queue.ts";
export * from "./service_queue_options.ts";
export * from "./server_speed.ts";
export * from "./service_times.ts";
export * from "./shared_admission.ts";
export * from "./shared_retry_budget.ts";
export * from "./short_request_reserve.ts";
export * from "./slot_client.ts";
export * from "./slot_coordinator.ts";
export * from "./waiting_request.ts";
export { UNREACHED_RETRY_AFTER_MS } from "./wait_estimate.ts";
