import { expect } from "earl";
import * as timers from "node:timers/promises";
import { test } from "node:test";
import { LifeCycle } from "./life_cycle.ts";

/** Names of the parts whose errors were logged. */
type FailedParts = unknown[];

async function withLifeCycle(
  run: (lifeCycle: LifeCycle, failed: FailedParts) => Promise<void>,
): Promise<void> {
  const failed: FailedParts = [];
  const lifeCycle = new LifeCycle({
    error: (_message, fields) => failed.push(fields?.name),
  });
  try {
    await run(lifeCycle, failed);
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

function fail(): never {
  throw new RangeError("Maximum call stack size exceeded");
}

/** Guards against a process that ends, and tasks that stay away, by a task that throws. */
test("should keep a task that throws and the others running", () =>
  withLifeCycle(async (lifeCycle, failed) => {
    let throwing = 0;
    let sound = 0;
    const countAndFail = () => {
      throwing++;
      fail();
    };
    lifeCycle.every(20, countAndFail, "throws");
    lifeCycle.every(20, () => sound++, "sound");
    lifeCycle.every(20, () => Promise.reject(new Error("Later")), "rejects");
    await timers.setTimeout(300);
    expect(throwing >= 5 && sound >= 5).toEqual(true);
    // One line each in a second, however often they throw.
    expect(failed.sort()).toEqual(["rejects", "throws"]);
  }));

/** Guards against a loop that ends, or spins, after a step that throws. */
test("should go on with a loop after pauses when its steps throw", () =>
  withLifeCycle(async (lifeCycle, failed) => {
    let steps = 0;
    lifeCycle.runLoop("loop", async () => {
      steps++;
      if (steps <= 3) fail();
      await timers.setTimeout(10);
    });
    await timers.setTimeout(120);
    expect(steps <= 3).toEqual(true);
    await timers.setTimeout(500);
    expect(steps > 5).toEqual(true);
    expect(failed).toEqual(["loop"]);
    await lifeCycle.stop();
    await timers.setTimeout(20);
    const stepsAtStop = steps;
    await timers.setTimeout(100);
    expect(steps).toEqual(stepsAtStop);
  }));

/** Guards against a process that ends by a promise or a timer that nobody handles. */
test("should log the errors of detached promises and of timers", () =>
  withLifeCycle(async (lifeCycle, failed) => {
    lifeCycle.detach("promise", Promise.reject(new Error("Rejected")));
    lifeCycle.after(10, fail, "timer");
    await timers.setTimeout(100);
    expect(failed).toEqual(["promise", "timer"]);
  }));
