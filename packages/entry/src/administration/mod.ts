/** The administration API and its journals. */
export * from "./operator_authenticator.ts";
export * from "./admin_api.ts";
export * from "./admin_server.ts";
export * from "./api_context.ts";
export * from "./journal_lines.ts";
export * from "./move_journal.ts";
export * from "./store_journal.ts";
