/**
 * Decides which backend server owns a key, and which entry VMs may grant it.
 */
export * from "./assignment_edit.ts";
export * from "./assignment_upkeep.ts";
export * from "./duty.ts";
export * from "./evidence.ts";
export * from "./forward_book.ts";
export * from "./keeper_choice.ts";
export * from "./key_hash.ts";
export * from "./loss_detector.ts";
export * from "./mover.ts";
export * from "./moves.ts";
export * from "./order_book.ts";
export * from "./promise_book.ts";
export * from "./renewers.ts";
export * from "./settings.ts";
export * from "./slice_map.ts";
export * from "./slice_wait.ts";
export * from "./timings_wait.ts";
export * from "./wait_book.ts";
