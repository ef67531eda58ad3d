/** Tasks that manage the ownership of keyed services. */
export * from "./move_task.ts";
export * from "./ownership_task.ts";
export * from "./peer_view.ts";
export * from "./service_context.ts";
