import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const TIMINGS = grants.DEFAULT_GRANT_TIMINGS;
const LEASE_LIFETIME_MS = grants.maxLeaseLifetimeMs(TIMINGS, TIMINGS.holdMs);
const A: contracts.RangeOwner = {
  server: "a" as contracts.ServerId,
  bornMs: 1,
};
const B: contracts.RangeOwner = {
  server: "b" as contracts.ServerId,
  bornMs: 1,
};

/** When the reports of a fixture's voters were received. */
const REPORTED_AT_MS = 10_040;

/** A handover from a to b with three voters, started at 10 000 ms. */
class Fixture {
  readonly reports = new grants.VoterReports();
  readonly map: contracts.RangeMap;
  readonly acknowledgedAtMs = 10_050;
  releaseAnsweredAtMs: number | undefined;
  releaseSentAtMs = 10_055;

  constructor(next = B) {
    const first = grants.initialRanges([{ ...A, slots: 1 }]);
    const started = grants.startHandovers(
      first,
      [{ fromKey: 0, toKey: 65_535, to: next }],
      { revision: 2, lastFence: 1 },
    );
    this.map = {
      service: "availability" as contracts.ServiceId,
      revision: 2,
      nonce: "n",
      keeperSets: [["k1", "k2", "k3"] as contracts.VmId[]],
      ...started,
    };
  }

  report(
    vm: string,
    options: {
      revision?: number;
      startedAtMs?: number;
      requestedAtMs?: number;
      reportedAtMs?: number;
      sentMs?: number;
      unansweredMs?: number;
      handovers?: readonly grants.HandoverGrants[];
    } = {},
  ): void {
    const { sentMs, unansweredMs } = options;
    this.reports.noteReport({
      vm: vm as contracts.VmId,
      revision: options.revision ?? 2,
      hasReadMap: true,
      requestedAtMs: options.requestedAtMs ?? 10_010,
      receivedAtMs: options.reportedAtMs ?? REPORTED_AT_MS,
      startedAtMs: options.startedAtMs ?? 0,
      lastGrantMs: new Map(sentMs === undefined ? [] : [[A.server, sentMs]]),
      lastUnansweredMs: new Map(
        unansweredMs === undefined ? [] : [[A.server, unansweredMs]],
      ),
      handovers: options.handovers,
    });
  }

  freeAtMs(): number | undefined {
    return grants.freeAtMs(this.facts());
  }

  facts(): grants.HandoverFacts {
    return {
      map: this.map,
      range: this.map.ranges[0]!,
      reports: this.reports,
      acknowledgedAtMs: this.acknowledgedAtMs,
      release: this.releaseAnsweredAtMs === undefined ? undefined : {
        sentAtMs: this.releaseSentAtMs,
        answeredAtMs: this.releaseAnsweredAtMs,
      },
      timings: TIMINGS,
    };
  }
}

/** Guards against two holders before an unresponsive owner's lease expires. */
test("should wait for the expiry of the last lease that any voter granted", () => {
  const fixture = new Fixture();
  fixture.report("k1", { sentMs: 9_700 });
  fixture.report("k2", { sentMs: 9_900 });
  fixture.report("k3");
  expect(fixture.freeAtMs()).toEqual(9_900 + LEASE_LIFETIME_MS);
});

/**
 * Guards against a late grant of a voter that checked its confirmation in time.
 */
test("should assume that an unresponsive voter grants until its confirmation expires", () => {
  const fixture = new Fixture();
  const lastSentMs = fixture.acknowledgedAtMs + TIMINGS.confirmationTtlMs +
    TIMINGS.grantTimeoutMs;
  fixture.report("k1", { sentMs: 9_700 });
  fixture.report("k2");
  expect(fixture.freeAtMs()).toEqual(lastSentMs + LEASE_LIFETIME_MS);
  // A voter that reports the older map may still act on it as well.
  fixture.report("k3", { revision: 1 });
  expect(fixture.freeAtMs()).toEqual(lastSentMs + LEASE_LIFETIME_MS);
});

/** Guards against handovers that wait anew for a voter that has left. */
test("should wait for a former voter from the acknowledgement of its successors", () => {
  const fixture = new Fixture();
  const former = "k0" as contracts.VmId;
  const facts = () => ({
    ...fixture.facts(),
    map: {
      ...fixture.map,
      keeperSets: [[former], ...fixture.map.keeperSets],
    },
    setsAcknowledgedAtMs: fixture.acknowledgedAtMs - 500,
  });
  for (const vm of ["k1", "k2", "k3"]) fixture.report(vm, { sentMs: 9_700 });
  const lastSentMs = fixture.acknowledgedAtMs - 500 +
    TIMINGS.confirmationTtlMs + TIMINGS.grantTimeoutMs;
  expect(grants.freeAtMs(facts())).toEqual(lastSentMs + LEASE_LIFETIME_MS);
  // What it has reported counts instead.
  fixture.report(former, { sentMs: 9_900 });
  expect(grants.freeAtMs(facts())).toEqual(9_900 + LEASE_LIFETIME_MS);
});

