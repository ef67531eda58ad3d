import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const SERVICE = "availability" as contracts.ServiceId;
const VOTER = "k1" as contracts.VmId;
const NEXT_VOTER = "k2" as contracts.VmId;
const MOVES = 20;
const STEP_MS = 5;
const START_MS = 10_000;
const RUN_MS = 1_000;
const LONG_LEASE_MS = 6_000;

function owner(name: string): contracts.RangeOwner {
  return { server: name as contracts.ServerId, bornMs: 1 };
}

/** Options of {@link Fixture}. */
interface FixtureOptions {
  /** The old owner limits its calls, and so has long leases. */
  readonly isSparing?: boolean;
  /** The old owner limits its calls until the handovers have begun. */
  readonly wasSparing?: boolean;
  /** The old owner is lost once the handovers have begun. */
  readonly losesOldOwner?: boolean;
  /** A grant to the old owner was not answered at the start. */
  readonly hasUnansweredGrant?: boolean;
  /** The old owner's other ranges are renewed all the time. */
  readonly renewsOthers?: boolean;
  /** The next owner of the ranges; the second server by default. */
  readonly nextOwner?: contracts.RangeOwner;
  /** Another VM votes instead from the start of the handovers on. */
  readonly replacesVoter?: boolean;
}

/** Two servers, with many ranges handed over from one to the other. */
class Fixture {
  nowMs = START_MS;
  readonly #reports = new grants.VoterReports();
  readonly controller = new grants.HandoverController(
    SERVICE,
    this.#reports,
    grants.DEFAULT_GRANT_TIMINGS,
  );
  readonly #answers: { readonly fence: number; readonly atMs: number }[] = [];
  #moves: readonly grants.RangeMove[];
  #map: contracts.RangeMap | undefined;
  writes = 0;
  releases = 0;
  readonly #options: FixtureOptions;

