import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import * as grants from "./mod.ts";

function owner(name: string): contracts.RangeOwner {
  return { server: name as contracts.ServerId, bornMs: 1 };
}

function isWhole(ranges: readonly contracts.RangeState[]): boolean {
  let next = 0;
  for (const { fromKey, toKey } of ranges) {
    if (fromKey !== next || toKey < fromKey) return false;
    next = toKey + 1;
  }
  return next === contracts.KEY_COUNT;
}

test("should cover all keys without gap or overlap after any moves", () => {
  const moveArbitrary = fc.record({
    from: fc.integer({ min: 0, max: contracts.KEY_COUNT - 1 }),
    width: fc.integer({ min: 1, max: 9_000 }),
    to: fc.constantFrom("a", "b", "c"),
    isSettled: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(moveArbitrary, { maxLength: 12 }), (moves) => {
      let ranges = grants.initialRanges([
        { ...owner("a"), slots: 3 },
        { ...owner("b"), slots: 2 },
      ]);
      let lastFence = 2;
      let revision = 1;
      for (const { from, width, to, isSettled } of moves) {
        const before = ranges;
        const toKey = Math.min(contracts.KEY_COUNT - 1, from + width);
        const move = { fromKey: from, toKey, to: owner(to) };
        revision++;
        const next = grants.startHandovers(ranges, [move], {
          revision,
          lastFence,
        });
        lastFence = next.lastFence;
        ranges = isSettled
          ? grants.finishHandovers(next.ranges, () => true)
          : next.ranges;
        if (!isWhole(ranges)) return false;
        // Fences only rise for a key.
        for (const key of [from, toKey]) {
          const old = before[grants.rangeIndex(before, key)]!;
          const now = ranges[grants.rangeIndex(ranges, key)]!;
          if (now.fence <= old.fence) return false;
        }
      }
      return true;
    }),
    { seed: 7, numRuns: 200 },
  );
});

/** Guards against keys given to a third server while the first holds them. */
test("should keep who has to let go when the next owner changes", () => {
  const first = grants.initialRanges([{ ...owner("a"), slots: 1 }]);
  const moved = grants.startHandovers(
    first,
    [{ fromKey: 0, toKey: 9, to: owner("b") }],
    { revision: 2, lastFence: 1 },
  );
  const again = grants.startHandovers(
    moved.ranges,
    [{ fromKey: 0, toKey: 9, to: owner("c") }],
    { revision: 3, lastFence: moved.lastFence },
  );
  const [range] = again.ranges;
  expect(range!.owner).toEqual(owner("c"));
  expect(range!.fence).toEqual(3);
  expect(range!.vacating).toEqual({ ...owner("a"), fence: 1, revision: 2 });
});
