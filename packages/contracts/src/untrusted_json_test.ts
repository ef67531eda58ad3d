import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import * as z from "zod";
import { decodeJson, parseJson } from "./untrusted_json.ts";

function nested(depth: number, open = "[", close = "]"): string {
  return open.repeat(depth) + close.repeat(depth);
}

function parse(text: string, limits = {}): unknown {
  return parseJson(text, limits)._unsafeUnwrap();
}

/** Guards against values that recursive code can't handle. */
test("should replace values that are nested too deeply", () => {
  const limits = { maxDepth: 2 };
  expect(parse("[[[1]],2]", limits)).toEqual([[null], 2]);
  expect(parse('{"a":{"b":{"c":1}},"d":{}}', limits))
    .toEqual({ a: { b: null }, d: {} });
  for (const depth of [64, 65, 3_000, 500_000]) {
    for (const text of [nested(depth), nested(depth, '{"a":[', "]}")]) {
      JSON.stringify(parse(text.replace("[]", "[1]")));
    }
  }
});

/** Guards against sound fields that are lost beside odd ones. */
test("should keep fields beside those that exceed the limits", () => {
  const text = `{"id":7,"deep":${nested(9_000)},"big":1e400,` +
    `"long":"${"x".repeat(20)}","name":"${"y".repeat(10)}"}`;
  expect(parse(text, { maxDepth: 2, maxStringLength: 10 })).toEqual({
    id: 7,
    deep: [null],
    big: null,
    long: null,
    name: "y".repeat(10),
  });
});

/** Guards against a prototype that another program supplies. */
test("should drop a member that would become the prototype", () => {
  const value = parse('{"__proto__":{"isAdmin":true},"a":1}') as object;
  expect({ ...value }).toEqual({ a: 1 });
  expect(("isAdmin" in { ...value }) as boolean).toEqual(false);
});

test("should leave values within the limits as they are", () => {
  fc.assert(fc.property(fc.jsonValue({ maxDepth: 6 }), (value) => {
    const text = JSON.stringify(value);
    if (text.includes("__proto__")) return;
    expect(JSON.stringify(parse(text))).toEqual(text);
  }));
});

test("should report text that is not JSON, and the first invalid field", () => {
  const schema = z.object({ port: z.number() });
  expect(decodeJson("{", schema)._unsafeUnwrapErr().field).toEqual("(whole)");
  expect(decodeJson("null", schema)._unsafeUnwrapErr().field)
    .toEqual("(whole)");
  expect(decodeJson('{"port":1e400}', schema)._unsafeUnwrapErr().field)
    .toEqual("port");
});
