import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import * as ownership from "@guavatide/decisions/ownership/mod";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { KEYED_SERVICE, serverEntryOf } from "./grant_test_support.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";
import { ServiceGrants } from "./service_grants.ts";
import { createJumpingClock } from "../../utils/clock_test_support.ts";

const VOTER = "vm1" as contracts.VmId;
const OTHER = "vm2" as contracts.VmId;
const FIRST_SERVER = "k1" as contracts.ServerId;
const SERVERS = [FIRST_SERVER, "k2", "k3", "k4"] as contracts.ServerId[];
const RANGES_PER_SERVER = 4;
/** The first range is handed over by the first server. */
const HANDED_OVER_FENCE = 1;
/** A VM that has started can be the leader by then. */
const LEADER_AFTER_MS = 900;
/** Tick interval of a voter. */
const TICK_MS = 40;

/** Guards against work that grows with the square of the number of ranges. */
test("should visit only a server's own ranges when its grant is answered", async () => {
  const { sent, visited, ...voter } = await createVoter();
  await voter.run(LEADER_AFTER_MS);
  voter.holdAnswers();
  voter.tick(grants.DEFAULT_GRANT_TIMINGS.renewMs);
  const [first] = sent.get(FIRST_SERVER)!;

  sent.clear();
  visited.clear();
  voter.answer(FIRST_SERVER);
  await timers.setImmediate();

  expect([...visited]).toEqual([FIRST_SERVER]);
  const [next] = sent.get(FIRST_SERVER)!;
  expect(next!.fence !== first!.fence).toEqual(true);
});

/**
 * Guards against requests for handed-over keys that wait for the leader's next
 * tick.
 */
test("should grant a range as soon as its handover is written", async () => {
  const { sent, ...voter } = await createVoter({ isLeader: true });
  const isGranted = () =>
    [...sent.values()].flat().some(({ fence }) => fence === HANDED_OVER_FENCE);
  // A voter counts as having granted until its start.
  const freeAtMs = grants.maxLeaseLifetimeMs(
    grants.DEFAULT_GRANT_TIMINGS,
    grants.DEFAULT_GRANT_TIMINGS.holdMs,
  );
  await voter.run(freeAtMs - TICK_MS);
  voter.answerReleases();
  await timers.setImmediate();
  voter.tick(TICK_MS);
  expect(isGranted()).toEqual(false);

  await timers.setImmediate();

  expect(isGranted()).toEqual(true);
});

/**
 * Guards against keys given on while a new run of their owner holds them by
 * grants that were meant for the run before it.
 */
test("should wait for a release by the run that has replaced the owner's", async () => {
  const { sent, ...voter } = await createVoter({ isLeader: true });
  voter.restartServer(FIRST_SERVER);
  await voter.run(LEADER_AFTER_MS);
  const fences = [...sent.values()].flat().map(({ fence }) => fence);
  expect(fences.includes(HANDED_OVER_FENCE)).toEqual(false);
  expect(voter.releasingRuns).toEqual([2]);
});

/**
 * Guards against a grant that is sent after the confirmation of its map has
 * expired.
 */
test("should withhold a grant when its map is no longer confirmed as it is sent", async () => {
  const voter = await createVoter();
  const { confirmationTtlMs, renewMs } = grants.DEFAULT_GRANT_TIMINGS;
  await voter.run(LEADER_AFTER_MS);
  voter.holdAnswers();
  voter.tick(renewMs);
  expect(voter.maySend(FIRST_SERVER)).toEqual(true);
  voter.wait(confirmationTtlMs);
  expect(voter.maySend(FIRST_SERVER)).toEqual(false);
});

/**
 * Guards against keys given on while their owner's lease runs, as a step of the
 * wall clock counts as time that has passed.
 */
test("should wait for the last lease in full when the wall clock jumps", async () => {
  const { sent, ...voter } = await createVoter({ isLeader: true });
  const isGranted = () =>
    [...sent.values()].flat().some(({ fence }) => fence === HANDED_OVER_FENCE);
  const timings = grants.DEFAULT_GRANT_TIMINGS;
  // A voter counts as having granted until its start.
  const freeAtMs = grants.maxLeaseLifetimeMs(timings, timings.holdMs);
  await voter.run(LEADER_AFTER_MS);
  voter.jumpWallClock(2_000);
  await voter.run(freeAtMs - TICK_MS);
  expect(isGranted()).toEqual(false);
  await voter.run(freeAtMs + 4 * TICK_MS);
  expect(isGranted()).toEqual(true);
});

/**
 * Guards against a grant that leaves after a suspension of the machine, and
 * before its first tick, by a confirmation from before it.
 */
test("should withhold a grant when the machine may have been suspended since its confirmation", async () => {
  const voter = await createVoter();
  const { renewMs } = grants.DEFAULT_GRANT_TIMINGS;
  await voter.run(LEADER_AFTER_MS);
  voter.holdAnswers();
  voter.tick(renewMs);
  expect(voter.maySend(FIRST_SERVER)).toEqual(true);
  voter.jumpWallClock(2_000);
  expect(voter.maySend(FIRST_SERVER)).toEqual(false);
});