  constructor(options: FixtureOptions = {}) {
    this.#options = options;
    const width = KEY_COUNT / (2 * MOVES);
    this.#moves = Array.from({ length: MOVES }, (_, index) => ({
      fromKey: 2 * index * width,
      toKey: (2 * index + 1) * width - 1,
      to: options.nextOwner ?? owner("b"),
    }));
  }

  /** Runs for a second; each release is answered after a different delay. */
  run(): void {
    const endMs = this.nowMs + RUN_MS;
    for (; this.nowMs < endMs; this.nowMs += STEP_MS) this.#step();
  }

  /** Runs until the start of the handovers is written, before any release. */
  runUntilMoving(): void {
    for (; this.movingRanges === 0; this.nowMs += STEP_MS) this.#step();
  }

  /** Releases that are due now. */
  takeReleases(): grants.ReleaseCall[] {
    this.#reportVoter();
    this.controller.checkAcknowledgements(this.nowMs, new Set());
    return this.controller.takeReleases(this.nowMs);
  }

  get voterSets(): contracts.RangeMap["keeperSets"] {
    return this.#map?.keeperSets ?? [];
  }

  get ranges(): readonly contracts.RangeState[] {
    return this.#map?.ranges ?? [];
  }

  get movingRanges(): number {
    return this.#map?.ranges.filter(({ vacating }) => vacating).length ?? 0;
  }

  #step(): void {
    const { controller, nowMs } = this;
    this.#reportVoter();
    controller.checkAcknowledgements(nowMs, new Set());
    for (const { range } of controller.takeReleases(nowMs)) {
      this.releases++;
      const atMs = nowMs + STEP_MS * (1 + this.#answers.length % MOVES);
      this.#answers.push({ fence: range.fence, atMs });
    }
    for (const { fence, atMs } of this.#answers) {
      if (atMs === nowMs) {
        controller.noteReleaseResult(fence, { handover: "h" }, nowMs);
      }
    }
    const call = controller.nextCall(this.#tick());
    if (call === undefined) return;
    if (call.kind === "read") {
      return controller.noteCallResult({ kind: "absent" }, nowMs);
    }
    this.writes++;
    this.#map = call.map;
    const stored = { map: call.map, version: String(this.writes) };
    controller.noteCallResult({ kind: "written", stored }, nowMs);
  }

  #reportVoter(): void {
    for (const vm of [VOTER, NEXT_VOTER]) this.#reportVoterOf(vm);
  }

  #reportVoterOf(vm: contracts.VmId): void {
    this.#reports.noteReport({
      vm,
      revision: this.#map?.revision ?? 0,
      hasReadMap: true,
      requestedAtMs: this.nowMs,
      receivedAtMs: this.nowMs,
      startedAtMs: 0,
      // Without a release the ranges would be free only much later.
      lastGrantMs: new Map([[
        owner("a").server,
        this.#options.renewsOthers ? this.nowMs - STEP_MS : START_MS,
      ]]),
      lastUnansweredMs: new Map(
        this.#options.hasUnansweredGrant ? [[owner("a").server, START_MS]] : [],
      ),
    });
  }

  #tick(): grants.HandoverTick {
    const isFirst = this.#map === undefined;
    const isLost = this.#options.losesOldOwner && this.movingRanges > 0;
    const names = isFirst ? ["a"] : isLost ? ["b"] : ["a", "b"];
    const usable = names.map((name) =>
      [
        name as contracts.ServerId,
        { ...owner(name), slots: 1 } as contracts.RegisteredServer,
      ] as const
    );
    return {
      nowMs: this.nowMs,
      usable: new Map(usable),
      voters: this.#options.replacesVoter && !isFirst ? [NEXT_VOTER] : [VOTER],
      removedVoters: new Set(),
      leaseMs: grants.DEFAULT_GRANT_TIMINGS.holdMs,
      serverLeasesMs: new Map(
        this.#options.isSparing ||
          this.#options.wasSparing && this.movingRanges === 0
          ? [[owner("a").server, LONG_LEASE_MS]]
          : [],
      ),
      plan: () => {
        const moves = isFirst ? [] : this.#moves;
        if (!isFirst) this.#moves = [];
        return moves;
      },
      nonce: () => String(this.writes),
    };
  }
}

/** Guards against one write to the store for each finished handover. */
test("should batch the writes that finish handovers", () => {
  const fixture = new Fixture();
  fixture.run();
  expect(fixture.movingRanges).toEqual(0);
  // The initial map, the start of the handovers, and their ends in batches.
  expect(fixture.writes <= 6).toEqual(true);
});

/** Guards against a release of keys that their old owner owns again. */
test("should not release keys by a map that is known to be stale", () => {
  const fixture = new Fixture();
  fixture.runUntilMoving();
  fixture.controller.noteNewerRevision(99);
  expect(fixture.takeReleases()).toEqual([]);
});

test("should release keys by the latest known map", () => {
  const fixture = new Fixture();
  fixture.runUntilMoving();
  expect(fixture.takeReleases().length).toEqual(MOVES);
});

/**
 * Each renewal of its other ranges makes a release void, and each release is a
 * call that the server has no room for.
 */
test("should release a limited owner's range again only when that can end its lease", () => {
  const options = { hasUnansweredGrant: true, renewsOthers: true };
  const usual = new Fixture(options);
  usual.run();
  expect(usual.releases).toBeGreaterThan(2 * MOVES);
  const limited = new Fixture({ ...options, isSparing: true });
  limited.run();
  expect(limited.releases).toEqual(MOVES);
  expect(limited.movingRanges).toEqual(MOVES);
});

/**
 * Guards against keys that a running owner has released and that nobody serves
 * until its long lease has expired.
 */
