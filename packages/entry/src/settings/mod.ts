/** Settings of an entry process: schema, defaults, validation, secrets. */
export * from "./defaults.ts";
export * from "./load.ts";
export type { SettingsProblem, SettingsProblemKind } from "./problems.ts";
export * from "./schema.ts";
export * from "./secrets.ts";
