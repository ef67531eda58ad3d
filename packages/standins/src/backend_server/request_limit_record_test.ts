import { expect } from "earl";
import { test } from "node:test";
import { RequestLimitRecord } from "./request_limit_record.ts";

function recordOf(callsPerSecond: number, caller?: string): RequestLimitRecord {
  const record = new RequestLimitRecord();
  record.nameLimit("s1", "2", 0);
  for (let atMs = 0; atMs < 8_000; atMs += 1_000 / callsPerSecond) {
    record.recordCall("s1", caller, atMs);
    record.recordTold("s1", { caller, text: "2", atMs: atMs + 5 });
  }
  return record;
}

test("should find a server that gets more than one and a half times its limit", () => {
  expect(recordOf(5, "vm1").findViolations().length).toEqual(1);
  expect(recordOf(5).findViolations().length).toEqual(1);
  expect(recordOf(4, "vm1").findViolations()).toEqual([]);
});

test("should not count calls of a VM that got no answer with the limit", () => {
  const record = new RequestLimitRecord();
  record.nameLimit("s1", "2", 0);
  for (let atMs = 0; atMs < 8_000; atMs += 100) {
    record.recordCall("s1", "vm1", atMs);
  }
  expect(record.findViolations()).toEqual([]);
});

test("should judge a window with a falling limit by its parts", () => {
  const record = recordOf(4, "vm1");
  record.nameLimit("s1", "0", 8_000);
  for (let atMs = 8_000; atMs < 12_000; atMs += 250) {
    record.recordCall("s1", "vm1", atMs);
  }
  expect(record.findViolations().length).toEqual(1);
});

test("should allow any number of calls once the limit is lifted", () => {
  const record = recordOf(4, "vm1");
  record.nameLimit("s1", undefined, 8_000);
  for (let atMs = 8_000; atMs < 12_000; atMs += 20) {
    record.recordCall("s1", "vm1", atMs);
  }
  expect(record.findViolations()).toEqual([]);
});

/** Nobody can keep a limit that no answer has told. */
test("should not bind callers by text that is no rate", () => {
  const record = new RequestLimitRecord();
  record.nameLimit("s1", "2", 0);
  record.nameLimit("s1", "not a rate", 10);
  for (let atMs = 100; atMs < 8_000; atMs += 100) {
    record.recordCall("s1", undefined, atMs);
    const told = { caller: undefined, text: "not a rate", atMs: atMs + 5 };
    record.recordTold("s1", told);
  }
  expect(record.findViolations()).toEqual([]);
});
