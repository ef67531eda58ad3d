/** Routes of a platform's configuration. */
export * from "./route_table.ts";
