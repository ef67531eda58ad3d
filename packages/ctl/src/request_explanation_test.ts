import { expect } from "earl";
import { test } from "node:test";
import { explainRequest } from "./request_explanation.ts";

function logLine(second: number, fields: Record<string, unknown>): string {
  const time = `2026-01-01T00:00:${String(second).padStart(2, "0")}.000Z`;
  return JSON.stringify({ time, level: "info", ...fields });
}

/**
 * A request failed without a response. Its own line names the server; only
 * another VM's line says that the server had been lost just before.
 */
test("should find the cause of a lost response in another VM's lines", () => {
  const log = [
    logLine(1, { part: "owner", sentence: "Server lost.", server: "i-9" }),
    "text of another program",
    logLine(20, { part: "route", sentence: "Answered.", id: "other" }),
    logLine(21, {
      part: "route",
      sentence: "Ended badly.",
      id: "q1",
      outcome: "unknown: reset",
      tookMs: 300,
      sends: "i-7 fence 3 with 1 there: unknown: reset after 290 ms",
    }),
    logLine(20, { part: "owner", sentence: "Server lost.", server: "i-7" }),
    logLine(20, { part: "member", sentence: "Server seen.", server: "i-8" }),
  ].join("\n");
  const sentences = explainRequest("q1", log).map(({ fields }) =>
    `${fields["sentence"]} ${fields["server"] ?? fields["id"]}`
  );
  expect(sentences).toEqual(["Server lost. i-7", "Ended badly. q1"]);
});

test("should return no lines for an unknown request", () => {
  expect(
    explainRequest(
      "q2",
      logLine(1, { part: "route", sentence: "x", id: "q1" }),
    ),
  )
    .toEqual([]);
});

/** A VM may have been cut off from servers long before the request. */
test("should include the lost path for which a peer sent a request", () => {
  const sentence = "Does not reach servers; peers send their requests.";
  const log = [
    logLine(1, { part: "route", sentence, servers: "i-6,i-7" }),
    logLine(2, { part: "route", sentence, servers: "i-9" }),
    logLine(40, {
      part: "route",
      sentence: "Ended badly.",
      id: "q1",
      sends: "i-7 via vm4 with 1 there: unknown: reset after 90 ms",
    }),
  ].join("\n");
  const lines = explainRequest("q1", log).map(({ fields }) =>
    fields["servers"]
  );
  expect(lines).toEqual(["i-6,i-7", undefined]);
});

test("should include the evacuation that left no server for a request", () => {
  const log = [
    logLine(1, { part: "member", sentence: "Zone is evacuated.", zone: "z2" }),
    logLine(2, {
      part: "member",
      sentence: "Server seen.",
      server: "i-8",
      zone: "z2",
    }),
    logLine(40, {
      part: "route",
      sentence: "Ended badly.",
      id: "q1",
      sends: "",
    }),
  ].join("\n");
  expect(explainRequest("q1", log).map(({ fields }) => fields["sentence"]))
    .toEqual(["Zone is evacuated.", "Ended badly."]);
});

/** The servers crashed under earlier attempts, each with an id of its own. */
test("should include the crashes for which a request is refused", () => {
  const fingerprint = "0123456789abcdef0123456789abcdef";
  const log = [
    logLine(1, {
      part: "route",
      sentence: "Connection lost under a request.",
      id: "q0",
      fingerprint,
      server: "i-1",
    }),
    logLine(2, {
      part: "route",
      sentence: "Other.",
      fingerprint: "f".repeat(32),
    }),
    logLine(3, { part: "route", sentence: "Refuses.", fingerprint }),
    logLine(50, {
      part: "route",
      sentence: "Ended badly.",
      id: "q1",
      outcome: "x",
      fingerprint,
    }),
    logLine(50, {
      part: "route",
      sentence: "Ended badly.",
      id: "q2",
      outcome: "x",
      fingerprint,
    }),
  ].join("\n");
  expect(explainRequest("q1", log).map(({ fields }) => fields["sentence"]))
    .toEqual(["Connection lost under a request.", "Refuses.", "Ended badly."]);
});

/** The limit may have been named long before, to another VM. */
test("should include the limit for which a request was refused", () => {
  const log = [
    logLine(1, {
      part: "route",
      sentence: "Server limits its requests.",
      server: "i-7",
      requestsPerSecond: 3.5,
    }),
    logLine(2, {
      part: "route",
      sentence: "Server limits its requests.",
      server: "i-8",
    }),
    logLine(40, {
      part: "route",
      sentence: "Calls to a limited server.",
      server: "i-7",
      requests: 3,
    }),
    logLine(40, {
      part: "route",
      sentence: "Ended badly.",
      id: "q1",
      outcome: "limited, expected wait 900 ms",
      sends: "",
      limitedBy: "i-7",
      limitAgeMs: 120,
    }),
  ].join("\n");
  expect(explainRequest("q1", log).map(({ fields }) => fields["sentence"]))
    .toEqual([
      "Server limits its requests.",
      "Calls to a limited server.",
      "Ended badly.",
    ]);
});
