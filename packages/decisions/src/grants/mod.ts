/**
 * Ownership of key ranges by time-limited grants (leases). Servers measure a
 * lease from its arrival, so no clock of a server is compared with another.
 */
export * from "./duty_order.ts";
export * from "./first_map_wait.ts";
export * from "./grant_hold.ts";
export * from "./grant_timings.ts";
export * from "./keeper_book.ts";
export * from "./keeper_review.ts";
export * from "./key_loads.ts";
export * from "./lost_servers.ts";
export * from "./ownerless_times.ts";
export * from "./range_difference.ts";
export * from "./range_edit.ts";
export type { KeyRate, RangePlanInput, RangeServer } from "./range_load.ts";
export * from "./range_mover.ts";
export * from "./range_news.ts";
export * from "./range_planner.ts";
export * from "./range_wait.ts";
export * from "./release_call.ts";
export * from "./renewal_order.ts";
