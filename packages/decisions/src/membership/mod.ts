/**
 * Membership of the entry VMs, by heartbeats and indirect probes as in SWIM.
 */
export * from "./effects.ts";
export * from "./member.ts";
export * from "./membership.ts";
export type * from "./update_queue.ts";
