import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as admission from "./mod.ts";

const SERVER = "s1" as contracts.ServerId;
const BORNE_PER_SECOND = 5.4;
const BOUND = { excessRatio: 1.5, slack: 8 };
const MOST_IN_A_SECOND = BORNE_PER_SECOND * BOUND.excessRatio + BOUND.slack;
const COLD_MS = 3_000;

function limitAt(
  place: number | undefined,
  options: Partial<admission.ColdStartLimitOptions> = {},
): admission.ColdStartLimit {
  return new admission.ColdStartLimit({
    bound: BOUND,
    coldUntilMs: () => COLD_MS,
    requestsPerSecond: () => BORNE_PER_SECOND,
    placeOf: () => place,
    parts: admission.EQUAL_PARTS,
    ...options,
  });
}

/** Begins whatever may begin; the times of all begins. */
function beginAll(limits: readonly admission.ColdStartLimit[]): number[] {
  const beginsMs: number[] = [];
  for (let nowMs = 0; nowMs < COLD_MS; nowMs += 5) {
    for (const limit of limits) {
      if (!limit.mayBegin(SERVER, nowMs)) continue;
      limit.noteBegin(SERVER, nowMs);
      beginsMs.push(nowMs);
    }
  }
  return beginsMs;
}

function mostInASecond(beginsMs: readonly number[]): number {
  return Math.max(
    ...beginsMs.map((fromMs) =>
      beginsMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length
    ),
  );
}

for (
  const [name, parts] of [
    ["VMs that send on their own", admission.EQUAL_PARTS],
    ["coordinators that replace one another", admission.COORDINATOR_PARTS],
  ] as const
) {
  /** Guards against a sum that grows with the number of VMs. */
  test(`should keep the bound over eighty ${name}`, () => {
    const limits = Array.from(
      { length: 80 },
      (_, place) => limitAt(place, { parts }),
    );
    const most = mostInASecond(beginAll(limits));
    expect(most <= MOST_IN_A_SECOND).toEqual(true);
    expect(most >= BORNE_PER_SECOND).toEqual(true);
  });
}

/** Guards against a bound so narrow that each VM's first request breaks it. */
test("should keep a bound without slack", () => {
  const bound = { excessRatio: 1, slack: 0 };
  const limits = [0, 1, 2].map((place) => limitAt(place, { bound }));
  expect(mostInASecond(beginAll(limits)) <= BORNE_PER_SECOND).toEqual(true);
});

/** Guards against a VM that takes another's place because it knows too few. */
test("should begin nothing while its place is not known", () => {
  expect(beginAll([limitAt(undefined)])).toEqual([]);
});

test("should leave warm servers and services without a bound alone", () => {
  expect(limitAt(undefined).mayBegin(SERVER, COLD_MS)).toEqual(true);
  const unbound = limitAt(undefined, { requestsPerSecond: () => undefined });
  expect(unbound.mayBegin(SERVER, 0)).toEqual(true);
});
