/**
 * Decides which backend server owns a key, and which entry VMs may grant it.
 */
export * from "./assignment_builder.ts";
export * from "./assignment_maintenance.ts";
export * from "./leader_lease.ts";
export * from "./assignment_tracker.ts";
export * from "./unfenced_request_tracker.ts";
export * from "./voter_selection.ts";
export * from "./key_hasher.ts";
export * from "./failure_detector.ts";
export * from "./assignment_controller.ts";
export * from "./assignment_changes.ts";
export * from "./lease_command_scheduler.ts";
export * from "./revision_ack_tracker.ts";
export * from "./rendezvous_order.ts";
export * from "./settings.ts";
export * from "./slice_map.ts";
export * from "./slice_handover.ts";
export * from "./timings_expiry.ts";
export * from "./handover_tracker.ts";
