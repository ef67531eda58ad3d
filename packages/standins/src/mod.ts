/** Stand-ins of the platform and its backend servers; never shipped. */
export * from "./processes/mod.ts";
