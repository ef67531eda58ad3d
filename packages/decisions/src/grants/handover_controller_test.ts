import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const SERVICE = "availability" as contracts.ServiceId;
const KEEPER = "k1" as contracts.VmId;
const MOVES = 20;
const STEP_MS = 5;
const START_MS = 10_000;
const RUN_MS = 1_000;

function owner(name: string): contracts.RangeOwner {
  return { server: name as contracts.ServerId, bornMs: 1 };
}

/** Two servers, of which one gives many ranges to the other. */
class Fixture {
  nowMs = START_MS;
  readonly #keepers = new grants.VoterReports();
  readonly mover = new grants.HandoverController(
    SERVICE,
    this.#keepers,
    grants.DEFAULT_GRANT_TIMINGS,
  );
  readonly #answers: { readonly fence: number; readonly atMs: number }[] = [];
  #moves: readonly grants.RangeMove[];
  #map: contracts.RangeMap | undefined;
  writes = 0;

  constructor() {
    const width = KEY_COUNT / (2 * MOVES);
    this.#moves = Array.from({ length: MOVES }, (_, index) => ({
      fromKey: 2 * index * width,
      toKey: (2 * index + 1) * width - 1,
      to: owner("b"),
    }));
  }

  /** Answers each release after a time of its own. */
  run(): void {
    const endMs = this.nowMs + RUN_MS;
    for (; this.nowMs < endMs; this.nowMs += STEP_MS) this.#step();
  }

  /** Runs until the moves are written, and no release is due yet. */
  runUntilMoving(): void {
    for (; this.movingRanges === 0; this.nowMs += STEP_MS) this.#step();
  }

  /** Releases that are due now. */
  takeReleases(): grants.ReleaseCall[] {
    this.#hear();
    this.mover.checkAcknowledgements(this.nowMs, new Set());
    return this.mover.takeReleases(this.nowMs, () => false);
  }

  get movingRanges(): number {
    return this.#map?.ranges.filter(({ vacating }) => vacating).length ?? 0;
  }

  #step(): void {
    const { mover, nowMs } = this;
    this.#hear();
    mover.checkAcknowledgements(nowMs, new Set());
    for (const { range } of mover.takeReleases(nowMs, () => false)) {
      const atMs = nowMs + STEP_MS * (1 + this.#answers.length % MOVES);
      this.#answers.push({ fence: range.fence, atMs });
    }
    for (const { fence, atMs } of this.#answers) {
      if (atMs === nowMs) {
        mover.noteReleaseResult(fence, { handover: "h" }, nowMs);
      }
    }
    const call = mover.nextCall(this.#tick());
    if (call === undefined) return;
    if (call.kind === "read") {
      return mover.noteCallResult({ kind: "absent" }, nowMs);
    }
    this.writes++;
    this.#map = call.map;
    const stored = { map: call.map, version: String(this.writes) };
    mover.noteCallResult({ kind: "written", stored }, nowMs);
  }

  #hear(): void {
    this.#keepers.noteReport({
      vm: KEEPER,
      revision: this.#map?.revision ?? 0,
      hasReadMap: true,
      requestedAtMs: this.nowMs,
      receivedAtMs: this.nowMs,
      startedAtMs: 0,
      // Its ranges would be free without a release only much later.
      lastGrantMs: new Map([[owner("a").server, START_MS]]),
      lastUnansweredMs: new Map(),
    });
  }

  #tick(): grants.HandoverTick {
    const isFirst = this.#map === undefined;
    const usable = (isFirst ? ["a"] : ["a", "b"]).map((name) =>
      [
        name as contracts.ServerId,
        { ...owner(name), slots: 1 } as contracts.RegisteredServer,
      ] as const
    );
    return {
      nowMs: this.nowMs,
      usable: new Map(usable),
      hasEnded: () => false,
      voters: [KEEPER],
      removedVoters: new Set(),
      leaseMs: grants.DEFAULT_GRANT_TIMINGS.holdMs,
      plan: () => {
        const moves = isFirst ? [] : this.#moves;
        if (!isFirst) this.#moves = [];
        return moves;
      },
      nonce: () => String(this.writes),
    };
  }
}

/** Guards against a write to the store for each end of many moves. */
test("should write the ends of many moves together", () => {
  const fixture = new Fixture();
  fixture.run();
  expect(fixture.movingRanges).toEqual(0);
  // The first map, the moves, and their ends in a few groups.
  expect(fixture.writes <= 6).toEqual(true);
});

/** Guards against a release of keys that their old owner has got again. */
test("should not release keys by a map that is known to be old", () => {
  const fixture = new Fixture();
  fixture.runUntilMoving();
  fixture.mover.noteNewerRevision(99);
  expect(fixture.takeReleases()).toEqual([]);
});

test("should release keys by the latest map that is known", () => {
  const fixture = new Fixture();
  fixture.runUntilMoving();
  expect(fixture.takeReleases().length).toEqual(MOVES);
});
