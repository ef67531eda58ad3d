import { expect } from "earl";
import { test } from "node:test";
import { countBudgetSharers, SharedRetryBudget } from "./mod.ts";

const OPTIONS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Guards against retries that together exceed the shared budget. */
test("should keep the sum over all VMs within the budget in any window", () => {
  const vmCount = 8;
  const budgets = Array.from(
    { length: vmCount },
    () => new SharedRetryBudget(OPTIONS),
  );
  const retries: number[] = [];
  const requests: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 25) {
    for (const budget of budgets) {
      budget.recordRequest(nowMs);
      requests.push(nowMs);
      if (budget.tryTake(nowMs, vmCount)) retries.push(nowMs);
    }
  }
  for (let fromMs = 0; fromMs <= 50_000; fromMs += 500) {
    const isIn = (atMs: number) => atMs >= fromMs && atMs < fromMs + 10_000;
    const allowed = 0.2 * requests.filter(isIn).length + 56;
    expect(retries.filter(isIn).length <= allowed).toEqual(true);
  }
  expect(retries.length > 2_000).toEqual(true);
});

test("should allow no retry once this VM's share of the slack is used", () => {
  const budget = new SharedRetryBudget(OPTIONS);
  let taken = 0;
  while (budget.tryTake(1_000, 8)) taken++;
  expect(taken).toEqual(5);
  expect(budget.tryTake(10_000, 8)).toEqual(false);
  expect(budget.tryTake(11_600, 8)).toEqual(true);
});

/**
 * Guards against VMs that spend the parts of lost VMs in the window in which
 * these have spent them.
 */
test("should not let VMs take over the slack of VMs that were lost", () => {
  const vmCount = 8;
  const lostAtMs = 10_000;
  const survivors = 3;
  const budgets = Array.from(
    { length: vmCount },
    () => new SharedRetryBudget(OPTIONS),
  );
  let taken = 0;
  for (let nowMs = 8_000; nowMs < 14_000; nowMs += 250) {
    const liveCount = nowMs < lostAtMs ? vmCount : survivors;
    for (const budget of budgets.slice(0, liveCount)) {
      const sharers = countBudgetSharers({
        knownCount: vmCount,
        hasSeeds: true,
      });
      while (budget.tryTake(nowMs, sharers)) taken++;
    }
  }
  expect(taken <= OPTIONS.slack).toEqual(true);
});

/** Guards against a VM that spends all of the slack as it has just started. */
test("should have no slack while a VM has heard of no other one", () => {
  const alone = { knownCount: 1 };
  const budget = new SharedRetryBudget(OPTIONS);
  const sharers = countBudgetSharers({ ...alone, hasSeeds: true });
  expect(budget.tryTake(1_000, sharers)).toEqual(false);
  expect(countBudgetSharers({ ...alone, hasSeeds: false })).toEqual(1);
});

/** Guards against processes that spend their part again when they restart. */
test("should keep the sum within the budget while all VMs restart", () => {
  const vmCount = 8;
  const restartsAtMs = [10_000, 13_000, 16_000];
  const { ratio, slack, windowMs } = OPTIONS;
  let budgets = Array.from(
    { length: vmCount },
    () => new SharedRetryBudget(OPTIONS),
  );
  const retries: number[] = [];
  let requests = 0;
  for (let nowMs = 9_000; nowMs < 19_000; nowMs += 250) {
    if (restartsAtMs.includes(nowMs)) {
      const slackFromMs = nowMs + windowMs;
      budgets = budgets.map(() =>
        new SharedRetryBudget({ ...OPTIONS, slackFromMs })
      );
    }
    for (const budget of budgets) {
      budget.recordRequest(nowMs);
      requests++;
      while (budget.tryTake(nowMs, vmCount)) retries.push(nowMs);
    }
  }
  expect(retries.length <= ratio * requests + slack).toEqual(true);
  expect(retries.some((atMs) => atMs > 13_000)).toEqual(true);
});
