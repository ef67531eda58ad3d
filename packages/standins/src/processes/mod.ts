/** Starts programs and stand-ins as child processes, on the test bench. */
export * from "./child_program.ts";
export * from "./stand_ins.ts";
