import { expect } from "earl";
import { test } from "node:test";
import { summarizeFailures } from "./request_failures.ts";

function logLine(second: number, fields: Record<string, unknown>): string {
  const time = `2026-01-01T00:00:${String(second).padStart(2, "0")}.500Z`;
  return `vm-1 ${JSON.stringify({ time, part: "route", ...fields })}`;
}

function refusedLine(second: number, waitMs: number, tookMs: number): string {
  return logLine(second, {
    sentence: "Ended badly.",
    route: "check",
    status: 503,
    outcome: `no-room, expected wait ${waitMs} ms`,
    tookMs,
  });
}

test("should count what ended badly by second, route and reason", () => {
  const log = [
    refusedLine(2, 700, 30),
    refusedLine(1, 300, 10),
    refusedLine(1, 400, 20),
    logLine(1, { sentence: "Answered.", route: "check", status: 200 }),
    logLine(2, { sentence: "Refuses: the event loop is behind.", refused: 40 }),
    logLine(2, {
      sentence: "Left out lines of requests that ended badly.",
      count: 7,
    }),
    "text of another program",
  ].join("\n");
  const { groups: losses, omittedCount: unlisted } = summarizeFailures(log);
  const rows = losses.map(({ second, count, reason, meanTookMs }) =>
    `${second} ${count} ${reason} ${meanTookMs}`
  );
  expect(rows).toEqual([
    "00:00:01 2 no-room, expected wait N ms 15",
    "00:00:02 40 Refuses: the event loop is behind. 0",
    "00:00:02 1 no-room, expected wait N ms 30",
  ]);
  expect(unlisted).toEqual(7);
});
