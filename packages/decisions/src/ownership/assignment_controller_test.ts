import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as ownership from "./mod.ts";

const SETTINGS = ownership.DEFAULT_OWNERSHIP_SETTINGS;
const SELF = "entry-1" as contracts.VmId;
const PEER = "entry-2" as contracts.VmId;
const OLD = "old" as contracts.ServerId;
const NEXT = "next" as contracts.ServerId;
const RANDOM = { next: () => 0.5 };
const RUN = "run-1" as contracts.Incarnation;

const START: contracts.Assignment = {
  service: "ledger" as contracts.ServiceId,
  revision: 4,
  writer: SELF,
  writerIncarnation: RUN,
  nonce: "n",
  keeperSets: [[{ vm: SELF }]],
  slices: ownership.equalSlices([OLD], 1, { fence: 2 }),
};
const SLICE = contracts.sliceIdOf(START.slices[0]!);

class Fixture {
  readonly mover = new ownership.AssignmentController(
    { service: START.service, vm: SELF, incarnation: RUN },
    SETTINGS,
  );
  checksFences = true;

  constructor() {
    this.tick(0);
    this.mover.noteRead(
      { kind: "found", assignment: START, version: "v4" },
      0,
      RANDOM,
    );
  }

  tick(nowMs: number): ownership.AssignmentEffect | undefined {
    return this.mover.tick({
      nowMs,
      random: RANDOM,
      isLive: () => true,
      checksFences: () => this.checksFences,
      entryVms: [SELF, PEER],
    });
  }

  /** Begins the move; the first update is acknowledged at 10. */
  vacate(): contracts.Assignment {
    this.mover.request({
      kind: "move",
      slice: SLICE,
      toServer: NEXT,
      reason: "test",
    });
    const effect = this.tick(5);
    if (effect?.kind !== "write") throw new Error("No write was asked for");
    this.mover.noteWrite({ kind: "acknowledged", version: "v5" }, 10, RANDOM);
    return effect.assignment;
  }

  reply(inFlight: number, nowMs: number): void {
    const order = {
      service: START.service,
      server: OLD,
      revision: 5,
      leaseMs: SETTINGS.leaseMs,
      slices: [],
    };
    const reply = {
      instance: "run-1",
      stampMs: 1,
      revision: 5,
      accepted: true,
      releasing: inFlight > 0 ? [{ slice: SLICE, inFlight }] : [],
      draining: false,
      checksFences: this.checksFences,
    };
    this.mover.noteReply({ command: order, reply, sentAtMs: nowMs, nowMs });
  }
}

test("should take a slice from its owner before it gives it on", () => {
  const fixture = new Fixture();
  const vacating = fixture.vacate().slices[0]!;
  expect(vacating).toEqual({
    ...START.slices[0]!,
    state: "vacating",
    server: NEXT,
    from: [OLD],
  });
  expect(fixture.tick(20)).toEqual(undefined);
  fixture.reply(0, 30);
  const effect = fixture.tick(40);
  if (effect?.kind !== "write") throw new Error("No write was asked for");
  const { state, server, fence } = effect.assignment.slices[0]!;
  expect([state, server as string, fence]).toEqual(["owned", NEXT, 6]);
});

test("should wait out evidence and lease of a silent server", () => {
  const fixture = new Fixture();
  fixture.vacate();
  const endMs = 10 + ownership.leaseExpiryWaitMs(SETTINGS);
  expect(fixture.tick(endMs - 1)).toEqual(undefined);
  expect(fixture.tick(endMs)?.kind).toEqual("write");
});

// A nomination still runs at the old owner although its lease is over. Were
// the slice given on, the next owner could run it a second time.
test("should give a server that answers time to finish its requests", () => {
  const fixture = new Fixture();
  fixture.vacate();
  const endMs = 10 + ownership.leaseExpiryWaitMs(SETTINGS);
  fixture.reply(1, endMs - 50);
  expect(fixture.tick(endMs + 50)).toEqual(undefined);
  fixture.reply(0, endMs + 60);
  expect(fixture.tick(endMs + 70)?.kind).toEqual("write");
});

// The update took effect and its reply was lost. Deciding on the state before
// it would begin the move a second time.
test("should read back a write without a reply before it goes on", () => {
  const fixture = new Fixture();
  fixture.mover.request({
    kind: "move",
    slice: SLICE,
    toServer: NEXT,
    reason: "test",
  });
  const effect = fixture.tick(5);
  if (effect?.kind !== "write") throw new Error("No write was asked for");
  fixture.mover.noteWrite({ kind: "unknown" }, 300, RANDOM);
  expect(fixture.tick(1_000)?.kind).toEqual("read");
  const { assignment } = effect;
  fixture.mover.noteRead(
    { kind: "found", assignment, version: "v5" },
    1_010,
    RANDOM,
  );
  expect(fixture.tick(1_020)).toEqual(undefined);
  const endMs = 1_010 + ownership.leaseExpiryWaitMs(SETTINGS);
  expect(fixture.tick(endMs)?.kind).toEqual("write");
});

test("should not wait for an entry VM for ever with an unfenced server", () => {
  const fixture = new Fixture();
  fixture.checksFences = false;
  fixture.vacate();
  const { evidenceMs, unfencedMoveWaitMs, clockRateMargin } = SETTINGS;
  const waitMs = (evidenceMs + unfencedMoveWaitMs) * (1 + clockRateMargin);
  const endMs = 10 + waitMs;
  expect(fixture.tick(endMs - 1)).toEqual(undefined);
  expect(fixture.tick(endMs)?.kind).toEqual("write");
});

// The server obeys any sender, so its own word proves nothing: an entry VM
// that has not heard of the move may still forward a booking to it.
test("should ask every entry VM before it moves keys of an unfenced server", () => {
  const fixture = new Fixture();
  fixture.checksFences = false;
  fixture.vacate();
  fixture.reply(0, 20);
  expect(fixture.tick(10 + SETTINGS.evidenceMs)).toEqual(undefined);
  const settledMs = 10 + SETTINGS.unfencedMoveWaitMs + 100;
  for (const [vm, nowMs] of [[SELF, 30], [PEER, 100]] as const) {
    const report = { vm, incarnation: RUN, revision: 5, busyServers: [] };
    fixture.mover.noteUnfencedRequests({ ...report, nowMs });
  }
  expect(fixture.tick(settledMs - 20)).toEqual(undefined);
  expect(fixture.tick(settledMs)?.kind).toEqual("write");
});
