/** The request path of an entry VM: listener, router and slot allocators. */
export * from "./caller_listener.ts";
export * from "./caller_request.ts";
export * from "./request_metrics.ts";
export * from "./request_router.ts";
export * from "./request_settings.ts";
