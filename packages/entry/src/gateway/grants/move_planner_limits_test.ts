import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import { expect } from "earl";
import { test } from "node:test";
import { KEYED_SERVICE, serverEntryOf } from "./grant_test_support.ts";
import { MovePlanner } from "./move_planner.ts";

const SERVERS = ["k1", "k2", "k3", "k4"] as contracts.ServerId[];
const PLAN_INTERVAL_MS = 40;
const LIMIT_PER_SECOND = 3;
/** Servers name their limits within this time, in answers to renewals. */
const NAMED_WITHIN_MS = 450;

/** Moves planned from `fromMs` on, for servers with limits since a time. */
function planUntil(
  untilMs: number,
  limitedSinceMs: ReadonlyMap<contracts.ServerId, number>,
): { atMs: number; move: grants.RangeMove }[] {
  let nowMs = 0;
  const isLimited = (server: contracts.ServerId) =>
    nowMs >= (limitedSinceMs.get(server) ?? Number.POSITIVE_INFINITY);
  const planner = new MovePlanner({
    service: KEYED_SERVICE,
    clock: { nowMs: () => nowMs },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    capacity: ({ server }) => isLimited(server) ? LIMIT_PER_SECOND : 200,
    isCold: () => false,
    maxRangesOf: (server) => isLimited(server) ? 1 : undefined,
    keepsRanges: () => false,
    backoffOf: () => undefined,
  });
  planner.start(0);
  const entries = SERVERS.map(serverEntryOf);
  const map: contracts.RangeMap = {
    service: KEYED_SERVICE,
    revision: 1,
    lastFence: SERVERS.length,
    keeperSets: [],
    holdMs: grants.DEFAULT_GRANT_TIMINGS.holdMs,
    nonce: "n",
    ranges: grants.initialRanges(entries),
  };
  const usable = new Map(entries.map((entry) => [entry.server, entry]));
  const planned = [];
  for (; nowMs < untilMs; nowMs += PLAN_INTERVAL_MS) {
    // Fifteen requests a second for the keys of each server.
    const counts = Array.from({ length: 40 }, (_, index) => [index * 1_638, 1]);
    if (nowMs % 640 === 0) {
      planner.noteKeyCounts({
        service: KEYED_SERVICE,
        counts: counts.flat(),
        serverFactors: {},
      });
    }
    for (const move of planner.plan(map, usable, nowMs)) {
      planned.push({ atMs: nowMs, move });
    }
  }
  return planned;
}

/**
 * Guards against all keys at one limited server: those of the others were moved
 * to the one that named its limit 100 ms later.
 */
test("should move no keys to a server that names a limit a little later", () => {
  const limitedSinceMs = new Map(
    SERVERS.map((server, index) => [
      server,
      2_000 + index * NAMED_WITHIN_MS / SERVERS.length,
    ]),
  );
  expect(planUntil(6_000, limitedSinceMs)).toEqual([]);
});

test("should move keys off a limited server while others have no limit", () => {
  const [limited] = SERVERS;
  const planned = planUntil(6_000, new Map([[limited!, 2_000]]));
  expect(planned.length).toBeGreaterThan(0);
  expect(planned[0]!.atMs).toBeGreaterThanOrEqual(2_600);
  expect(planned[0]!.atMs).toBeLessThan(3_000);
  expect(planned.every(({ move }) => move.to.server !== limited)).toEqual(true);
});
