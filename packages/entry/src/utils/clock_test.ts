import { expect } from "earl";
import { test } from "node:test";
import { createJumpingClock } from "./clock_test_support.ts";

/** A clock on a machine that can be suspended and whose wall clock can be set. */
function createClock() {
  let monotonicMs = 1_000;
  const { clock, jumpWallClock } = createJumpingClock(() => monotonicMs);
  return {
    clock,
    run: (ms: number) => {
      monotonicMs += ms;
    },
    jump: jumpWallClock,
  };
}

/** Guards against leases that count as over after a step of the wall clock. */
test("should not count a jump of the wall clock as time that has passed", () => {
  const { clock, run, jump } = createClock();
  const startMs = clock.nowMs();
  run(100);
  jump(2_000);
  expect(clock.takeJumpsMs()).toEqual([2_000]);
  run(100);
  jump(-2_000);
  expect(clock.takeJumpsMs()).toEqual([-2_000]);
  expect(clock.nowMs() - startMs).toEqual(200);
});

/** Guards against confirmations that stay fresh over a suspension. */
test("should count a forward jump as time that may have passed", () => {
  const { clock, run, jump } = createClock();
  const startMs = clock.nowMs();
  run(100);
  jump(2_000);
  expect(clock.maxElapsedMs(startMs)).toEqual(2_100);
  run(100);
  const laterMs = clock.nowMs();
  run(100);
  expect(clock.maxElapsedMs(startMs)).toEqual(2_300);
  expect(clock.maxElapsedMs(laterMs)).toEqual(100);
});

/** Guards against a step back that hides a later suspension. */
test("should count a forward jump in full after a step back", () => {
  const { clock, run, jump } = createClock();
  jump(-3_000);
  const startMs = clock.nowMs();
  expect(clock.maxElapsedMs(startMs)).toEqual(0);
  run(100);
  jump(2_000);
  expect(clock.maxElapsedMs(startMs)).toEqual(2_100);
  expect(clock.takeJumpsMs()).toEqual([-3_000, 2_000]);
});

/** Guards against many short suspensions that go uncounted. */
test("should add up jumps that are too short to count each", () => {
  const { clock, run, jump } = createClock();
  const startMs = clock.nowMs();
  for (let count = 0; count < 20; count++) {
    run(10);
    jump(50);
    clock.maxElapsedMs(startMs);
  }
  expect(clock.maxElapsedMs(startMs)).toEqual(200 + 1_000);
});

/** Guards against a list of jumps that grows, and against one that forgets. */
test("should count any number of jumps", () => {
  const { clock, run, jump } = createClock();
  const startMs = clock.nowMs();
  for (let count = 0; count < 1_000; count++) {
    run(10);
    jump(1_000);
    clock.takeJumpsMs();
  }
  expect(clock.maxElapsedMs(startMs)).toEqual(1_010_000);
});

/**
 * Guards against a call that seems to have ended before another event here, as
 * this machine was suspended between the two.
 */
test("should take the latest possible time of what a peer says is an age ago", () => {
  const { clock, run, jump } = createClock();
  run(5_000);
  expect(clock.latestTimeMs(400)).toEqual(clock.nowMs() - 400);
  jump(1_000);
  expect(clock.latestTimeMs(400)).toEqual(clock.nowMs());
  expect(clock.latestTimeMs(1_400)).toEqual(clock.nowMs() - 400);
  run(500);
  expect(clock.latestTimeMs(400)).toEqual(clock.nowMs() - 400);
});
