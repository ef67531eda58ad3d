/** Entry of this package; exports grow with its parts. */
export * from "./membership/mod.ts";
export * from "./placement/mod.ts";
export * from "./publishing/mod.ts";
