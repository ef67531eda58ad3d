import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

function owner(index: number): contracts.RangeOwner {
  return { server: `s${index}` as contracts.ServerId, bornMs: 1 };
}

function firstMap(servers: number): contracts.RangeMap {
  const owners = Array.from(
    { length: servers },
    (_, index) => ({ ...owner(index), slots: 2 }),
  );
  return {
    service: "keyed" as contracts.ServiceId,
    revision: 1,
    lastFence: servers,
    nonce: "n1",
    keeperSets: [["vm1" as contracts.VmId]],
    ranges: grants.initialRanges(owners),
  };
}

/** A later map, with a few keys taken from their owner. */
function moved(
  map: contracts.RangeMap,
  fromKey: number,
  to: number,
): contracts.RangeMap {
  const move = { fromKey, toKey: fromKey + 40, to: owner(to) };
  const revision = map.revision + 1;
  const { lastFence } = map;
  return {
    ...map,
    revision,
    ...grants.startHandovers(map.ranges, [move], { revision, lastFence }),
  };
}

function settled(map: contracts.RangeMap): contracts.RangeMap {
  const ranges = grants.finishHandovers(map.ranges, () => true);
  return { ...map, revision: map.revision + 1, ranges };
}

test("should bring a VM from any of the last maps to the latest", () => {
  const maps = [firstMap(193)];
  for (let step = 0; step < 6; step++) {
    const last = maps.at(-1)!;
    maps.push(
      step % 2 === 0 ? moved(last, 5_000 + 700 * step, step) : settled(last),
    );
  }
  const news = new grants.RangeMapHistory();
  for (const [index, map] of maps.entries()) news.noteMap(map, index * 100);
  const { map, baseRevision } = news.latestDelta()!;
  expect(baseRevision).toEqual(1);
  expect(map.ranges.length < 20).toEqual(true);
  for (const known of maps) {
    const ranges = grants.applyChanges(known.ranges, map.ranges);
    expect(ranges).toEqual(maps.at(-1)!.ranges);
  }
});

test("should tell no more than fits into a datagram", () => {
  const news = new grants.RangeMapHistory();
  news.noteMap(firstMap(400), 0);
  const { map, baseRevision } = news.latestDelta()!;
  expect(map.ranges).toEqual([]);
  // Nobody can work the map out from this: all read the store.
  expect(baseRevision).toEqual(map.revision);
});

/** Guards against a map worked out from differences to another one. */
test("should refuse changes that leave a gap or an overlap", () => {
  const map = firstMap(3);
  const [first, second] = map.ranges;
  const shorter = { ...first!, toKey: first!.toKey - 5 };
  expect(grants.applyChanges(map.ranges, [shorter])).toEqual(undefined);
  const longer = { ...second!, toKey: second!.toKey + 5 };
  expect(grants.applyChanges(map.ranges, [longer])).toEqual(undefined);
  expect(grants.applyChanges([], [first!])).toEqual(undefined);
});
