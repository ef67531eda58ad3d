import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { FencingReleases } from "./fencing_releases.ts";
import type { ReleaseCall } from "./release_call.ts";

const A: contracts.RangeOwner = {
  server: "a" as contracts.ServerId,
  bornMs: 1,
};
const B: contracts.RangeOwner = {
  server: "b" as contracts.ServerId,
  bornMs: 1,
};
const RUNS = () => false;

function given(fromKey: number, toKey: number, fence: number): ReleaseCall {
  const old = { ...A, fence: 1, revision: 2 };
  const range = { fromKey, toKey, owner: B, fence, vacating: old };
  return { range, oldOwner: old, isFencing: true };
}

/** Guards against a grant of the old fence that arrives when a link heals. */
test("should try an old owner until it has heard the next fence", () => {
  const fencing = new FencingReleases();
  fencing.add(given(0, 9, 5), 1_000);
  expect(fencing.takeDue(1_000, RUNS).length).toEqual(1);
  expect(fencing.takeDue(1_100, RUNS)).toEqual([]);
  expect(fencing.noteResult(5, false, 1_300)).toEqual(true);
  expect(fencing.takeDue(1_400, RUNS)).toEqual([]);
  expect(fencing.takeDue(1_600, RUNS).length).toEqual(1);
  fencing.noteResult(5, true, 1_610);
  expect(fencing.takeDue(9_000, RUNS)).toEqual([]);
});

/** Guards against a flood of calls to a server that lost many ranges. */
test("should send one call at a time to a server", () => {
  const fencing = new FencingReleases();
  fencing.add(given(0, 9, 5), 1_000);
  fencing.add(given(10, 19, 6), 1_000);
  expect(fencing.takeDue(1_000, RUNS).map(({ range }) => range.fence))
    .toEqual([5]);
  fencing.noteResult(5, true, 1_010);
  expect(fencing.takeDue(1_010, RUNS).map(({ range }) => range.fence))
    .toEqual([6]);
});

test("should leave a server alone that has ended or got the keys again", () => {
  const fencing = new FencingReleases();
  fencing.add(given(0, 9, 5), 1_000);
  fencing.add(given(10, 19, 6), 1_000);
  fencing.noteRanges([{ fromKey: 5, toKey: 7, owner: A, fence: 8 }]);
  expect(fencing.takeDue(1_000, RUNS).map(({ range }) => range.fence))
    .toEqual([6]);
  fencing.noteResult(6, false, 1_010);
  expect(fencing.takeDue(2_000, () => true)).toEqual([]);
  expect(fencing.noteResult(6, true, 2_010)).toEqual(false);
});

/** Guards against calls for ever to a server that never comes back. */
test("should give an old owner up after a while", () => {
  const fencing = new FencingReleases();
  fencing.add(given(0, 9, 5), 1_000);
  expect(fencing.takeDue(60_000, RUNS)).toEqual([]);
});
