import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import { applyPatch, createPatch } from "./value_patch.ts";

const ROUTES = 1_500;

function configText(version: number, changedRoute: number): string {
  return JSON.stringify({
    version,
    routes: Array.from({ length: ROUTES }, (_, index) => ({
      name: `route-${index}`,
      prefix: `/${index}/`,
      timeout: index === changedRoute ? 1_000 * version : 500,
    })),
  });
}

/** A change of one route must not send all routes again. */
test("should describe a change of one route in a few bytes", () => {
  const before = configText(1, ROUTES - 1);
  const after = configText(2, ROUTES - 1);
  const patch = createPatch(before, after);
  expect(applyPatch(before, patch)).toEqual(after);
  expect(JSON.stringify(patch).length < 300).toEqual(true);
});

/** A VM must never apply another text than the store's. */
test("should restore any text", () => {
  const text = fc.string({
    unit: fc.constantFrom("{", "}", "a", ","),
    maxLength: 60,
  });
  fc.assert(fc.property(text, text, (before, after) => {
    expect(applyPatch(before, createPatch(before, after))).toEqual(after);
  }));
});
