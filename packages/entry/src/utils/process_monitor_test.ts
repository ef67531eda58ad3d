import { expect } from "earl";
import { test } from "node:test";
import type { LogFields } from "./log.ts";
import { ProcessMonitor } from "./process_monitor.ts";

const CHECK_INTERVAL_MS = 250;

class Fixture {
  nowMs = 0;
  usedMs = 0;
  residentMb = 90;
  heapMb = 30;
  readonly lines: { sentence: string; fields: LogFields }[] = [];
  readonly monitor = new ProcessMonitor({
    clock: { nowMs: () => this.nowMs },
    log: {
      debug() {},
      info() {},
      warn: (sentence: string, fields: LogFields = {}) =>
        this.lines.push({ sentence, fields }),
      error() {},
    },
    memoryMb: 350,
    readStatus: () => ({
      pid: 17,
      uptimeMs: this.nowMs,
      residentMb: this.residentMb,
      heapMb: this.heapMb,
      heapLimitMb: 224,
    }),
    processorMs: () => this.usedMs,
    requestsInFlight: () => 3,
  });

  /** Advances the clock to the next check, which comes late by a stall. */
  check(stallMs = 0, usedMs = 0): void {
    this.nowMs += CHECK_INTERVAL_MS + stallMs;
    this.usedMs += usedMs;
    this.monitor.check();
  }
}

/** Guards against a stall that can't be told from a process that is not run. */
test("should log a stall with the processor time that it took", () => {
  const fixture = new Fixture();
  fixture.check(400, 400);
  expect(fixture.lines).toEqual([]);
  fixture.check(1_500, 1_450);
  const { sentence, fields } = fixture.lines[0]!;
  expect(sentence).toEqual("The event loop stood still.");
  expect([fields.stalledMs, fields.processorMs]).toEqual([1_500, 1_450]);
});

test("should log stalls at most once a second, with their number", () => {
  const fixture = new Fixture();
  for (let count = 0; count < 3; count++) fixture.check(500);
  expect(fixture.lines.map(({ fields }) => fields.stalls)).toEqual([1, 2]);
});

/** Guards against a process killed for its memory without a line about it. */
test("should log that memory runs short, and again while it does", () => {
  const fixture = new Fixture();
  fixture.check();
  expect(fixture.lines).toEqual([]);
  fixture.residentMb = 300;
  for (let count = 0; count < 50; count++) fixture.check();
  expect(fixture.lines.map(({ fields }) => fields.limit)).toEqual(["vm", "vm"]);
});

test("should log that the heap is nearly full", () => {
  const fixture = new Fixture();
  fixture.heapMb = 200;
  fixture.check();
  expect(fixture.lines.map(({ fields }) => fields.limit)).toEqual(["heap"]);
});
