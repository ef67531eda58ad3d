/** Decisions about checking, publishing and applying configuration. */
export * from "./check.ts";
export * from "./config_state.ts";
export * from "./delta.ts";
export * from "./diff.ts";
export * from "./watchers.ts";