test("should give ranges back whose old owner's lease outlasts the release", () => {
  const fixture = new Fixture({ wasSparing: true, hasUnansweredGrant: true });
  fixture.runUntilMoving();
  const releasedFences = fixture.ranges.map(({ fence }) => fence);
  fixture.run();
  expect(fixture.movingRanges).toEqual(0);
  expect(fixture.ranges.every(({ owner: { server } }) => server === "a"))
    .toEqual(true);
  // A delayed release must not take them away again.
  const moved = fixture.ranges.filter(({ fence }) => fence > 1);
  expect(moved.length).toEqual(MOVES);
  for (const { fence } of moved) {
    expect(fence).toBeGreaterThan(Math.max(...releasedFences));
    expect(fixture.controller.handover(fence)).toEqual("h");
  }
});

/** Guards against a handover that is started and abandoned again and again. */
test("should have ranges stay after an abandoned handover until the lease has expired", () => {
  const fixture = new Fixture({ wasSparing: true, hasUnansweredGrant: true });
  const { server } = owner("a");
  fixture.runUntilMoving();
  expect(fixture.controller.keepsRanges(server, fixture.nowMs)).toEqual(false);
  fixture.run();
  const endMs = START_MS +
    grants.maxLeaseLifetimeMs(grants.DEFAULT_GRANT_TIMINGS, LONG_LEASE_MS);
  expect(fixture.controller.keepsRanges(server, endMs - 1)).toEqual(true);
  expect(fixture.controller.keepsRanges(server, endMs)).toEqual(false);
});

/** Guards against keys that go back to a server that does not serve them. */
test("should not give ranges back to an old owner that is lost", () => {
  const fixture = new Fixture({
    wasSparing: true,
    hasUnansweredGrant: true,
    losesOldOwner: true,
  });
  fixture.run();
  expect(fixture.movingRanges).toEqual(MOVES);
});

/**
 * Guards against a release that reaches the new run of the old owner after its
 * grant, and revokes it.
 */
test("should not release keys that the old owner's new run is to own", () => {
  const fixture = new Fixture({ nextOwner: { ...owner("a"), bornMs: 2 } });
  fixture.runUntilMoving();
  expect(fixture.takeReleases()).toEqual([]);
  fixture.run();
  expect(fixture.movingRanges).toEqual(0);
  expect(fixture.releases).toEqual(0);
});

/** Guards against forgotten leases, and against voters that stay for good. */
test("should name former voters until their leases have expired", () => {
  const fixture = new Fixture({ replacesVoter: true });
  fixture.runUntilMoving();
  const timings = grants.DEFAULT_GRANT_TIMINGS;
  const endMs = fixture.nowMs +
    grants.maxFormerLeaseMs(timings, timings.holdMs);
  while (fixture.nowMs < endMs - RUN_MS) fixture.run();
  expect(fixture.voterSets).toEqual([[VOTER], [NEXT_VOTER]]);
  while (fixture.nowMs < endMs) fixture.run();
  expect(fixture.voterSets).toEqual([[NEXT_VOTER]]);
});

/** A lost server's keys are served again within this time. */
const RECOVERY_LIMIT_MS = 4_000;
const MODEL_STEP_MS = 20;