const LONG_LEASE_MS = 6_000;

/** A voter with several ranges at each server. */
async function createVoter({ isLeader = false } = {}) {
  let nowMs = 0;
  const { clock, jumpWallClock } = createJumpingClock(() => nowMs);
  let isHeld = false;
  const restarted = new Set<contracts.ServerId>();
  const releases: (() => void)[] = [];
  /** The runs that were asked to release a range. */
  const releasingRuns: number[] = [];
  /** Servers whose ranges were visited. */
  const visited = new Set<contracts.ServerId>();
  const sent = new Map<contracts.ServerId, contracts.KeyGrant[]>();
  const answers = new Map<contracts.ServerId, () => void>();
  /** Whether the last grant to a server may still be sent. */
  const maySendChecks = new Map<contracts.ServerId, () => boolean>();
  let map = mapOf((server) => visited.add(server));
  let isSparing = false;
  const sentAtMs: { fence: number; atMs: number }[] = [];
  const service = new ServiceGrants({
    service: KEYED_SERVICE,
    vm: VOTER,
    timings: grants.DEFAULT_GRANT_TIMINGS,
    backoffs: {
      hasAny: false,
      isBackingOff: () => false,
      mayControl: () => true,
      isCrossing: () => false,
    },
    hasher: await ownership.KeyHasher.create(),
    maps: {
      read: () =>
        Promise.resolve({ kind: "found", stored: { map, version: "1" } }),
      write: (next: contracts.RangeMap) =>
        Promise.resolve({
          kind: "written",
          stored: { map: next, version: "2" },
        }),
    } as unknown as RangeMapStore,
    control: {
      grant: ({ server }, grant, options) => {
        maySendChecks.set(server, options.maySend!);
        sent.set(server, [...sent.get(server) ?? [], grant]);
        sentAtMs.push({ fence: grant.fence, atMs: nowMs });
        const answered = new Promise<contracts.GrantAnswer>((resolve) => {
          answers.set(server, () => resolve("granted"));
          if (!isHeld) resolve("granted");
        });
        return neverthrow.ResultAsync.fromSafePromise(answered);
      },
      release: ({ bornMs }) => {
        releasingRuns.push(bornMs);
        return neverthrow.ResultAsync.fromSafePromise(
          new Promise((resolve) => releases.push(() => resolve(undefined))),
        );
      },
      close: () => Promise.resolve(),
    },
    registry: {
      entry: ({ server }: contracts.RangeOwner) => serverEntryOf(server),
      find: (server: contracts.ServerId) => ({
        ...serverEntryOf(server),
        bornMs: restarted.has(server) ? 2 : 1,
      }),
      staying: () => SERVERS.map(serverEntryOf),
      isListed: true,
    } as unknown as ServerRegistry,
    // The VM that reaches the store is the leader. Alone, it needs no report of
    // another voter to finish a handover.
    peers: () =>
      isLeader ? [{ vm: VOTER, hasStore: true }] : [
        { vm: VOTER, hasStore: false },
        { vm: OTHER, hasStore: true },
      ],
    roleWeights: () => new Map(),
    desiredLeaseMs: () => grants.DEFAULT_GRANT_TIMINGS.holdMs,
    controlCallsPerSecond: () => isSparing ? 1.6 : undefined,
    hasUnreached: () => false,
    reaches: () => true,
    reachesAny: () => true,
    sinceLastMessageMs: () => 0,
    fetchMap: () => Promise.resolve(undefined),
    publish: () => {},
    notifyVoters: () => {},
    onChange: () => {},
    clock,
    log: { debug() {}, info() {}, warn() {}, error() {} },
    capacity: () => 10,
    isCold: () => false,
    sparingLeaseMs: () => isSparing ? LONG_LEASE_MS : undefined,
    maxRangesOf: () => undefined,
    backoffOf: () => undefined,
  });
  return {
    visited,
    sent,
    /** When grants of the first server's ranges were sent. */
    sentToFirst: () => {
      const fences = new Set(sent.get(FIRST_SERVER)?.map((it) => it.fence));
      return sentAtMs.filter(({ fence }) => fences.has(fence));
    },
    holdAnswers: () => {
      isHeld = true;
    },
    answer: (server: contracts.ServerId) => answers.get(server)!(),
    maySend: (server: contracts.ServerId) => maySendChecks.get(server)!(),
    wait: (afterMs: number) => {
      nowMs += afterMs;
    },
    jumpWallClock,
    tick: (afterMs: number) => {
      nowMs += afterMs;
      service.tick();
    },
    releasingRuns,
    answerReleases: () => {
      for (const answer of releases.splice(0)) answer();
    },
    restartServer: (server: contracts.ServerId) => restarted.add(server),
    /** The map names longer leases from now on. */
    lengthenLeases: () => {
      isSparing = true;
      const serverHoldMs = Object.fromEntries(
        SERVERS.map((server) => [server, LONG_LEASE_MS]),
      );
      map = { ...map, revision: map.revision + 1, serverHoldMs };
      service.applyUpdate({
        map: { ...map, ranges: [] },
        baseRevision: 1,
        pendingFences: [],
      });
    },
    /** Servers need no longer leases; the map goes on to allow them. */
    endLimits: () => {
      isSparing = false;
    },
    run: async (untilMs: number) => {
      for (; nowMs < untilMs; nowMs += TICK_MS) {
        service.tick();
        await timers.setImmediate();
      }
    },
  };
}

