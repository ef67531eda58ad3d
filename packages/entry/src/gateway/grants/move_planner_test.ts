/** Plans for many hot keys of a large service, with the delays of real ones. */
import * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import { expect } from "earl";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { KEYED_SERVICE, serverEntryOf } from "./grant_test_support.ts";
import { MovePlanner } from "./move_planner.ts";

const SERVERS = 117;
const SPEEDS = [0.5, 1, 1, 1.5];
const SLOTS = 4;
const WORK_MS = 220;
/** Requests per second that a server of usual speed can serve. */
const USUAL_CAPACITY = SLOTS * 1_000 / WORK_MS;
const VMS = 64;
/** Each VM sends its counts at this interval. */
const COUNTS_MS = 400;
const STEP_MS = 20;
const CHECK_MS = 100;
const HOT_FROM_MS = 4_000;
const SEEDS = (process.env["SEEDS"] ?? "6,7").split(",").map(Number);
const END_MS = HOT_FROM_MS + 5_000;
/** The planner moves keys of lost servers; here it balances from the start. */
const CALM_KEYS = 20_000;
const FIRST_HOT_KEY = 30_000;
/** A write of the map, and until it is known at the voters. */
const WRITE_MS = 40;
const ACKNOWLEDGED_MS = 60;
/** Until the old owner has ended its requests for the key. */
const RELEASE_MIN_MS = 20;
const RELEASE_MAX_MS = 350;
const FINISH_BATCH_MS = 60;
/** The hot keys are mostly placed when no more of them share full servers. */
const MOSTLY_PART = 0.1;
const PLACED_WITHIN_MS = 2_000;
/** More changes of the map than this don't fit into one update. */
const MAX_RANGES_IN_UPDATE = 160;

interface Scenario {
  readonly hotKeys: number;
  /** Demand of each hot key, in slots of a server of usual speed. */
  readonly slotsPerKey: number;
  /** Load of all other keys relative to the capacity. */
  readonly calmPart: number;
  readonly seed: number;
  /** Distance between two hot keys. */
  readonly distance?: number;
}

function speedOf(index: number): number {
  return SPEEDS[index % SPEEDS.length]!;
}

