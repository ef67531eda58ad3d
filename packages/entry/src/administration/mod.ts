/** The administration API with its audit and move journals. */
export * from "./access.ts";
export * from "./administration.ts";
export * from "./administration_door.ts";
export * from "./api_context.ts";
export * from "./journal_lines.ts";
export * from "./move_journal.ts";
export * from "./store_journal.ts";
