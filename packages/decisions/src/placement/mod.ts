/** Which server should own which slice of a keyed service. */
export * from "./apply_changes.ts";
export * from "./hot_key_sketch.ts";
export * from "./load_aggregator.ts";
export * from "./load_tracker.ts";
export * from "./placement_settings.ts";
export * from "./planner.ts";
export type * from "./working_set.ts";
