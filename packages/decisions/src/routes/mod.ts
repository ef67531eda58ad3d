/** Routing of requests to services. */
export * from "./route_table.ts";
