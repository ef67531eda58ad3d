/** HTTP clients of the platform: store, VM list and backend servers. */
export * from "./http_backend_control.ts";
export * from "./http_platform_store.ts";
export * from "./http_vm_list.ts";
