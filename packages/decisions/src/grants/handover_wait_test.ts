import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const TIMINGS = grants.DEFAULT_GRANT_TIMINGS;
const GRANT_LIFE_MS = grants.maxLeaseLifetimeMs(TIMINGS, TIMINGS.holdMs);
const A: contracts.RangeOwner = {
  server: "a" as contracts.ServerId,
  bornMs: 1,
};
const B: contracts.RangeOwner = {
  server: "b" as contracts.ServerId,
  bornMs: 1,
};

/** When the keepers of a fixture were heard. */
const HEARD_AT_MS = 10_040;

/** A move from a to b with three keepers, written at 10 000 ms. */
class Fixture {
  readonly keepers = new grants.VoterReports();
  readonly map: contracts.RangeMap;
  readonly promisedAtMs = 10_050;
  releasedAtMs: number | undefined;
  releaseLeftAtMs = 10_055;
  hasEnded = false;

  constructor() {
    const first = grants.initialRanges([{ ...A, slots: 1 }]);
    const moved = grants.startHandovers(
      first,
      [{ fromKey: 0, toKey: 65_535, to: B }],
      { revision: 2, lastFence: 1 },
    );
    this.map = {
      service: "availability" as contracts.ServiceId,
      revision: 2,
      nonce: "n",
      keeperSets: [["k1", "k2", "k3"] as contracts.VmId[]],
      ...moved,
    };
  }

  hear(
    vm: string,
    options: {
      revision?: number;
      startedAtMs?: number;
      heardAtMs?: number;
      sentMs?: number;
      unansweredMs?: number;
    } = {},
  ): void {
    const { sentMs, unansweredMs } = options;
    this.keepers.noteReport({
      vm: vm as contracts.VmId,
      revision: options.revision ?? 2,
      hasReadMap: true,
      requestedAtMs: 10_010,
      receivedAtMs: options.heardAtMs ?? HEARD_AT_MS,
      startedAtMs: options.startedAtMs ?? 0,
      lastGrantMs: new Map(sentMs === undefined ? [] : [[A.server, sentMs]]),
      lastUnansweredMs: new Map(
        unansweredMs === undefined ? [] : [[A.server, unansweredMs]],
      ),
    });
  }

  freeAtMs(): number | undefined {
    return grants.freeAtMs(this.facts());
  }

  facts(): grants.HandoverFacts {
    return {
      map: this.map,
      range: this.map.ranges[0]!,
      reports: this.keepers,
      acknowledgedAtMs: this.promisedAtMs,
      release: this.releasedAtMs === undefined
        ? undefined
        : { sentAtMs: this.releaseLeftAtMs, answeredAtMs: this.releasedAtMs },
      hasEnded: this.hasEnded,
      timings: TIMINGS,
    };
  }
}

/** Guards against two holders while a silent owner's last grant runs. */
test("should wait for the last grant that any keeper sent", () => {
  const fixture = new Fixture();
  fixture.hear("k1", { sentMs: 9_700 });
  fixture.hear("k2", { sentMs: 9_900 });
  fixture.hear("k3");
  expect(fixture.freeAtMs()).toEqual(9_900 + GRANT_LIFE_MS);
});

/** Guards against a grant that an unheard keeper checked in time and sent late. */
test("should count a keeper that is not heard by its evidence", () => {
  const fixture = new Fixture();
  const lastSentMs = fixture.promisedAtMs + TIMINGS.confirmationTtlMs +
    TIMINGS.grantTimeoutMs;
  fixture.hear("k1", { sentMs: 9_700 });
  fixture.hear("k2");
  expect(fixture.freeAtMs()).toEqual(lastSentMs + GRANT_LIFE_MS);
  // One that is heard with the older map may still act on it as well.
  fixture.hear("k3", { revision: 1 });
  expect(fixture.freeAtMs()).toEqual(lastSentMs + GRANT_LIFE_MS);
});

/** Guards against a grant that leaves after its keeper was last heard. */
test("should count a grant that was under way by the end of its call", () => {
  const fixture = new Fixture();
  fixture.hear("k1", { sentMs: HEARD_AT_MS, unansweredMs: HEARD_AT_MS });
  fixture.hear("k2");
  fixture.hear("k3");
  const lastSentMs = HEARD_AT_MS + TIMINGS.grantTimeoutMs;
  expect(fixture.freeAtMs()).toEqual(lastSentMs + GRANT_LIFE_MS);
  // It is not known to be answered, so a release does not undo it.
  fixture.releasedAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(lastSentMs + GRANT_LIFE_MS);
});

/** Guards against grants of an earlier run that a keeper has forgotten. */
test("should count a restarted keeper by the start of its run", () => {
  const fixture = new Fixture();
  fixture.hear("k1");
  fixture.hear("k2");
  fixture.hear("k3", { startedAtMs: 9_950 });
  expect(fixture.freeAtMs()).toEqual(9_950 + GRANT_LIFE_MS);
});

test("should be free at once when the owner has released", () => {
  const fixture = new Fixture();
  for (const vm of ["k1", "k2", "k3"]) fixture.hear(vm, { sentMs: 9_900 });
  fixture.releasedAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(10_060);
});

/** Guards against a late grant that takes effect after the release. */
test("should wait after a release for a grant that was not answered", () => {
  const fixture = new Fixture();
  fixture.hear("k1", { sentMs: 9_900, unansweredMs: 9_600 });
  fixture.hear("k2");
  fixture.hear("k3");
  fixture.releasedAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(9_600 + GRANT_LIFE_MS);
});

/** Guards against a renewal that crosses the release and undoes it. */
test("should not count a release that left before a grant had ended", () => {
  const fixture = new Fixture();
  fixture.hear("k1", { sentMs: 10_058, heardAtMs: 10_059 });
  fixture.hear("k2");
  fixture.hear("k3");
  fixture.releasedAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(10_058 + GRANT_LIFE_MS);
  expect(grants.isReleaseVoid(fixture.facts())).toEqual(true);
  fixture.releaseLeftAtMs = 10_059;
  expect(fixture.freeAtMs()).toEqual(10_060);
  expect(grants.isReleaseVoid(fixture.facts())).toEqual(false);
});

test("should not wait for a run that has ended", () => {
  const fixture = new Fixture();
  fixture.hasEnded = true;
  expect(fixture.freeAtMs()).toEqual(Number.NEGATIVE_INFINITY);
});
