/** How the entry VMs of a large deployment share out its servers. */
export * from "./cell_plan.ts";
