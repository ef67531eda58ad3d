/** Placement: which server owns which slice of a keyed service. */
export * from "./apply_changes.ts";
export * from "./hot_keys.ts";
export * from "./load_book.ts";
export * from "./load_tracker.ts";
export * from "./placement_settings.ts";
export * from "./planner.ts";
export type * from "./working_set.ts";
