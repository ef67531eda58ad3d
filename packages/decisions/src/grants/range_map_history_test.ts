import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

function owner(index: number): contracts.RangeOwner {
  return { server: `s${index}` as contracts.ServerId, bornMs: 1 };
}

function initialMap(servers: number): contracts.RangeMap {
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

/** The next revision, with a few keys in handover. */
function withHandover(
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

function withFinishedHandovers(map: contracts.RangeMap): contracts.RangeMap {
  const ranges = grants.finishHandovers(map.ranges, () => true);
  return { ...map, revision: map.revision + 1, ranges };
}

test("should update a VM from any recent revision to the latest", () => {
  const maps = [initialMap(193)];
  for (let step = 0; step < 6; step++) {
    const last = maps.at(-1)!;
    maps.push(
      step % 2 === 0
        ? withHandover(last, 5_000 + 700 * step, step)
        : withFinishedHandovers(last),
    );
  }
  const history = new grants.RangeMapHistory();
  for (const [index, map] of maps.entries()) history.noteMap(map, index * 100);
  const { map, baseRevision } = history.latestDelta()!;
  expect(baseRevision).toEqual(1);
  expect(map.ranges.length < 20).toEqual(true);
  for (const known of maps) {
    const ranges = grants.applyChanges(known.ranges, map.ranges);
    expect(ranges).toEqual(maps.at(-1)!.ranges);
  }
});

test("should send no more than fits into a datagram", () => {
  const history = new grants.RangeMapHistory();
  history.noteMap(initialMap(400), 0);
  const { map, baseRevision } = history.latestDelta()!;
  expect(map.ranges).toEqual([]);
  // Receivers can't compute the map from this and read the store.
  expect(baseRevision).toEqual(map.revision);
});

/** Guards against all VMs reading the store when many hot keys have moved. */
test("should update from a later revision when too much has changed", () => {
  const maps = [initialMap(193)];
  for (let step = 0; step < 100; step++) {
    maps.push(withHandover(maps.at(-1)!, 300 * step, step));
  }
  const history = new grants.RangeMapHistory();
  for (const [index, map] of maps.entries()) history.noteMap(map, index);
  const { map, baseRevision } = history.latestDelta()!;
  expect(baseRevision > 1).toEqual(true);
  expect(map.ranges.length > 100 && map.ranges.length <= 160).toEqual(true);
  const base = maps.find(({ revision }) => revision === baseRevision)!;
  expect(grants.applyChanges(base.ranges, map.ranges)).toEqual(
    maps.at(-1)!.ranges,
  );
});

/** Guards against a delta that is applied to the wrong base. */
test("should refuse changes that leave a gap or an overlap", () => {
  const map = initialMap(3);
  const [first, second] = map.ranges;
  const shorter = { ...first!, toKey: first!.toKey - 5 };
  expect(grants.applyChanges(map.ranges, [shorter])).toEqual(undefined);
  const longer = { ...second!, toKey: second!.toKey + 5 };
  expect(grants.applyChanges(map.ranges, [longer])).toEqual(undefined);
  expect(grants.applyChanges([], [first!])).toEqual(undefined);
});
