import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { ObjectTable } from "./object_table.ts";

function objectOf(name: string, version: number): contracts.StoredObject {
  return { name, version: String(version), value: "{}" };
}

function changeOf(name: string, version: number) {
  return { name, object: objectOf(name, version) };
}

/**
 * Guards against servers that are taken for ready again: parts of a list may be
 * newer than the position that changes are applied from.
 */
test("should keep an object that is known in a later version", () => {
  const table = new ObjectTable();
  table.apply([changeOf("a", 105), changeOf("b", 99)], 100);
  const applied = table.apply([changeOf("a", 102), changeOf("b", 103)], 103);
  expect(applied.map(({ name }) => name)).toEqual(["b"]);
  expect(table.get("a")!.version).toEqual("105");
});

/** Guards against an object that is lost as it was deleted before its creation. */
test("should keep an object that was created after a deletion", () => {
  const table = new ObjectTable();
  table.apply([changeOf("a", 105)], 100);
  table.apply([{ name: "a" }], 103);
  expect(table.get("a")!.version).toEqual("105");
  table.apply([{ name: "a" }], 106);
  expect(table.get("a")).toEqual(undefined);
});
