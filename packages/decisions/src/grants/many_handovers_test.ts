/** A leader that hands over many ranges at once. */
import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const VOTERS = Array.from(
  { length: 6 },
  (_, index) => `vm${index}` as contracts.VmId,
);
const REVISION = 10_000;
const NOW_MS = 100_000;
const RUNS = 7;
/** Twice as much work for twice as many ranges, and some for the machine. */
const FACTOR = 8;
const MAX_RATIO = 2 * FACTOR;

function owner(name: string): contracts.RangeOwner {
  return { server: name as contracts.ServerId, bornMs: 1 };
}

/** A map whose ranges are all in handover, each from another old owner. */
function createMap(count: number): contracts.RangeMap {
  const width = Math.floor(KEY_COUNT / count);
  const ranges = Array.from({ length: count }, (_, index) => ({
    fromKey: index * width,
    toKey: index === count - 1 ? KEY_COUNT - 1 : (index + 1) * width - 1,
    owner: owner("next"),
    fence: index + 1,
    vacating: { ...owner(`old${index}`), fence: 0, revision: index + 1 },
  }));
  return {
    service: "s" as contracts.ServiceId,
    revision: REVISION,
    lastFence: count,
    keeperSets: [VOTERS],
    holdMs: 1_500,
    ranges,
    nonce: "n",
  };
}

/** Time that a leader needs to look at each of so many handovers once. */
function reviewMs(count: number): number {
  const map = createMap(count);
  const reports = new grants.VoterReports();
  const handovers = map.ranges.map(({ vacating }) => ({
    server: vacating!.server,
    revision: vacating!.revision,
    lastGrantMs: NOW_MS - 2_000,
    leaseEndMs: NOW_MS + 60_000,
    unansweredLeaseEndMs: undefined,
  }));
  for (const vm of VOTERS) {
    reports.noteReport({
      vm,
      revision: REVISION,
      hasReadMap: true,
      requestedAtMs: NOW_MS,
      receivedAtMs: NOW_MS,
      startedAtMs: 0,
      lastGrantMs: new Map(),
      lastUnansweredMs: new Map(),
      handovers: [...handovers],
    });
  }
  const controller = new grants.HandoverController(
    map.service,
    reports,
    grants.DEFAULT_GRANT_TIMINGS,
  );
  controller.noteCallResult(
    { kind: "found", stored: { map, version: "1" } },
    NOW_MS,
  );
  controller.checkAcknowledgements(NOW_MS, new Set());
  const startMs = performance.now();
  const releases = controller.takeReleases(NOW_MS);
  controller.nextCall({
    nowMs: NOW_MS,
    usable: new Map(),
    voters: VOTERS,
    leaseMs: 1_500,
    removedVoters: new Set(),
    plan: () => [],
    nonce: () => "n",
  });
  const tookMs = performance.now() - startMs;
  expect(releases.length).toEqual(count);
  return tookMs;
}

/** Guards against a leader that is busy with its handovers and ends none of them. */
test("should review handovers in a time that grows with their number only", () => {
  const shortestMs = (count: number) =>
    Math.min(...Array.from({ length: RUNS }, () => reviewMs(count)));
  shortestMs(100);
  const fewMs = shortestMs(200);
  const manyMs = shortestMs(200 * FACTOR);
  expect(manyMs / fewMs).toBeLessThan(MAX_RATIO);
});
