/** Ownership of keyed services: the tasks around the decisions. */
export * from "./assignment_controller_task.ts";
export * from "./ownership_task.ts";
export * from "./membership_peer_view.ts";
export * from "./service_context.ts";
