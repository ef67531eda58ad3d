import { expect } from "earl";
import { test } from "node:test";
import { ThrottledWarning } from "./throttled_warning.ts";
import type { LogFields } from "./log.ts";

test("should write one line a second that says how many it stands for", () => {
  const lines: LogFields[] = [];
  const line = new ThrottledWarning({
    debug() {},
    info() {},
    warn: (_sentence: string, fields?: LogFields) => lines.push(fields!),
    error() {},
  }, "Refuses.");
  for (const nowMs of [0, 100, 900, 1_000, 1_100]) line.warn(nowMs, { nowMs });
  expect(lines).toEqual([
    { nowMs: 0, refused: 1 },
    { nowMs: 1_000, refused: 3 },
  ]);
});
