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

function fencingRelease(
  fromKey: number,
  toKey: number,
  fence: number,
): ReleaseCall {
  const oldOwner = { ...A, fence: 1, revision: 2 };
  const range = { fromKey, toKey, owner: B, fence, vacating: oldOwner };
  return { range, oldOwner, isFencing: true };
}

/** Guards against a delayed grant with the old fence after a connection recovers. */
test("should retry until the old owner knows the next fence", () => {
  const fencing = new FencingReleases();
  fencing.add(fencingRelease(0, 9, 5), 1_000);
  expect(fencing.takeDue(1_000).length).toEqual(1);
  expect(fencing.takeDue(1_100)).toEqual([]);
  expect(fencing.noteResult(5, false, 1_300)).toEqual(true);
  expect(fencing.takeDue(1_400)).toEqual([]);
  expect(fencing.takeDue(1_600).length).toEqual(1);
  fencing.noteResult(5, true, 1_610);
  expect(fencing.takeDue(9_000)).toEqual([]);
});

/** Guards against a burst of calls to a server that lost many ranges. */
test("should send one call at a time to each server", () => {
  const fencing = new FencingReleases();
  fencing.add(fencingRelease(0, 9, 5), 1_000);
  fencing.add(fencingRelease(10, 19, 6), 1_000);
  expect(fencing.takeDue(1_000).map(({ range }) => range.fence))
    .toEqual([5]);
  fencing.noteResult(5, true, 1_010);
  expect(fencing.takeDue(1_010).map(({ range }) => range.fence))
    .toEqual([6]);
});

/** Guards against a release of keys that their old owner owns again. */
test("should drop releases to a server that owns the keys again", () => {
  const fencing = new FencingReleases();
  fencing.add(fencingRelease(0, 9, 5), 1_000);
  fencing.add(fencingRelease(10, 19, 6), 1_000);
  fencing.noteRanges([{ fromKey: 5, toKey: 7, owner: A, fence: 8 }]);
  expect(fencing.takeDue(1_000).map(({ range }) => range.fence))
    .toEqual([6]);
  expect(fencing.noteResult(5, true, 1_010)).toEqual(false);
});

/** Guards against a new run of the old owner that never learns the next fence. */
test("should retry at a server whose run has ended until it is back", () => {
  const fencing = new FencingReleases();
  fencing.add(fencingRelease(0, 9, 5), 1_000);
  expect(fencing.takeDue(1_000).length).toEqual(1);
  fencing.noteResult(5, false, 1_010);
  expect(fencing.takeDue(2_000).length).toEqual(1);
  fencing.noteRanges([
    { fromKey: 0, toKey: 9, owner: { ...A, bornMs: 2 }, fence: 8 },
  ]);
  expect(fencing.noteResult(5, true, 2_010)).toEqual(false);
});

/** Guards against endless calls to a server that never returns. */
test("should stop retrying after the retry window", () => {
  const fencing = new FencingReleases();
  fencing.add(fencingRelease(0, 9, 5), 1_000);
  expect(fencing.takeDue(60_000)).toEqual([]);
});
