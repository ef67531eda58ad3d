/** Admission control: which request is sent to which backend server, and when. */
export * from "./cold_start_limit.ts";
export * from "./late_loop_rule.ts";
export * from "./server_load.ts";
export * from "./server_ranking.ts";
export * from "./service_queue.ts";
export * from "./service_times.ts";
export * from "./shared_retry_budget.ts";
export * from "./short_work_reserve.ts";
export * from "./slot_asks.ts";
export * from "./slot_coordinator.ts";
export * from "./waiting_request.ts";
