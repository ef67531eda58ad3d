/** Types, schemas and interfaces that all packages share. */
export * from "./assignment.ts";
export * from "./backend_server.ts";
export * from "./clock.ts";
export * from "./config_objects.ts";
export * from "./ids.ts";
export * from "./key_grants.ts";
export * from "./network_address.ts";
export * from "./outcomes.ts";
export * from "./peer.ts";
export * from "./platform_store.ts";
export * from "./poison_request.ts";
export * from "./route_config.ts";
export * from "./registered_server.ts";
export * from "./server_report.ts";
export * from "./service_load.ts";
export * from "./usable_items.ts";
export * from "./vm_list.ts";
