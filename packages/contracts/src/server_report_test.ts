import { expect } from "earl";
import { test } from "node:test";
import { parseRetryAfter } from "./server_report.ts";

const CONTEXT = { dateText: undefined, nowUnixMs: Date.UTC(2026, 0, 1) };

for (
  const [text, delayMs] of [
    ["3", 3_000],
    [" 0.25 ", 250],
    ["7200", 7_200_000],
    ["Thu, 01 Jan 2026 00:00:10 GMT", 10_000],
  ] as const
) {
  test(`should read ${JSON.stringify(text)} as a delay`, () => {
    expect(parseRetryAfter(text, CONTEXT)).toEqual({ kind: "delay", delayMs });
  });
}

/** A server's clock may differ from this VM's. */
test("should count a date from the date of its answer", () => {
  const dateText = "Thu, 01 Jan 2026 00:00:08 GMT";
  expect(parseRetryAfter("Thu, 01 Jan 2026 00:00:10 GMT", {
    ...CONTEXT,
    dateText,
  })).toEqual({ kind: "delay", delayMs: 2_000 });
});

test("should read no delay from none, zero or a date that is over", () => {
  const past = "Wed, 31 Dec 2025 23:59:59 GMT";
  for (const text of [undefined, "0", past]) {
    expect(parseRetryAfter(text, CONTEXT)).toEqual(undefined);
  }
});

/** A text that is no delay must not keep a VM from a server. */
for (const text of ["", "soon", "-3", "1e9", "Infinity", "3s", "2026-01-02"]) {
  test(`should reject ${JSON.stringify(text)}`, () => {
    expect(parseRetryAfter(text, CONTEXT)?.kind).toEqual("malformed");
  });
}
