import { expect } from "earl";
import { test } from "node:test";
import { ThrottledWarning } from "./throttled_warning.ts";
import type { LogFields } from "./log.ts";

test("should log one line per second with the number of occurrences", () => {
  const lines: LogFields[] = [];
  const log = new ThrottledWarning({
    debug() {},
    info() {},
    warn: (_message: string, fields?: LogFields) => lines.push(fields!),
    error() {},
  }, "Refuses.");
  for (const nowMs of [0, 100, 900, 1_000, 1_100]) log.warn(nowMs, { nowMs });
  expect(lines).toEqual([
    { nowMs: 0, refused: 1 },
    { nowMs: 1_000, refused: 3 },
  ]);
});
