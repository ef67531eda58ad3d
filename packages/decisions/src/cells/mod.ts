/**
 * Cells of a large deployment, and the VMs that read the store for the others.
 */
export * from "./cell_plan.ts";
export * from "./reader_election.ts";
export * from "./relay_selection.ts";
