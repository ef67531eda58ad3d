import { expect } from "earl";
import { test } from "node:test";
import { WatchSchedule } from "./watch_schedule.ts";

const PREFIXES = ["config/", "servers/", "poison/"];
const INTERVAL_MS = 1_200;

/** Watches of one VM that end together call the store in bursts. */
test("should end one watch per interval", () => {
  const schedule = new WatchSchedule();
  const waitsMs = PREFIXES.map((prefix) =>
    schedule.plan(prefix, 0, INTERVAL_MS)
  );
  expect(waitsMs).toEqual([1_200, 2_400, 3_600]);
  expect(schedule.plan(PREFIXES[0]!, 1_210, INTERVAL_MS)).toEqual(3_590);
});

/** A watch that a change ends early must not leave a longer time without an answer. */
test("should fill the time of a watch that ended early", () => {
  const schedule = new WatchSchedule();
  for (const prefix of PREFIXES) schedule.plan(prefix, 0, INTERVAL_MS);
  expect(schedule.plan(PREFIXES[1]!, 100, INTERVAL_MS)).toEqual(2_300);
  schedule.remove(PREFIXES[0]!);
  expect(schedule.plan(PREFIXES[2]!, 200, INTERVAL_MS)).toEqual(1_200);
});
