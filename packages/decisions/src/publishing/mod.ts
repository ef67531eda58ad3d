/** Validates, publishes and applies configuration. */
export * from "./check.ts";
export * from "./config_state.ts";
export * from "./delta.ts";
export * from "./diff.ts";
export * from "./watchers.ts";