/** Three voters, of which two are lost in turn; the first loss is replaced. */
class LostVoters {
  readonly #reports = new grants.VoterReports();
  readonly #controller = new grants.HandoverController(
    SERVICE,
    this.#reports,
    grants.DEFAULT_GRANT_TIMINGS,
  );
  readonly #otherLeaseMs: number;
  readonly #lostAtMs = new Map<string, number>();
  #stored: grants.StoredRangeMap | undefined;
  #isMoveDue = false;
  voters = ["k1", "k2", "k3"];
  nowMs = START_MS;
  /** How each release fails. */
  releaseResult: grants.FailedRelease = "failed";
  fencingReleases = 0;

  /** `otherLeaseMs`: lease of the server that owns none of the moved keys. */
  constructor(otherLeaseMs: number) {
    this.#otherLeaseMs = otherLeaseMs;
  }

  lose(vm: string): void {
    this.#lostAtMs.set(vm, this.nowMs);
  }

  runFor(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) this.#step();
  }

  /** Moves keys of a server that does not answer; returns the time it takes. */
  moveMs(): number {
    const startMs = this.nowMs;
    this.#isMoveDue = true;
    do this.#step(); while (this.#isMoving && this.nowMs < startMs + 30_000);
    return this.nowMs - startMs;
  }

  get #isMoving(): boolean {
    const { ranges } = this.#stored!.map;
    return this.#isMoveDue || ranges.some(({ vacating }) => vacating);
  }

  #step(): void {
    this.nowMs += MODEL_STEP_MS;
    const nowMs = this.nowMs;
    for (const vm of ["k1", "k2", "k3", "k4"]) {
      if (this.#lostAtMs.has(vm)) continue;
      this.#reports.noteReport({
        vm: vm as contracts.VmId,
        revision: this.#stored?.map.revision ?? 0,
        hasReadMap: true,
        requestedAtMs: nowMs,
        receivedAtMs: nowMs,
        startedAtMs: 0,
        lastGrantMs: new Map(),
        lastUnansweredMs: new Map(),
      });
    }
    const tick = this.#tick();
    this.#controller.checkAcknowledgements(nowMs, tick.removedVoters);
    for (const call of this.#controller.takeReleases(nowMs)) {
      const { range, isFencing = false } = call;
      if (isFencing) this.fencingReleases++;
      const result = this.releaseResult;
      this.#controller.noteReleaseResult(range.fence, result, nowMs);
    }
    const call = this.#controller.nextCall(tick);
    if (call === undefined) return;
    if (call.kind === "write") {
      this.#stored = { map: call.map, version: String(call.map.revision) };
    }
    this.#controller.noteCallResult(
      this.#stored === undefined
        ? { kind: "absent" }
        : { kind: "written", stored: this.#stored },
      nowMs,
    );
  }

  #tick(): grants.HandoverTick {
    const usable = ["a", "b"].map((name) => {
      const entry = { ...owner(name), slots: 1 };
      return [entry.server, entry as contracts.RegisteredServer] as const;
    });
    const removed = [...this.#lostAtMs].filter(([, lostAtMs]) =>
      this.nowMs - lostAtMs > 10_000
    );
    return {
      nowMs: this.nowMs,
      usable: new Map(usable),
      voters: this.voters as contracts.VmId[],
      removedVoters: new Set(removed.map(([vm]) => vm as contracts.VmId)),
      leaseMs: grants.DEFAULT_GRANT_TIMINGS.holdMs,
      serverLeasesMs: new Map([[owner("b").server, this.#otherLeaseMs]]),
      plan: () => {
        if (!this.#isMoveDue) return [];
        this.#isMoveDue = false;
        return [{ fromKey: 0, toKey: 99, to: owner("b") }];
      },
      nonce: () => "n",
    };
  }
}

for (const otherLeaseMs of [1_500, 10_000]) {
  /** Former voters that can confirm nothing would hold handovers up. */
  test(`should hand keys over in time with a majority of the voters but not of former ones, beside leases of ${otherLeaseMs} ms`, () => {
    const fixture = new LostVoters(otherLeaseMs);
    fixture.runFor(500);
    fixture.lose("k3");
    fixture.runFor(3_000);
    fixture.voters = ["k1", "k2", "k4"];
    fixture.runFor(1_000);
    fixture.lose("k2");
    expect(fixture.moveMs()).toBeLessThan(RECOVERY_LIMIT_MS);
  });
}

/** Each further call would be a new connection, for each range and 30 s. */
test("should not repeat a fencing release to another process at the address", () => {
  const fixture = new LostVoters(1_500);
  fixture.runFor(500);
  fixture.releaseResult = "misdirected";
  fixture.moveMs();
  fixture.runFor(3_000);
  expect(fixture.fencingReleases).toEqual(1);
});
