/** Which ways to backend servers work: a VM's own, or those of its peers. */
export * from "./path_tracker.ts";
export * from "./relay_selector.ts";
