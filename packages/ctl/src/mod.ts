/** The operators' command line and its client, for other programs. */
export * from "./api_client.ts";
export * from "./cli.ts";
export * from "./ctl_error.ts";
