import { expect } from "earl";
import { test } from "node:test";
import { EventLoopLagMonitor } from "./event_loop_lag_monitor.ts";

/** Guards against treating a request that was read late as fresh. */
test("should include the delay of the iteration before a request is read", () => {
  let nowMs = 0;
  const monitor = new EventLoopLagMonitor(() => nowMs);
  nowMs = 20;
  monitor.tick();
  expect(monitor.lagMs).toEqual(0);
  nowMs = 540;
  monitor.tick();
  expect(monitor.lagMs).toEqual(500);
  nowMs = 860;
  expect(monitor.lagMs).toEqual(800);
  monitor.tick();
  nowMs = 880;
  monitor.tick();
  expect(monitor.lagMs).toEqual(0);
});

/** Guards against a stall that is missed while ticks are rare. */
test("should find a stall after a calm time, and tick often from then on", () => {
  let nowMs = 0;
  const monitor = new EventLoopLagMonitor(() => nowMs);
  for (let count = 0; count < 50; count++) {
    nowMs += 20;
    monitor.tick();
  }
  for (let count = 0; count < 5; count++) {
    nowMs += 100;
    monitor.tick();
    expect(monitor.lagMs).toEqual(0);
  }
  nowMs += 600;
  expect(monitor.lagMs).toEqual(500);
  monitor.tick();
  nowMs += 220;
  expect(monitor.lagMs).toEqual(700);
});
