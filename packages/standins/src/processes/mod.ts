/** Starts programs and stand-ins as child processes for tests and demos. */
export * from "./child_program.ts";
export * from "./stand_ins.ts";
