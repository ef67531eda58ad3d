import { expect } from "earl";
import { test } from "node:test";
import { EventLoopLagMonitor } from "./event_loop_lag_monitor.ts";

/** Guards against a late-read request that counts as fresh. */
test("should count the turn before a request is read", () => {
  let nowMs = 0;
  const lag = new EventLoopLagMonitor(() => nowMs);
  nowMs = 20;
  lag.tick();
  expect(lag.lagMs).toEqual(0);
  nowMs = 540;
  lag.tick();
  expect(lag.lagMs).toEqual(500);
  nowMs = 860;
  expect(lag.lagMs).toEqual(800);
  lag.tick();
  nowMs = 880;
  lag.tick();
  expect(lag.lagMs).toEqual(0);
});
