/** Requests that crash the backend servers that run them. */
export * from "./poison_request_tracker.ts";
