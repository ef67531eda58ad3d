/** Modules of the entry process, for its binary and for tests. */
export * from "./administration/mod.ts";
export * from "./configuration/mod.ts";
export * from "./contracts/views.ts";
export * from "./settings/mod.ts";
export * from "./utils/clock.ts";
export * from "./utils/life_cycle.ts";
export * from "./utils/log.ts";
