import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as admission from "./mod.ts";

const SERVER = "s1" as contracts.ServerId;
const SUSTAINED_PER_SECOND = 5.4;
const BOUND = { excessRatio: 1.5, slack: 8 };
const MAX_IN_A_SECOND = SUSTAINED_PER_SECOND * BOUND.excessRatio + BOUND.slack;
const COLD_MS = 3_000;

function limitAt(
  place: number | undefined,
  options: Partial<admission.ColdStartLimitOptions> = {},
): admission.ColdStartLimit {
  return new admission.ColdStartLimit({
    bound: BOUND,
    coldUntilMs: () => COLD_MS,
    requestsPerSecond: () => SUSTAINED_PER_SECOND,
    rankOf: () => place,
    rateShares: admission.EQUAL_SHARES,
    ...options,
  });
}

/** Begins whatever may begin; the times of all begins. */
function startAll(limits: readonly admission.ColdStartLimit[]): number[] {
  const beginsMs: number[] = [];
  for (let nowMs = 0; nowMs < COLD_MS; nowMs += 5) {
    for (const limit of limits) {
      if (!limit.mayStart(SERVER, nowMs)) continue;
      limit.recordStart(SERVER, nowMs);
      beginsMs.push(nowMs);
    }
  }
  return beginsMs;
}

function maxInASecond(beginsMs: readonly number[]): number {
  return Math.max(
    ...beginsMs.map((fromMs) =>
      beginsMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length
    ),
  );
}

for (
  const [name, parts] of [
    ["VMs that send on their own", admission.EQUAL_SHARES],
    ["coordinators that replace one another", admission.COORDINATOR_SHARES],
  ] as const
) {
  /** Guards against a sum that grows with the number of VMs. */
  test(`should keep the bound over eighty ${name}`, () => {
    const limits = Array.from(
      { length: 80 },
      (_, place) => limitAt(place, { rateShares: parts }),
    );
    const most = maxInASecond(startAll(limits));
    expect(most <= MAX_IN_A_SECOND).toEqual(true);
    expect(most >= SUSTAINED_PER_SECOND).toEqual(true);
  });
}

/** Guards against a bound so narrow that each VM's first request breaks it. */
test("should keep a bound without slack", () => {
  const bound = { excessRatio: 1, slack: 0 };
  const limits = [0, 1, 2].map((place) => limitAt(place, { bound }));
  expect(maxInASecond(startAll(limits)) <= SUSTAINED_PER_SECOND).toEqual(true);
});

/** Guards against a VM that takes another's place because it knows too few. */
test("should begin nothing while its place is not known", () => {
  expect(startAll([limitAt(undefined)])).toEqual([]);
});

test("should leave warm servers and services without a bound alone", () => {
  expect(limitAt(undefined).mayStart(SERVER, COLD_MS)).toEqual(true);
  const unbound = limitAt(undefined, { requestsPerSecond: () => undefined });
  expect(unbound.mayStart(SERVER, 0)).toEqual(true);
});
