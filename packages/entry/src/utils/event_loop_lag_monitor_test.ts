import { expect } from "earl";
import { test } from "node:test";
import { createJumpingClock } from "./clock_test_support.ts";
import { EventLoopLagMonitor } from "./event_loop_lag_monitor.ts";

/** Guards against treating a request that was read late as fresh. */
test("should include the delay of the iteration before a request is read", () => {
  let nowMs = 0;
  const { clock } = createJumpingClock(() => nowMs);
  const monitor = new EventLoopLagMonitor(clock);
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
  const { clock } = createJumpingClock(() => nowMs);
  const monitor = new EventLoopLagMonitor(clock);
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

/**
 * Guards against requests that are refused for lag after a step of the wall
 * clock, and against a suspension after which callers count as still there.
 */
test("should count a jump of the wall clock as lag that data may have had", () => {
  let nowMs = 0;
  const { clock, jumpWallClock } = createJumpingClock(() => nowMs);
  const monitor = new EventLoopLagMonitor(clock);
  nowMs = 20;
  monitor.tick();
  nowMs = 30;
  jumpWallClock(2_000);
  expect(monitor.lagMs).toEqual(0);
  expect(monitor.maxLagMs).toEqual(1_990);
  nowMs = 40;
  monitor.tick();
  expect(monitor.lagMs).toEqual(0);
  expect(monitor.isSustained).toEqual(false);
  expect(monitor.maxLagMs).toEqual(2_000);
  nowMs = 60;
  monitor.tick();
  nowMs = 80;
  monitor.tick();
  expect(monitor.maxLagMs).toEqual(0);
});
