import { expect } from "earl";
import * as timers from "node:timers/promises";
import { test } from "node:test";
import { LifeCycle } from "./life_cycle.ts";

async function withLifeCycle(
  run: (lifeCycle: LifeCycle) => Promise<void>,
): Promise<void> {
  const lifeCycle = new LifeCycle();
  try {
    await run(lifeCycle);
  } finally {
    await lifeCycle.stop();
  }
}

test("should keep the average interval of each task", () =>
  withLifeCycle(async (lifeCycle) => {
    let fast = 0;
    let slow = 0;
    lifeCycle.every(25, () => fast++);
    lifeCycle.every(100, () => slow++);
    await timers.setTimeout(1_020);
    expect(fast >= 30 && fast <= 42).toEqual(true);
    expect(slow >= 8 && slow <= 11).toEqual(true);
  }));

/** Guards against wake-ups of an idle process. */
test("should set no timer while all tasks are paused", () =>
  withLifeCycle(async (lifeCycle) => {
    let count = 0;
    const task = lifeCycle.every(10, () => count++);
    task.setIntervalMs(Number.POSITIVE_INFINITY);
    await timers.setTimeout(100);
    expect(count).toEqual(0);
    expect(task.setIntervalMs(10)).toEqual(true);
    expect(task.setIntervalMs(10)).toEqual(false);
    await timers.setTimeout(100);
    expect(count >= 5).toEqual(true);
  }));

test("should run a task added while another one has a long interval", () =>
  withLifeCycle(async (lifeCycle) => {
    lifeCycle.every(60_000, () => {});
    let count = 0;
    lifeCycle.every(20, () => count++);
    await timers.setTimeout(200);
    expect(count >= 5).toEqual(true);
  }));
