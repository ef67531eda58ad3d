import { expect } from "earl";
import { test } from "node:test";
import { SharedRetryBudget } from "./mod.ts";

const OPTIONS = { ratio: 0.2, slack: 56, windowMs: 10_000 };

/** Guards against second sends that together exceed the shared budget. */
test("should keep all VMs together within the budget in any window", () => {
  const vmCount = 8;
  const budgets = Array.from(
    { length: vmCount },
    () => new SharedRetryBudget(OPTIONS),
  );
  const repeats: number[] = [];
  const requests: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 25) {
    for (const budget of budgets) {
      budget.recordRequest(nowMs);
      requests.push(nowMs);
      if (budget.tryTake(nowMs, vmCount)) repeats.push(nowMs);
    }
  }
  for (let fromMs = 0; fromMs <= 50_000; fromMs += 500) {
    const isIn = (atMs: number) => atMs >= fromMs && atMs < fromMs + 10_000;
    const allowed = 0.2 * requests.filter(isIn).length + 56;
    expect(repeats.filter(isIn).length <= allowed).toEqual(true);
  }
  expect(repeats.length > 2_000).toEqual(true);
});

test("should give nothing once the share of the slack is used", () => {
  const budget = new SharedRetryBudget(OPTIONS);
  let taken = 0;
  while (budget.tryTake(1_000, 8)) taken++;
  expect(taken).toEqual(5);
  expect(budget.tryTake(10_000, 8)).toEqual(false);
  expect(budget.tryTake(11_600, 8)).toEqual(true);
});
