/** Public exports of this package. */
export * from "./membership/mod.ts";
export * from "./placement/mod.ts";
export * from "./publishing/mod.ts";
