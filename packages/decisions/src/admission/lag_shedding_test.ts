import { expect } from "earl";
import { test } from "node:test";
import { shouldShedForLag } from "./lag_shedding.ts";

const SERVICE_MS = 100;
const TARGET_MS = 300;
/** Processor time to forward a request, and to refuse one. */
const FORWARD_MS = 6;
const REFUSE_MS = 1.2;
/** Time between arrivals: a third more requests than the VM can forward. */
const ARRIVAL_MS = 4.5;

/**
 * Counts the requests of 10 s that one VM answers within the target latency.
 */
function countAnsweredInTarget(
  shouldShed: (lagMs: number, nowMs: number, arrivedMs: number) => boolean,
): number {
  let nowMs = 0;
  let answered = 0;
  for (let arrivedMs = 0; arrivedMs < 10_000; arrivedMs += ARRIVAL_MS) {
    nowMs = Math.max(nowMs, arrivedMs);
    const targetMs = arrivedMs + TARGET_MS;
    if (shouldShed(nowMs - arrivedMs, nowMs, arrivedMs)) {
      nowMs += REFUSE_MS;
      continue;
    }
    nowMs += FORWARD_MS;
    if (nowMs + SERVICE_MS <= targetMs) answered++;
  }
  return answered;
}

/** Guards against an overloaded VM that answers every request too late. */
test("should answer most requests on time on an overloaded VM", () => {
  const requests = 10_000 / ARRIVAL_MS;
  const withoutShedding = countAnsweredInTarget((lagMs) => lagMs > 400);
  const withShedding = countAnsweredInTarget((lagMs, nowMs, arrivedMs) =>
    shouldShedForLag({
      lagMs,
      nowMs,
      arrivedMs,
      targetLatencyMs: TARGET_MS,
      serviceMs: SERVICE_MS,
    })
  );
  expect(withoutShedding < 0.1 * requests).toEqual(true);
  expect(withShedding > 0.6 * requests).toEqual(true);
});

test("should not shed a request that is late even without the lag", () => {
  const request = {
    nowMs: 1_000,
    arrivedMs: 900,
    targetLatencyMs: 150,
    serviceMs: 100,
  };
  expect(shouldShedForLag({ ...request, lagMs: 20 })).toEqual(false);
  expect(shouldShedForLag({ ...request, lagMs: 90 })).toEqual(true);
  expect(shouldShedForLag({ ...request, lagMs: 0 })).toEqual(false);
});
