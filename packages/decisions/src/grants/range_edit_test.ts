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

/** Whether two ranges in handover have one fence, which names their release. */
function shareFences(ranges: readonly contracts.RangeState[]): boolean {
  const moving = ranges.filter(({ vacating }) => vacating !== undefined);
  return new Set(moving.map(({ fence }) => fence)).size < moving.length;
}

/** Guards also against a release of one range that counts for another. */
test("should cover all keys without gap or overlap after any moves", () => {
  const moveArbitrary = fc.record({
    from: fc.integer({ min: 0, max: contracts.KEY_COUNT - 1 }),
    width: fc.integer({ min: 1, max: 9_000 }),
    to: fc.constantFrom("a", "b", "c"),
    isFinished: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(moveArbitrary, { maxLength: 12 }), (moves) => {
      let ranges = grants.initialRanges([
        { ...owner("a"), slots: 3 },
        { ...owner("b"), slots: 2 },
      ]);
      let lastFence = 2;
      let revision = 1;
      for (const { from, width, to, isFinished } of moves) {
        const before = ranges;
        const toKey = Math.min(contracts.KEY_COUNT - 1, from + width);
        const move = { fromKey: from, toKey, to: owner(to) };
        revision++;
        const next = grants.startHandovers(ranges, [move], {
          revision,
          lastFence,
        });
        lastFence = next.lastFence;
        ranges = isFinished
          ? grants.finishHandovers(next.ranges, () => true)
          : next.ranges;
        if (!isWhole(ranges) || shareFences(ranges)) return false;
        // The fence of a key only increases.
        for (const key of [from, toKey]) {
          const earlier = before[grants.rangeIndex(before, key)]!;
          const now = ranges[grants.rangeIndex(ranges, key)]!;
          if (now.fence <= earlier.fence) return false;
        }
      }
      return true;
    }),
    { seed: 7, numRuns: 200 },
  );
});

/** Guards against a third owner while the first still holds a lease. */
test("should keep the earlier owner when the next owner changes", () => {
  const first = grants.initialRanges([{ ...owner("a"), slots: 1 }]);
  const started = grants.startHandovers(
    first,
    [{ fromKey: 0, toKey: 9, to: owner("b") }],
    { revision: 2, lastFence: 1 },
  );
  const again = grants.startHandovers(
    started.ranges,
    [{ fromKey: 0, toKey: 9, to: owner("c") }],
    { revision: 3, lastFence: started.lastFence },
  );
  const [range] = again.ranges;
  expect(range!.owner).toEqual(owner("c"));
  expect(range!.fence).toEqual(3);
  expect(range!.vacating).toEqual({ ...owner("a"), fence: 1, revision: 2 });
});
