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
  const patch = createPatch(before, after)!;
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
    const patch = createPatch(before, after);
    if (patch === undefined) return;
    expect(applyPatch(before, patch)).toEqual(after);
  }));
  const seen = { patched: 0 };
  fc.assert(fc.property(text, text, (kept, added) => {
    const before = `{"kept":"${kept}","more":"${"m".repeat(80)}"}`;
    const after = `${before}{${added}`;
    const patch = createPatch(before, after);
    if (patch !== undefined) seen.patched++;
    if (patch !== undefined) expect(applyPatch(before, patch)).toEqual(after);
  }));
  expect(seen.patched > 0).toEqual(true);
});

/** Guards against a text of another writer that takes a VM's memory and time. */
test("should send a text of very many parts whole", () => {
  const braces = "{".repeat(1_000_000);
  const config = configText(1, 0);
  expect(createPatch(braces, `${braces}1`)).toEqual(undefined);
  expect(createPatch(braces, config)).toEqual(undefined);
  expect(createPatch(config, braces)).toEqual(undefined);
  expect(applyPatch(braces, [[0, 999_999]])).toEqual(undefined);
});

/** Guards against differences that are larger than the new text. */
test("should send a text whole that is shorter than its patch", () => {
  const partsOf = (step: number) =>
    Array.from({ length: 1_000 }, (_, index) => `{${index * step % 1_000}`)
      .join("");
  expect(createPatch(partsOf(1), partsOf(7))).toEqual(undefined);
});
