/** Which entry VMs are there. */
export * from "./effects.ts";
export * from "./member.ts";
export * from "./membership.ts";
export type * from "./update_queue.ts";
