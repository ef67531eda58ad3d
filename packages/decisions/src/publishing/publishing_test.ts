import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import * as publishing from "./mod.ts";

const PLACE = { kind: "place", name: "plateau", region: "dakar" };
const KAYFA = {
  kind: "partner",
  name: "kayfa",
  requestsPerSecond: 100,
  burstRequests: 20,
};
const BITACORA = { ...KAYFA, name: "bitacora" };
const SERVICE = {
  kind: "service",
  name: "availability",
  partner: "kayfa",
  places: ["plateau"],
  keyed: true,
  slotsPerServer: 3,
  connectionsPerServer: 110,
};
const SHARE = {
  kind: "cost-share",
  name: "split",
  service: "availability",
  shares: [
    { partner: "kayfa", percent: 60 },
    { partner: "bitacora", percent: 40 },
  ],
};
const DRAINS = ["a-1", "a-2"].map((server) => ({
  server: server as contracts.ServerId,
  operator: "ana",
  at: "2026-01-01T00:00:00Z",
  reason: "disk",
}));
const WHOLE = [PLACE, KAYFA, BITACORA, SERVICE, SHARE];

function set(objects: readonly object[]): contracts.ConfigObject[] {
  return objects as contracts.ConfigObject[];
}

function config(revision: number, objects: readonly object[] = WHOLE) {
  const by = { publishedBy: "test", publishedAt: "2026-01-01T00:00:00Z" };
  return { revision, ...by, objects: set(objects) };
}

const FINDINGS: readonly {
  kind: publishing.FindingKind;
  objects: readonly object[];
}[] = [
  { kind: "empty-set", objects: [] },
  { kind: "duplicate-object", objects: [...WHOLE, PLACE] },
  { kind: "missing-place", objects: [KAYFA, BITACORA, SERVICE, SHARE] },
  {
    kind: "missing-partner",
    objects: [PLACE, KAYFA, SERVICE, SHARE],
  },
  { kind: "missing-service", objects: [PLACE, KAYFA, BITACORA, SHARE] },
  {
    kind: "repeated-place",
    objects: [PLACE, KAYFA, { ...SERVICE, places: ["plateau", "plateau"] }],
  },
  {
    kind: "repeated-partner",
    objects: [PLACE, KAYFA, SERVICE, {
      ...SHARE,
      shares: [
        { partner: "kayfa", percent: 50 },
        { partner: "kayfa", percent: 50 },
      ],
    }],
  },
  {
    kind: "shares-sum",
    objects: [PLACE, KAYFA, SERVICE, {
      ...SHARE,
      shares: [{ partner: "kayfa", percent: 60 }],
    }],
  },
  {
    kind: "several-cost-shares",
    objects: [...WHOLE, { ...SHARE, name: "another" }],
  },
];

for (const { kind, objects } of FINDINGS) {
  test(`should find ${kind} in a set`, () => {
    const kinds = publishing.validateObjects(set(objects)).map((each) =>
      each.kind
    );
    expect(kinds).toEqual([kind]);
  });
}

test("should find nothing in a whole set, thirds included", () => {
  const thirds = [33.3, 33.3, 33.4];
  const partners = ["kayfa", "bitacora", "third"];
  const shares = thirds.map((percent, index) => ({
    partner: partners[index],
    percent,
  }));
  const objects = [PLACE, KAYFA, BITACORA, { ...KAYFA, name: "third" }];
  const whole = [...objects, SERVICE, { ...SHARE, shares }];
  expect(publishing.validateObjects(set(whole))).toEqual([]);
});

test("should list added, removed and edited objects", () => {
  const after = [PLACE, KAYFA, { ...SERVICE, keyed: false }, {
    ...KAYFA,
    name: "new",
  }];
  const changes = publishing.diffObjects(set(WHOLE), set(after));
  expect(changes.map((each) => `${each.change} ${each.object}`)).toEqual([
    "removed cost-share/split",
    "removed partner/bitacora",
    "added partner/new",
    "edited service/availability",
  ]);
  expect(changes[3]!.fields).toEqual([
    { field: "keyed", from: "true", to: "false" },
  ]);
});

