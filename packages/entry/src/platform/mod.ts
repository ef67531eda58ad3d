/** Adapters for the platform: its store, its VM list, its backend servers. */
export * from "./http_backend_control.ts";
export * from "./http_platform_store.ts";
export * from "./http_vm_list.ts";
