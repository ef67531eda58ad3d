import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { RepeatedBroadcast } from "./repeated_broadcast.ts";

const DELAY_MS = 20;

/** Guards against a process that ends when a repetition can't be sent. */
test("should log a repetition that throws", async () => {
  const failed: unknown[] = [];
  const lifeCycle = new LifeCycle({
    error: (_message, fields) => failed.push(fields?.name),
  });
  const broadcasts = new RepeatedBroadcast(DELAY_MS);
  broadcasts.start(lifeCycle, "news");
  let sends = 0;
  broadcasts.send(() => {
    sends++;
    if (sends > 1) throw new RangeError("Too deep");
  });
  await timers.setTimeout(5 * DELAY_MS);
  await lifeCycle.stop();
  expect(sends).toEqual(2);
  expect(failed).toEqual(["news"]);
});