/** Guards against a grant that is sent after its voter's last report. */
test("should assume that a grant in flight lasts for the call's timeout", () => {
  const fixture = new Fixture();
  fixture.report("k1", {
    sentMs: REPORTED_AT_MS,
    unansweredMs: REPORTED_AT_MS,
  });
  fixture.report("k2");
  fixture.report("k3");
  const lastSentMs = REPORTED_AT_MS + TIMINGS.grantTimeoutMs;
  expect(fixture.freeAtMs()).toEqual(lastSentMs + LEASE_LIFETIME_MS);
  // It is not known to be answered, so a release does not revoke it.
  fixture.releaseAnsweredAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(lastSentMs + LEASE_LIFETIME_MS);
});

/** Guards against grants that a voter forgot when its process restarted. */
test("should assume that a restarted voter granted until its start", () => {
  const fixture = new Fixture();
  fixture.report("k1");
  fixture.report("k2");
  fixture.report("k3", { startedAtMs: 9_950 });
  expect(fixture.freeAtMs()).toEqual(9_950 + LEASE_LIFETIME_MS);
});

test("should be free at once when the owner has answered the release", () => {
  const fixture = new Fixture();
  for (const vm of ["k1", "k2", "k3"]) fixture.report(vm, { sentMs: 9_900 });
  fixture.releaseAnsweredAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(10_060);
});

/** Guards against a delayed grant that takes effect after the release. */
test("should wait for an unanswered grant after a release", () => {
  const fixture = new Fixture();
  fixture.report("k1", { sentMs: 9_900, unansweredMs: 9_600 });
  fixture.report("k2");
  fixture.report("k3");
  fixture.releaseAnsweredAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(9_600 + LEASE_LIFETIME_MS);
});

/**
 * Guards against a renewal that crosses the release and takes effect after it.
 */
test("should ignore a release that was sent before a grant call ended", () => {
  const fixture = new Fixture();
  fixture.report("k1", { sentMs: 10_058, reportedAtMs: 10_059 });
  fixture.report("k2");
  fixture.report("k3");
  fixture.releaseAnsweredAtMs = 10_060;
  expect(fixture.freeAtMs()).toEqual(10_058 + LEASE_LIFETIME_MS);
  expect(grants.isReleaseVoid(fixture.facts())).toEqual(true);
  fixture.releaseSentAtMs = 10_059;
  expect(fixture.freeAtMs()).toEqual(10_060);
  expect(grants.isReleaseVoid(fixture.facts())).toEqual(false);
});

/** Only the old owner's id can hold the keys, and its earlier run has ended. */
test("should not wait when the next owner is a later run of the old one", () => {
  const fixture = new Fixture({ ...A, bornMs: 2 });
  expect(fixture.freeAtMs()).toEqual(Number.NEGATIVE_INFINITY);
  expect(grants.handoverEnd(fixture.facts())?.reason).toEqual("same-server");
});

/** Guards against keys that the old owner's run itself is granted anew. */
test("should wait when the next owner is the same or an earlier run", () => {
  for (const bornMs of [A.bornMs, A.bornMs - 1]) {
    const fixture = new Fixture({ ...A, bornMs });
    for (const vm of ["k1", "k2", "k3"]) fixture.report(vm, { sentMs: 9_900 });
    expect(fixture.freeAtMs()).toEqual(9_900 + LEASE_LIFETIME_MS);
  }
});

/** Guards against logs that can't tell how a handover came to its end. */
test("should name the reason for which a range is free", () => {
  const fixture = new Fixture();
  const reason = () => grants.handoverEnd(fixture.facts())?.reason;
  for (const vm of ["k1", "k2", "k3"]) fixture.report(vm, { sentMs: 9_900 });
  expect(reason()).toEqual("expired");
  fixture.releaseAnsweredAtMs = 10_060;
  expect(reason()).toEqual("released");
});

/** Guards against a handover that each later one from its old owner prolongs. */
test("should ignore grants of ranges that the old owner lost in another handover", () => {
  const fixture = new Fixture();
  const grantsOf = (revision: number, lastMs: number) => ({
    server: A.server,
    revision,
    lastGrantMs: lastMs,
    leaseEndMs: lastMs + LEASE_LIFETIME_MS,
    unansweredLeaseEndMs: lastMs + LEASE_LIFETIME_MS,
  });
  const later = grantsOf(5, 13_000);
  fixture.releaseAnsweredAtMs = 10_070;
  for (const vm of ["k1", "k2", "k3"]) {
    fixture.report(vm, {
      revision: 5,
      reportedAtMs: 13_100,
      sentMs: 13_000,
      unansweredMs: 13_000,
      handovers: vm === "k2" ? [later, grantsOf(2, 8_600)] : [later],
    });
  }
  expect(grants.isReleaseVoid(fixture.facts())).toEqual(false);
  expect(fixture.freeAtMs()).toEqual(8_600 + LEASE_LIFETIME_MS);
});