// Peers and the store offer configurations late, twice and crossed. A user
// would notice an older cost split coming back into force.
test("should never go back whatever is offered in whatever order", () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 9 })), (offers) => {
    const state = new publishing.ConfigState({
      peerDiscoveryMs: 0,
      startedMs: 0,
    });
    let highest = 0;
    for (const revision of offers) {
      const result = state.offer(config(revision));
      expect(result.kind === "applied").toEqual(revision > highest);
      highest = Math.max(highest, revision);
      expect(state.revision).toEqual(highest);
    }
  }));
});

// The store is restored from an old copy and another publish takes the same
// revision. A user would notice entry VMs that serve different agreements.
test("should report the same revision with other objects", () => {
  const state = new publishing.ConfigState({
    peerDiscoveryMs: 0,
    startedMs: 0,
  });
  state.offer(config(3));
  const result = state.offer(config(3, [PLACE]));
  expect(result).toEqual({ kind: "mismatch", inForce: 3 });
});

// The publisher's VM gets a revision twice: as it built it, and as the watch
// brings it from the store, with fields in another order. An operator would
// read of a damaged store where all is well.
test("should know one set by its content, not by the order of fields", () => {
  const state = new publishing.ConfigState({
    peerDiscoveryMs: 0,
    startedMs: 0,
  });
  const reversed = DRAINS.map((drain) =>
    Object.fromEntries(Object.entries(drain).reverse())
  ) as typeof DRAINS;
  state.offer({ ...config(3), drains: DRAINS });
  const again = state.offer({ ...config(3), drains: reversed });
  expect(again).toEqual({ kind: "same" });
});

// An entry VM restarts empty while the store is down, and the first peer it
// hears was cut off and still has an older revision. A user would notice the
// old cost split at this VM for a moment.
test("should listen before it takes a peer's word after a start", () => {
  const state = new publishing.ConfigState({
    peerDiscoveryMs: 1000,
    startedMs: 0,
  });
  state.notePeerRevision("entry-2" as contracts.VmId, 5);
  expect(state.nextFetch(500)).toEqual(undefined);
  state.notePeerRevision("entry-3" as contracts.VmId, 6);
  expect(state.nextFetch(1000) as string).toEqual("entry-3");
  state.noteFetchFailed("entry-3" as contracts.VmId);
  expect(state.nextFetch(1001) as string).toEqual("entry-2");
  state.offer(config(6));
  expect(state.nextFetch(1002)).toEqual(undefined);
});

test("should choose the same two watchers in whatever order", async () => {
  const choice = await publishing.createWatcherSelector();
  const members = ["a", "b", "c", "d", "e"] as contracts.VmId[];
  const watchers = choice.select(members);
  expect(watchers.length).toEqual(publishing.WATCHER_COUNT);
  expect(choice.select([...members].reverse())).toEqual(watchers);
  const without = members.filter((vm) => vm !== watchers[0]);
  expect(choice.select(without)[0]).toEqual(watchers[1]);
});

test("should carry a peer from any remembered revision to the newest", () => {
  const sets = [
    WHOLE,
    [...WHOLE, { ...PLACE, name: "yoff" }],
    [PLACE, KAYFA, { ...PLACE, name: "yoff" }],
  ];
  const deltas = new publishing.ConfigHistory();
  const configs = sets.map((objects, index) => ({
    ...config(index + 1),
    objects: publishing.sortObjects(set(objects)),
    drains: DRAINS.slice(0, index),
  }));
  for (const each of configs) deltas.add(each);
  for (const base of [undefined, ...configs.slice(0, 2)]) {
    const delta = deltas.since(base?.revision ?? 0)!;
    expect(publishing.applyDelta(base, delta)).toEqual(configs[2]);
  }
  expect(deltas.since(2)!.objects).toEqual([]);
  expect(deltas.since(3)).toEqual(undefined);
});

test("should not apply a delta made for another revision", () => {
  const deltas = new publishing.ConfigHistory();
  deltas.add(config(1));
  deltas.add(config(2));
  const delta = deltas.since(1)!;
  expect(publishing.applyDelta(config(4), delta)).toEqual(undefined);
});
