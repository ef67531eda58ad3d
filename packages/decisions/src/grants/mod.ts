/**
 * Ownership of key ranges by time-limited grants (leases). Servers measure a
 * lease from its arrival, so no clock of a server is compared with another.
 */
export * from "./grant_timings.ts";
export * from "./handover_ages.ts";
export * from "./handover_controller.ts";
export * from "./handover_wait.ts";
export * from "./initial_map_wait.ts";
export * from "./key_rate_tracker.ts";
export * from "./lease_duration.ts";
export * from "./lost_servers.ts";
export * from "./range_difference.ts";
export * from "./range_edit.ts";
export type {
  RangePlanInput,
  RangeServer,
  ServerBackoff,
} from "./range_load.ts";
export * from "./range_map_history.ts";
export * from "./range_planner.ts";
export * from "./release_call.ts";
export * from "./release_pacer.ts";
export * from "./renewal_order.ts";
export * from "./renewal_rate.ts";
export * from "./vm_ranking.ts";
export * from "./voter_reports.ts";
export * from "./voter_selection.ts";
