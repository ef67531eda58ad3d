import { expect } from "earl";
import { test } from "node:test";
import { FirstAttempts } from "./first_attempts.ts";

test("should tell how long a caller that comes back has waited", () => {
  const attempts = new FirstAttempts();
  for (let request = 0; request < 100; request++) {
    expect(attempts.waitedBeforeMs(1_200)).toEqual(0);
  }
  const waitedMs = attempts.waitedBeforeMs(700);
  expect(Math.abs(waitedMs - 500) < 5).toEqual(true);
  expect(attempts.waitedBeforeMs(undefined)).toEqual(0);
});

/**
 * Callers of one route wait for different times. None of them has come back,
 * and those with little time must not go behind the others for that.
 */
test("should not take callers with less time for such that come back", () => {
  const attempts = new FirstAttempts();
  for (let request = 0; request < 300; request++) {
    attempts.waitedBeforeMs(400 + 200 * (request % 5));
  }
  expect(attempts.waitedBeforeMs(400)).toEqual(0);
});
