/** How the entry VMs of a large deployment share out servers and reading. */
export * from "./cell_plan.ts";
export * from "./reader_election.ts";
