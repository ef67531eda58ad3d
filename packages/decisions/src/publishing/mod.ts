/** Decisions about checking, publishing and applying configuration. */
export * from "./object_validation.ts";
export * from "./config_state.ts";
export * from "./config_delta.ts";
export * from "./object_diff.ts";
export * from "./watcher_selector.ts";
