/** Storage and delivery of the configuration. */
export * from "./config_reader.ts";
export * from "./config_task.ts";
export * from "./current_config.ts";
export * from "./draft_store.ts";
export * from "./peer_config_source.ts";
export * from "./peer_task_config_source.ts";
export * from "./publisher.ts";
export * from "./revision_writer.ts";
