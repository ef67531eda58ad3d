import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const KEY = 613;

function owner(index: number): contracts.RangeOwner {
  return { server: `s${index}` as contracts.ServerId, bornMs: 1 };
}

/** Servers that carry so many requests a second. */
function serversOf(
  capacities: readonly number[],
): Map<contracts.ServerId, grants.RangeServer> {
  return new Map(
    capacities.map((capacityPerSecond, index) => [
      owner(index).server,
      { owner: owner(index), capacityPerSecond },
    ]),
  );
}

function evenRanges(count: number): contracts.RangeState[] {
  return grants.initialRanges(
    Array.from({ length: count }, (_, index) => ({
      ...owner(index),
      slots: 6,
    })),
  );
}

/** One key asked for 200 times a second, and an even load besides. */
function hotRates(evenPerSecond: number): grants.KeyRate[] {
  const rates: grants.KeyRate[] = [{ key: KEY, perSecond: 200 }];
  for (let key = 1_024; key < contracts.KEY_COUNT; key += 256) {
    rates.push({ key, perSecond: evenPerSecond / 252 });
  }
  return rates;
}

function movesOfKey(capacities: readonly number[], evenPerSecond = 60) {
  return grants.planRangeMoves({
    ranges: evenRanges(capacities.length),
    servers: serversOf(capacities),
    rates: hotRates(evenPerSecond),
    mayBalance: true,
  }).filter(({ fromKey, toKey }) => fromKey <= KEY && KEY <= toKey);
}

/** Guards against a hot key that stays at a slow server. */
test("should give a key that is too hot for its owner to the fastest server", () => {
  expect(movesOfKey([32, 64, 95, 64])).toEqual([
    { fromKey: KEY, toKey: KEY, to: owner(2) },
  ]);
});

test("should leave a hot key with an owner that is nearly as fast as any", () => {
  expect(movesOfKey([64, 64, 95, 64])).toEqual([]);
});

test("should clear the fastest server of other keys for the hot one", () => {
  const moves = grants.planRangeMoves({
    ranges: evenRanges(4),
    servers: serversOf([32, 64, 95, 64]),
    rates: hotRates(120),
    mayBalance: true,
  });
  const fromFastest = moves.filter(({ fromKey }) =>
    fromKey >= contracts.KEY_COUNT / 2 && fromKey < contracts.KEY_COUNT * 3 / 4
  );
  expect(fromFastest.length > 0).toEqual(true);
});

/** Guards against keys that move because short counts scatter. */
test("should not take chance for load", () => {
  let seed = 7;
  const random = () => (seed = seed * 16_807 % 2_147_483_647) / 2_147_483_647;
  const counts = new Map<number, number>();
  for (let request = 0; request < 760; request++) {
    const key = Math.floor(random() * contracts.KEY_COUNT);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const moves = grants.planRangeMoves({
    ranges: evenRanges(26),
    servers: serversOf(Array.from({ length: 26 }, () => 60)),
    rates: [...counts].map(([key, perSecond]) => ({ key, perSecond }))
      .sort((a, b) => a.key - b.key),
    mayBalance: true,
  });
  expect(moves).toEqual([]);
});

/** Guards against a hot key that waits for the keys of a lost server. */
test("should move a hot key while a few keys wait for their owner", () => {
  const ranges = evenRanges(4);
  const last = ranges.at(-1)!;
  const start = contracts.KEY_COUNT - 2_048;
  const moves = grants.planRangeMoves({
    ranges: [
      ...ranges.slice(0, -1),
      { ...last, toKey: start - 1 },
      {
        ...last,
        fromKey: start,
        fence: 9,
        vacating: { server: owner(9).server, bornMs: 1, fence: 3, revision: 4 },
      },
    ],
    servers: serversOf([32, 64, 95, 64]),
    rates: hotRates(60),
    mayBalance: true,
  });
  expect(moves.some(({ fromKey }) => fromKey === KEY)).toEqual(true);
  expect(moves.every(({ toKey }) => toKey < start)).toEqual(true);
});
