import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as admission from "./mod.ts";

const SERVER = "s1" as contracts.ServerId;
const SUSTAINED_PER_SECOND = 5.4;
const BOUND = { excessRatio: 1.5, slack: 8 };
const MAX_IN_A_SECOND = SUSTAINED_PER_SECOND * BOUND.excessRatio + BOUND.slack;
const COLD_MS = 3_000;

function limitAtRank(
  rank: number | undefined,
  options: Partial<admission.ColdStartOptions> = {},
): admission.ServerRateLimit {
  return new admission.ServerRateLimit({
    coldStart: {
      bound: BOUND,
      coldUntilMs: () => COLD_MS,
      requestsPerSecond: () => SUSTAINED_PER_SECOND,
      rankOf: () => rank,
      rateShares: admission.EQUAL_SHARES,
      ...options,
    },
  });
}

/** Starts a request whenever one may start; returns the times of all starts. */
function startAll(limits: readonly admission.ServerRateLimit[]): number[] {
  const startsMs: number[] = [];
  for (let nowMs = 0; nowMs < COLD_MS; nowMs += 5) {
    for (const limit of limits) {
      if (!limit.mayStart(SERVER, nowMs)) continue;
      limit.recordStart(SERVER, nowMs);
      startsMs.push(nowMs);
    }
  }
  return startsMs;
}

function maxInASecond(startsMs: readonly number[]): number {
  return Math.max(
    ...startsMs.map((fromMs) =>
      startsMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length
    ),
  );
}

for (
  const [name, rateShares] of [
    ["VMs that send independently", admission.EQUAL_SHARES],
    ["coordinators that fail over", admission.COORDINATOR_SHARES],
  ] as const
) {
  /** Guards against a total rate that grows with the number of VMs. */
  test(`should keep within the bound over 80 ${name}`, () => {
    const limits = Array.from(
      { length: 80 },
      (_, rank) => limitAtRank(rank, { rateShares }),
    );
    const most = maxInASecond(startAll(limits));
    expect(most <= MAX_IN_A_SECOND).toEqual(true);
    expect(most >= SUSTAINED_PER_SECOND).toEqual(true);
  });
}

/** Guards against a first request of each VM that exceeds a narrow bound. */
test("should keep within a bound without slack", () => {
  const bound = { excessRatio: 1, slack: 0 };
  const limits = [0, 1, 2].map((rank) => limitAtRank(rank, { bound }));
  expect(maxInASecond(startAll(limits)) <= SUSTAINED_PER_SECOND).toEqual(true);
});

/** Guards against two VMs with the same rank while one knows too few VMs. */
test("should start no request while the VM's rank is not known", () => {
  expect(startAll([limitAtRank(undefined)])).toEqual([]);
});

test("should not limit warm servers and services without a configured rate", () => {
  expect(limitAtRank(undefined).mayStart(SERVER, COLD_MS)).toEqual(true);
  const unlimited = limitAtRank(undefined, {
    requestsPerSecond: () => undefined,
  });
  expect(unlimited.mayStart(SERVER, 0)).toEqual(true);
});
