import { expect } from "earl";
import { test } from "node:test";
import { shouldShedForLag } from "./lag_shedding.ts";

const SERVICE_MS = 100;
const TARGET_MS = 300;
/** Processor time of a request that is forwarded, and of one refused. */
const FORWARD_MS = 6;
const REFUSE_MS = 1.2;
/** Between two arrivals: a third more than the VM can forward. */
const ARRIVAL_MS = 4.5;

/** Requests of ten seconds at one VM; how many are answered within the target. */
function answeredInTarget(
  mustRefuse: (lagMs: number, nowMs: number, arrivedMs: number) => boolean,
): number {
  let nowMs = 0;
  let answered = 0;
  for (let arrivedMs = 0; arrivedMs < 10_000; arrivedMs += ARRIVAL_MS) {
    nowMs = Math.max(nowMs, arrivedMs);
    const targetMs = arrivedMs + TARGET_MS;
    if (mustRefuse(nowMs - arrivedMs, nowMs, arrivedMs)) {
      nowMs += REFUSE_MS;
      continue;
    }
    nowMs += FORWARD_MS;
    if (nowMs + SERVICE_MS <= targetMs) answered++;
  }
  return answered;
}

/** Guards against a VM that falls behind and answers every caller too late. */
test("should answer most callers on time at a VM with too little processor", () => {
  const requests = 10_000 / ARRIVAL_MS;
  const all = answeredInTarget((lagMs) => lagMs > 400);
  const shed = answeredInTarget((lagMs, nowMs, arrivedMs) =>
    shouldShedForLag({
      lagMs,
      nowMs,
      arrivedMs,
      targetLatencyMs: TARGET_MS,
      serviceMs: SERVICE_MS,
    })
  );
  expect(all < 0.1 * requests).toEqual(true);
  expect(shed > 0.6 * requests).toEqual(true);
});

test("should not blame the loop for a request that is late anyhow", () => {
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
