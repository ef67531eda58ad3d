import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import type { LogFields } from "../utils/log.ts";
import { ProcessStop } from "./process_stop.ts";

const GRACE_MS = 60;

/** A gateway whose stop ends when the test says so. */
class Fixture {
  readonly logged: { sentence: string; fields: LogFields }[] = [];
  readonly exits: (readonly [string, number])[] = [];
  stops = 0;
  endStop: () => void = () => {};
  failStop: (error: Error) => void = () => {};
  readonly stop = new ProcessStop({
    log: {
      debug() {},
      info() {},
      warn() {},
      error: (sentence: string, fields: LogFields = {}) =>
        this.logged.push({ sentence, fields }),
    },
    graceMs: GRACE_MS,
    exit: (reason, status) => this.exits.push([reason, status]),
  });

  start(): void {
    this.stop.noteStarted({
      stop: () => {
        this.stops++;
        return new Promise((resolve, reject) => {
          this.endStop = resolve;
          this.failStop = reject;
        });
      },
    });
  }
}

/** Guards against requests in flight that end with the first uncaught error. */
test("should exit after an uncaught error only when the gateway has stopped", async () => {
  const fixture = new Fixture();
  fixture.start();
  fixture.stop.onUncaughtError(new Error("First"));
  fixture.stop.onUncaughtError(new Error("Second"));
  fixture.stop.onSignal();
  await timers.setImmediate();
  expect([fixture.stops, fixture.exits]).toEqual([1, []]);
  fixture.endStop();
  await timers.setImmediate();
  expect(fixture.exits).toEqual([["uncaught-error", 1]]);
  const errors = fixture.logged.map(({ fields }) => String(fields.error));
  expect(errors.map((text) => text.split("\n")[0])).toEqual([
    "Error: First",
    "Error: Second",
  ]);
});

/** Guards against a process that stays after an error broke one of its parts. */
test("should exit after the grace time although a part doesn't stop", async () => {
  const fixture = new Fixture();
  fixture.start();
  fixture.stop.onUncaughtError(new Error("Broken"));
  await timers.setTimeout(GRACE_MS * 3);
  expect(fixture.exits).toEqual([["uncaught-error", 1]]);
  fixture.endStop();
  await timers.setImmediate();
  expect(fixture.exits.length).toEqual(1);
});

/** Guards against a process that neither starts nor ends. */
test("should exit at once after an uncaught error before the start", () => {
  const fixture = new Fixture();
  fixture.stop.onUncaughtError(new Error("No address"));
  expect(fixture.exits).toEqual([["start-failed", 1]]);
  expect(fixture.logged.length).toEqual(1);
});

test("should report a stop that fails", async () => {
  const fixture = new Fixture();
  fixture.start();
  fixture.stop.onSignal();
  fixture.failStop(new Error("Not closed"));
  await timers.setImmediate();
  expect(fixture.exits).toEqual([["stop-failed", 1]]);
});

/** Guards against a log that an error with each event fills. */
test("should log a limited number of uncaught errors", () => {
  const fixture = new Fixture();
  fixture.start();
  for (let count = 0; count < 100; count++) {
    fixture.stop.onUncaughtError("x".repeat(100_000));
  }
  expect(fixture.logged.length).toEqual(20);
  expect(String(fixture.logged[0]!.fields.error).length).toEqual(4_000);
});
