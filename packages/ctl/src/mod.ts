/** The operators' command line and its admin API client. */
export * from "./api_client.ts";
export * from "./cli.ts";
export * from "./ctl_error.ts";
