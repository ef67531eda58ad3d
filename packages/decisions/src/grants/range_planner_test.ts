import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

function owner(index: number): contracts.RangeOwner {
  return { server: `s${index}` as contracts.ServerId, bornMs: 1 };
}

function serversOf(count: number): Map<contracts.ServerId, grants.RangeServer> {
  return new Map(
    Array.from({ length: count }, (_, index) => [
      owner(index).server,
      { owner: owner(index), capacityPerSecond: 33 },
    ]),
  );
}

function evenRanges(count: number): contracts.RangeState[] {
  return grants.initialRanges(
    Array.from({ length: count }, (_, index) => ({
      ...owner(index),
      slots: 3,
    })),
  );
}

/** Load of each server after the moves, in requests a second. */
function loadsAfter(
  ranges: readonly contracts.RangeState[],
  moves: readonly grants.RangeMove[],
  rates: readonly grants.KeyRate[],
): Map<contracts.ServerId, number> {
  const after = grants.startHandovers(ranges, moves, {
    revision: 2,
    lastFence: 99,
  });
  const loads = new Map<contracts.ServerId, number>();
  for (const { key, perSecond } of rates) {
    const range = after.ranges[grants.rangeIndex(after.ranges, key)]!;
    const { server } = range.owner;
    loads.set(server, (loads.get(server) ?? 0) + perSecond);
  }
  return loads;
}

/** Even load on all keys, and a dense hot spot. */
function rates(evenPerSecond: number, hotPerSecond: number): grants.KeyRate[] {
  const found: grants.KeyRate[] = [];
  for (let key = 0; key < contracts.KEY_COUNT; key += 256) {
    found.push({ key, perSecond: evenPerSecond / 256 });
  }
  for (let key = 30_000; key < 30_200; key++) {
    if (key % 256 === 0) continue;
    found.push({ key, perSecond: hotPerSecond / 200 });
  }
  return found.sort((a, b) => a.key - b.key);
}

/** Guards against a hot spot that overloads its server, or the next one. */
test("should spread a hot spot in two plans so that no server is overloaded", () => {
  const servers = serversOf(10);
  const hot = rates(100, 70);
  let ranges: readonly contracts.RangeState[] = evenRanges(10);
  let keysMoved = 0;
  for (let plan = 0; plan < 2; plan++) {
    const moves = grants.planRangeMoves({
      ranges,
      servers,
      rates: hot,
      mayBalance: true,
    });
    for (const { fromKey, toKey } of moves) keysMoved += toKey - fromKey + 1;
    const vacated = grants.startHandovers(ranges, moves, {
      revision: 2,
      lastFence: 100 * (plan + 1),
    });
    ranges = grants.finishHandovers(vacated.ranges, () => true);
  }
  const loads = loadsAfter(ranges, [], hot);
  const busiest = Math.max(...loads.values()) / 33;
  expect(busiest < 0.75).toEqual(true);
  expect(keysMoved < 400).toEqual(true);
});

/** Guards against a hot spot that a large service relieves eight keys at a time. */
test("should spread a hot spot over many servers of a large service", () => {
  const count = 144;
  const capacityPerSecond = 4.4;
  const servers = new Map(
    [...serversOf(count)].map(([server, { owner }]) => [
      server,
      { owner, capacityPerSecond },
    ]),
  );
  const hot = rates(124, 97);
  let ranges: readonly contracts.RangeState[] = evenRanges(count);
  for (let plan = 0; plan < 3; plan++) {
    const moves = grants.planRangeMoves({
      ranges,
      servers,
      rates: hot,
      mayBalance: true,
    });
    const vacated = grants.startHandovers(ranges, moves, {
      revision: plan + 2,
      lastFence: 1_000 * (plan + 1),
    });
    ranges = grants.finishHandovers(vacated.ranges, () => true);
  }
  const loads = loadsAfter(ranges, [], hot);
  const busiest = Math.max(...loads.values()) / capacityPerSecond;
  expect(busiest < 1).toEqual(true);
});

test("should leave an even load as it lies", () => {
  const moves = grants.planRangeMoves({
    ranges: evenRanges(10),
    servers: serversOf(10),
    rates: rates(200, 0),
    mayBalance: true,
  });
  expect(moves).toEqual([]);
});

/** Guards against one server that gets all keys of a lost one. */
test("should deal out the keys of a lost server to several others", () => {
  const servers = serversOf(10);
  servers.delete(owner(4).server);
  const ranges = evenRanges(10);
  const moves = grants.planRangeMoves({
    ranges,
    servers,
    rates: rates(200, 0),
    mayBalance: false,
  });
  expect(new Set(moves.map(({ to }) => to.server)).size).toEqual(3);
  expect(moves[0]!.fromKey).toEqual(ranges[4]!.fromKey);
  expect(moves.at(-1)!.toKey).toEqual(ranges[4]!.toKey);
});

/** Guards against a new server that stays without keys. */
test("should give a server that has joined its share of keys", () => {
  const moves = grants.planRangeMoves({
    ranges: evenRanges(4),
    servers: serversOf(5),
    rates: [],
    mayBalance: true,
  });
  expect(moves.length).toEqual(1);
  expect(moves[0]!.to.server).toEqual(owner(4).server);
  const width = moves[0]!.toKey - moves[0]!.fromKey + 1;
  expect(width > contracts.KEY_COUNT / 10).toEqual(true);
});

test("should move nothing else while keys wait for their next owner", () => {
  const vacated = grants.startHandovers(
    evenRanges(4),
    [{ fromKey: 0, toKey: 10, to: owner(2) }],
    { revision: 2, lastFence: 4 },
  );
  const moves = grants.planRangeMoves({
    ranges: vacated.ranges,
    servers: serversOf(4),
    rates: rates(10, 200),
    mayBalance: true,
  });
  expect(moves).toEqual([]);
});

/** Guards against a full map that stays uneven for good. */
test("should move whole ranges when no more may be split", () => {
  const even = rates(100, 0);
  const owned = evenRanges(50).map((range, index) => ({
    ...range,
    owner: owner(index < 46 ? 0 : index % 4),
  }));
  const balanced = grants.planRangeMoves({
    ranges: owned,
    servers: serversOf(4),
    rates: even,
    mayBalance: true,
  });
  expect(balanced.length > 0).toEqual(true);
  const isWhole = balanced.every(({ fromKey, toKey }) =>
    owned.some((range) => range.fromKey === fromKey && range.toKey === toKey)
  );
  expect(isWhole).toEqual(true);
});

/** Guards against keys for a server that has just started and bears little. */
test("should give a cold server keys once it is warm", () => {
  const ranges = evenRanges(4);
  const servers = serversOf(5);
  const [newcomer, entry] = [...servers].at(-1)!;
  const input = { ranges, rates: rates(100, 0), mayBalance: true };
  servers.set(newcomer, { ...entry, isCold: true });
  expect(grants.planRangeMoves({ ...input, servers })).toEqual([]);
  servers.set(newcomer, entry);
  const [move] = grants.planRangeMoves({ ...input, servers });
  expect(move?.to.server).toEqual(newcomer);
});
