import { expect } from "earl";
import { test } from "node:test";
import { Listeners } from "./listeners.ts";

/** Guards against a change that no listener learns of after one that throws. */
test("should call the other listeners when one throws", () => {
  const lines: unknown[] = [];
  const heard: number[] = [];
  const listeners = new Listeners<[number]>("numbers", {
    error: (_message, fields) => lines.push(fields?.name),
  });
  listeners.add(() => {
    throw new Error("Always");
  });
  listeners.add((value) => heard.push(value));
  listeners.notify(1);
  listeners.notify(2);
  expect(heard).toEqual([1, 2]);
  expect(lines).toEqual(["numbers"]);
});