/** Runs a scenario until the hot keys cool down. */
function run(
  { hotKeys, slotsPerKey, calmPart, seed, distance = 1 }: Scenario,
) {
  const random = xoroshiro128plus(seed);
  const next = () => uniformFloat64(random);
  const entries = Array.from({ length: SERVERS }, (_, index) => ({
    ...serverEntryOf(`s${index}` as contracts.ServerId),
    slots: SLOTS,
  }));
  const usable = new Map(entries.map((entry) => [entry.server, entry]));
  const speeds = new Map(
    entries.map(({ server }, index) => [server, speedOf(index)]),
  );
  let nowMs = 0;
  let logLines = 0;
  const log = {
    info: () => logLines++,
  } as unknown as ConstructorParameters<typeof MovePlanner>[0]["log"];
  const planner = new MovePlanner({
    service: KEYED_SERVICE,
    clock: { nowMs: () => nowMs } as contracts.Clock,
    log,
    capacity: (entry) => USUAL_CAPACITY * speeds.get(entry.server)!,
    isCold: () => false,
    maxRangesOf: () => undefined,
    keepsRanges: () => false,
    backoffOf: () => undefined,
  });
  planner.start(0);
  // Ranges as wide as the servers are fast, as moves would have made them.
  const shares = entries.map(({ server, bornMs }, index) => ({
    server,
    bornMs,
    slots: 2 * speedOf(index),
  }));
  let map: contracts.RangeMap = {
    service: KEYED_SERVICE,
    revision: 1,
    lastFence: SERVERS,
    keeperSets: [[]],
    holdMs: 1_500,
    nonce: "",
    ranges: grants.initialRanges(shares),
  };
  const hot = Array.from(
    { length: hotKeys },
    (_, index) => (FIRST_HOT_KEY + index * distance) % contracts.KEY_COUNT,
  );
  const totalCapacity = entries.reduce(
    (sum, { server }) => sum + USUAL_CAPACITY * speeds.get(server)!,
    0,
  );
  const calmPerSecond = totalCapacity * calmPart;
  const calmKeys = Array.from(
    { length: CALM_KEYS },
    () => Math.floor(next() * contracts.KEY_COUNT),
  );
  const hotPerSecond = slotsPerKey * 1_000 / WORK_MS;
  const counts = Array.from({ length: VMS }, () => new Map<number, number>());
  const poisson = (mean: number) => {
    let count = 0;
    for (let left = Math.exp(-mean), p = next(); p > left; p *= next()) count++;
    return count;
  };
  const count = (key: number) => {
    const ofVm = counts[Math.floor(next() * VMS)]!;
    ofVm.set(key, (ofVm.get(key) ?? 0) + 1);
  };
  /** When the old owner has released the range with a fence. */
  const releasedMs = new Map<number, number>();
  const plansMs: number[] = [];
  let movesBefore = 0;
  let moves = 0;
  let mostPieces = 0;
  let busyUntilMs = 0;
  let finishedSinceMs: number | undefined;
  let overloadedUntilMs = HOT_FROM_MS;
  let mostlyUntilMs = HOT_FROM_MS;
  let keyPartAtLimit = 1;

  const handOver = () => {
    if (nowMs < busyUntilMs) return;
    const isReleased = ({ fence }: contracts.RangeState) =>
      (releasedMs.get(fence) ?? Infinity) <= nowMs;
    const planned = planner.plan(map, usable, nowMs);
    const moving = map.ranges.filter(({ vacating }) => vacating !== undefined);
    const released = moving.filter(isReleased);
    if (released.length > 0) finishedSinceMs ??= nowMs;
    const isDue = released.length > 0 &&
      (released.length === moving.length ||
        nowMs - finishedSinceMs! >= FINISH_BATCH_MS);
    if (planned.length === 0 && !isDue) return;
    finishedSinceMs = undefined;
    const finished = grants.finishHandovers(map.ranges, isReleased);
    const started = grants.startHandovers(finished, planned, {
      revision: map.revision + 1,
      lastFence: map.lastFence,
    });
    const changed = { ...map, ...started, revision: map.revision + 1 };
    if (planned.length > 0) {
      mostPieces = Math.max(
        mostPieces,
        grants.changedRanges(map, changed).length,
      );
      if (nowMs >= HOT_FROM_MS) plansMs.push(nowMs - HOT_FROM_MS);
      if (nowMs >= HOT_FROM_MS) moves += planned.length;
      else movesBefore += planned.length;
    }
    const knownMs = nowMs + WRITE_MS + ACKNOWLEDGED_MS;
    const spreadMs = RELEASE_MAX_MS - RELEASE_MIN_MS;
    for (const { fence, vacating } of changed.ranges) {
      if (vacating === undefined || releasedMs.has(fence)) continue;
      releasedMs.set(fence, knownMs + RELEASE_MIN_MS + spreadMs * next());
    }
    map = changed;
    busyUntilMs = nowMs + WRITE_MS;
  };

  /** Servers with too much demand because of hot keys, and the keys there. */
  const overload = () => {
    const calmByServer = new Map<contracts.ServerId, number>();
    for (const key of calmKeys) {
      const range = map.ranges[grants.rangeIndex(map.ranges, key)]!;
      const { server } = range.vacating ?? range.owner;
      calmByServer.set(
        server,
        (calmByServer.get(server) ?? 0) + calmPerSecond / CALM_KEYS,
      );
    }
    const hotByServer = new Map<contracts.ServerId, number>();
    for (const key of hot) {
      const range = map.ranges[grants.rangeIndex(map.ranges, key)]!;
      const { server } = range.vacating ?? range.owner;
      hotByServer.set(server, (hotByServer.get(server) ?? 0) + hotPerSecond);
    }
    let isAny = false;
    let keys = 0;
    for (const [server, perSecond] of hotByServer) {
      const capacity = USUAL_CAPACITY * speeds.get(server)!;
      const demand = perSecond + (calmByServer.get(server) ?? 0);
      if (demand > capacity) isAny = true;
      if (demand > capacity * 1.05) keys += perSecond / hotPerSecond;
    }
    return { isAny, keyPart: keys / hot.length };
  };

  for (; nowMs < END_MS; nowMs += STEP_MS) {
    const calm = poisson(calmPerSecond * STEP_MS / 1_000);
    for (let index = 0; index < calm; index++) {
      count(calmKeys[Math.floor(next() * CALM_KEYS)]!);
    }
    if (nowMs >= HOT_FROM_MS) {
      for (const key of hot) {
        const requests = poisson(hotPerSecond * STEP_MS / 1_000);
        for (let index = 0; index < requests; index++) count(key);
      }
    }
    for (const [vm, ofVm] of counts.entries()) {
      const phaseMs = Math.floor(vm * COUNTS_MS / VMS / STEP_MS) * STEP_MS;
      if (nowMs % COUNTS_MS !== phaseMs) continue;
      planner.noteKeyCounts({
        service: KEYED_SERVICE,
        counts: [...ofVm].flat(),
        serverFactors: {},
      });
      ofVm.clear();
    }
    handOver();
    if (nowMs <= HOT_FROM_MS || nowMs % CHECK_MS !== 0) continue;
    const { isAny, keyPart } = overload();
    if (isAny) overloadedUntilMs = nowMs + CHECK_MS;
    if (keyPart > MOSTLY_PART) mostlyUntilMs = nowMs + CHECK_MS;
    if (nowMs === HOT_FROM_MS + PLACED_WITHIN_MS) keyPartAtLimit = keyPart;
  }
  return {
    plansMs: plansMs.filter((atMs) => HOT_FROM_MS + atMs < mostlyUntilMs),
    mostlyMs: mostlyUntilMs - HOT_FROM_MS,
    keyPartAtLimit,
    moves,
    movesBefore,
    relievedMs: overloadedUntilMs - HOT_FROM_MS,
    ranges: map.ranges.length,
    mostPieces,
    logLines,
  };
}

/**
 * Guards against hot keys that share an owner while other servers have room.
 * `misplaced`: part of the keys that rates counted over a second leave at
 * servers with too much demand by chance.
 */
for (
  const [name, misplaced, scenario] of [
    ["60 keys", 0.05, { hotKeys: 60, slotsPerKey: 1.9, calmPart: 0.4 }],
    ["200 keys", 0.2, { hotKeys: 200, slotsPerKey: 0.5, calmPart: 0.45 }],
    [
      "60 spread keys",
      0.05,
      { hotKeys: 60, slotsPerKey: 1.9, calmPart: 0.4, distance: 40_503 },
    ],
    [
      "200 spread keys",
      0.05,
      { hotKeys: 200, slotsPerKey: 0.5, calmPart: 0.45, distance: 40_503 },
    ],
  ] as const
) {
  test(`should place ${name} on separate servers within 2 s`, () => {
    for (const seed of SEEDS) {
      const result = run({ ...scenario, seed });
      if (process.env["SHOW_FIGURES"]) {
        console.log(name, JSON.stringify(result));
      }
      expect(result.keyPartAtLimit <= misplaced).toEqual(true);
      expect(result.mostPieces <= MAX_RANGES_IN_UPDATE).toEqual(true);
    }
  });
}