/** Guards against two holders while VMs of an earlier version vote. */
test("should count grants by server of a voter that does not tell handovers apart", () => {
  const fixture = new Fixture();
  fixture.releaseAnsweredAtMs = 10_070;
  for (const vm of ["k1", "k2"]) fixture.report(vm, { handovers: [] });
  const endMs = 10_060;
  const reportedAtMs = 10_100;
  fixture.report("k3", { sentMs: endMs, unansweredMs: endMs, reportedAtMs });
  expect(grants.isReleaseVoid(fixture.facts())).toEqual(true);
  expect(fixture.freeAtMs()).toEqual(10_060 + LEASE_LIFETIME_MS);
});

/** A voter that starts again while its handover goes on. */
class RestartFixture extends Fixture {
  static readonly restartedAtMs = 10_950;

  constructor() {
    super();
    this.releaseAnsweredAtMs = 10_070;
    for (const vm of ["k1", "k2"]) this.report(vm, { handovers: [] });
  }

  /** The last report of the voter's earlier run. */
  reportBefore(options: { revision?: number; requestedAtMs?: number } = {}) {
    this.report("k3", {
      requestedAtMs: 10_450,
      reportedAtMs: 10_500,
      handovers: [{
        server: A.server,
        revision: 2,
        lastGrantMs: 10_040,
        leaseEndMs: 10_040 + LEASE_LIFETIME_MS,
        unansweredLeaseEndMs: undefined,
      }],
      ...options,
    });
  }

  /** A report of the run that started at `startedAtMs`. */
  reportAfter(startedAtMs = RestartFixture.restartedAtMs) {
    const reportedAtMs = startedAtMs + 500;
    const requestedAtMs = reportedAtMs - 10;
    const handovers: grants.HandoverGrants[] = [];
    this.report("k3", { startedAtMs, requestedAtMs, reportedAtMs, handovers });
  }
}

/** Guards against handovers that each restart of a voter prolongs. */
test("should not wait longer when a voter starts again that has told its grants", () => {
  const fixture = new RestartFixture();
  fixture.reportBefore();
  // Its answers may have been in doubt, so the release does not end its lease.
  fixture.reportAfter();
  expect(fixture.freeAtMs()).toEqual(10_040 + LEASE_LIFETIME_MS);
});

/** Guards against grants that a voter has forgotten. */
for (
  const [name, before] of [
    ["did not know the handover", { revision: 1 }],
    ["was asked before the quorum's acknowledgement", {
      requestedAtMs: 10_049,
    }],
  ] as const
) {
  test(`should wait from the start of a voter whose earlier run ${name}`, () => {
    const fixture = new RestartFixture();
    fixture.reportBefore(before);
    fixture.reportAfter();
    expect(fixture.freeAtMs())
      .toEqual(RestartFixture.restartedAtMs + LEASE_LIFETIME_MS);
  });
}

/** A run that has told nothing of itself may have followed the first one. */
test("should wait from the start of the run whose report is the last but one", () => {
  const fixture = new RestartFixture();
  fixture.reportBefore();
  fixture.reportAfter();
  fixture.reportAfter(RestartFixture.restartedAtMs + 600);
  expect(fixture.freeAtMs())
    .toEqual(RestartFixture.restartedAtMs + LEASE_LIFETIME_MS);
});

/** Guards against confirmations of a process that was paused. */
test("should forget the reports of earlier runs with all confirmations", () => {
  const fixture = new RestartFixture();
  fixture.reportBefore();
  fixture.reports.clearConfirmations();
  for (const vm of ["k1", "k2"]) fixture.report(vm, { handovers: [] });
  fixture.reportAfter();
  expect(fixture.freeAtMs())
    .toEqual(RestartFixture.restartedAtMs + LEASE_LIFETIME_MS);
});

/** Guards against handovers that a voter prolongs by starting late. */
test("should wait no longer for a voter that starts again than for one that is not heard", () => {
  const silent = new RestartFixture();
  const silentMs = silent.freeAtMs()!;
  for (const laterByMs of [-1, 0, 500]) {
    const restarted = new RestartFixture();
    restarted.reportAfter(silentMs - LEASE_LIFETIME_MS + laterByMs);
    expect(restarted.freeAtMs()).toEqual(silentMs + Math.min(0, laterByMs));
  }
});
