import { expect } from "earl";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";
import {
  decideRetry,
  type DecideRetryOptions,
  type FailedAttempt,
} from "./retry_policy.ts";

const NOT_CONNECTED: FailedAttempt = {
  kind: "not-run",
  reason: "not-connected",
};
const NOT_OWNER: FailedAttempt = {
  kind: "not-run",
  reason: "refused-by-server",
  refusal: "not-owner",
};
const BUSY: FailedAttempt = {
  kind: "not-run",
  reason: "refused-by-server",
  refusal: "busy",
};
const COLD: FailedAttempt = {
  kind: "not-run",
  reason: "refused-by-server",
  refusal: "cold",
};
const TIMED_OUT: FailedAttempt = {
  kind: "unknown",
  reason: "timeout-after-send",
};

interface Case {
  readonly name: string;
  readonly failure: FailedAttempt;
  readonly options: Partial<DecideRetryOptions>;
  readonly expected: "retry" | FailedAttempt["reason"];
}

const CASES: readonly Case[] = [
  {
    name: "retry a booking that was proved not to have run",
    failure: NOT_CONNECTED,
    options: {},
    expected: "retry",
  },
  {
    name: "not retry a booking that may have run",
    failure: TIMED_OUT,
    options: {},
    expected: "timeout-after-send",
  },
  {
    name: "retry an idempotent request that may have run",
    failure: TIMED_OUT,
    options: { isIdempotent: true },
    expected: "retry",
  },
  {
    name: "give up when no other server is left",
    failure: NOT_CONNECTED,
    options: { hasOtherServer: false },
    expected: "not-connected",
  },
  {
    name: "give up when the deadline is near",
    failure: NOT_CONNECTED,
    options: { timeLeftMs: 1 },
    expected: "not-connected",
  },
  {
    name: "give up after several attempts",
    failure: NOT_CONNECTED,
    options: { attempts: 4 },
    expected: "not-connected",
  },
  {
    name: "keep to the budget",
    failure: NOT_CONNECTED,
    options: { budget: emptyBudget() },
    expected: "retry-budget",
  },
  {
    name: "say unknown, not the budget, when the request may have run",
    failure: TIMED_OUT,
    options: { isIdempotent: true, budget: emptyBudget() },
    expected: "timeout-after-send",
  },
  {
    name: "wait for a moving key without touching the budget",
    failure: NOT_OWNER,
    options: { isKeyed: true, attempts: 9, budget: emptyBudget() },
    expected: "retry",
  },
  {
    name: "wait for the next owner of a key whose owner is lost",
    failure: NOT_CONNECTED,
    options: { isKeyed: true, attempts: 9, budget: emptyBudget() },
    expected: "retry",
  },
  {
    name: "wait for a full server without touching the budget",
    failure: BUSY,
    options: { attempts: 9, budget: emptyBudget() },
    expected: "retry",
  },
  {
    name: "not wait for a full server beyond the deadline",
    failure: BUSY,
    options: { timeLeftMs: 1 },
    expected: "refused-by-server",
  },
  {
    name: "count a cold server's refusal as a failure",
    failure: COLD,
    options: { budget: emptyBudget() },
    expected: "retry-budget",
  },
];

function emptyBudget(): RetryBudget {
  const budget = new RetryBudget();
  while (budget.tryTake()) { /* until it is empty */ }
  return budget;
}

for (const { name, failure, options, expected } of CASES) {
  test(`should ${name}`, () => {
    const decision = decideRetry(failure, {
      isIdempotent: false,
      isKeyed: false,
      attempts: 1,
      hasOtherServer: true,
      timeLeftMs: 100,
      budget: new RetryBudget(),
      ...options,
    });
    const told = decision.kind === "retry" ? "retry" : decision.failure.reason;
    expect(told).toEqual(expected);
  });
}
