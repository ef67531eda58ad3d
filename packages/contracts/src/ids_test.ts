import { expect } from "earl";
import { test } from "node:test";
import { serverIdSchema } from "./ids.ts";

/**
 * Guards against ids that a plain object has as a member: leases, loads and
 * grant times are kept and sent by server id.
 */
test("should refuse ids that every object has as a member", () => {
  const accepted = ["constructor", "toString", "__proto__", "valueOf"]
    .filter((text) => serverIdSchema.safeParse(text).success);
  expect(accepted).toEqual([]);
});
