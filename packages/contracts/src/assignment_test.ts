import { expect } from "earl";
import { test } from "node:test";
import * as assignment from "./assignment.ts";

test("should name a slice by its bounds", () => {
  const id = assignment.sliceIdOf({ fromHash: 0, toHash: 256 });
  expect(id as string).toEqual("0-100");
});