const VACATING = { server: FIRST_SERVER, bornMs: 1, fence: 99, revision: 1 };

/** Adjacent ranges belong to different servers. */
function mapOf(
  onVisit: (server: contracts.ServerId) => void,
): contracts.RangeMap {
  const count = SERVERS.length * RANGES_PER_SERVER;
  const ranges = Array.from({ length: count }, (_, index) => {
    const server = SERVERS[(index + 1) % SERVERS.length]!;
    return {
      fromKey: index * 100,
      toKey: index * 100 + 99,
      fence: index + 1,
      ...(index + 1 === HANDED_OVER_FENCE ? { vacating: VACATING } : {}),
      get owner() {
        onVisit(server);
        return { server, bornMs: 1 };
      },
    };
  });
  return {
    service: KEYED_SERVICE,
    revision: 1,
    lastFence: count,
    keeperSets: [[VOTER]],
    holdMs: grants.DEFAULT_GRANT_TIMINGS.holdMs,
    nonce: "n",
    ranges,
  };
}

/** What was granted for a short time is not due as late as what is longer. */
test("should renew a lease before it ends when the map names longer ones", async () => {
  const voter = await createVoter();
  await voter.run(1_000);
  const before = voter.sent.get(FIRST_SERVER)!.length;
  voter.lengthenLeases();
  await voter.run(1_000 + grants.DEFAULT_GRANT_TIMINGS.holdMs);
  const renewed = voter.sent.get(FIRST_SERVER)!.slice(before);
  expect(renewed.map(({ holdMs }) => holdMs).includes(LONG_LEASE_MS))
    .toEqual(true);
  expect(new Set(renewed.map(({ fromKey }) => fromKey)).size)
    .toEqual(
      new Set(voter.sent.get(FIRST_SERVER)!.map((it) => it.fromKey)).size,
    );
});

/**
 * A server that has been lost would keep its keys from others for the rest of a
 * long lease, though it had not needed that for long.
 */
test("should grant usual leases again once a server needs no longer ones", async () => {
  const voter = await createVoter();
  voter.lengthenLeases();
  await voter.run(2 * LONG_LEASE_MS);
  voter.endLimits();
  const before = voter.sent.get(FIRST_SERVER)!.length;
  const { holdMs, renewMs } = grants.DEFAULT_GRANT_TIMINGS;
  await voter.run(2 * LONG_LEASE_MS + 2 * renewMs);
  const renewed = voter.sent.get(FIRST_SERVER)!.slice(before);
  expect(new Set(renewed.map(({ fromKey }) => fromKey)).size > 2)
    .toEqual(true);
  expect(renewed.every((grant) => grant.holdMs === holdMs)).toEqual(true);
});

/** Interval of the first renewer, for all ranges of a limited server. */
const SPARING_INTERVAL_MS = 2_400;

/** Most of the times in any span of the length. */
function mostWithin(
  sent: readonly { readonly atMs: number }[],
  spanMs: number,
): number {
  return Math.max(
    ...sent.map(({ atMs }) =>
      sent.filter((it) => it.atMs >= atMs && it.atMs < atMs + spanMs).length
    ),
  );
}

/** Guards against renewals of all ranges at once, beyond their owner's limit. */
test("should space renewals over the ranges of a limited server", async () => {
  const voter = await createVoter();
  await voter.run(1_000);
  voter.lengthenLeases();
  const { holdMs } = grants.DEFAULT_GRANT_TIMINGS;
  const longMs = 1_000 + holdMs;
  await voter.run(longMs + 2 * LONG_LEASE_MS);
  const sent = voter.sentToFirst().filter(({ atMs }) => atMs >= longMs);
  expect(mostWithin(sent, SPARING_INTERVAL_MS / 2)).toBeLessThanOrEqual(2);
  for (const fence of new Set(sent.map((it) => it.fence))) {
    const times = sent.filter((it) => it.fence === fence).map((it) => it.atMs);
    for (const [index, atMs] of times.slice(1).entries()) {
      expect(atMs - times[index]!).toBeLessThan(LONG_LEASE_MS / 2);
    }
  }
});

/** Guards against a call for each range when a VM takes over the renewals. */
test("should space the first renewals of a new renewer at a limited server", async () => {
  const voter = await createVoter();
  voter.lengthenLeases();
  await voter.run(SPARING_INTERVAL_MS + LEADER_AFTER_MS);
  const sent = voter.sentToFirst();
  expect(mostWithin(sent, SPARING_INTERVAL_MS / 2)).toBeLessThanOrEqual(2);
  expect(new Set(sent.map(({ fence }) => fence)).size).toBeGreaterThan(2);
});
