/** Bounds on elapsed time on a machine that may be suspended. */
export * from "./wall_clock_jumps.ts";
