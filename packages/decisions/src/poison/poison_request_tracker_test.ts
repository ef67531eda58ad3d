import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import {
  POISON_CRASH_LIMIT,
  PoisonRequestTracker,
} from "./poison_request_tracker.ts";

const SERVICE = "svc" as contracts.ServiceId;
const CALLER = "10.0.0.1" as contracts.CallerId;
const OTHER = "10.0.0.2" as contracts.CallerId;
const ALL_RUN = () => true;

function fingerprint(value: number): contracts.RequestFingerprint {
  const text = value.toString(16).padStart(32, "0");
  return text as contracts.RequestFingerprint;
}

const REQUEST = fingerprint(1);

function crash(
  server: number,
  overrides: Partial<contracts.ServerCrash> = {},
): contracts.ServerCrash {
  return {
    service: SERVICE,
    server: `s${server}` as contracts.ServerId,
    bornMs: 1,
    softwareVersion: "v1",
    caller: CALLER,
    atMs: server * 1_000,
    ...overrides,
  };
}

function trackerWith(
  crashes: readonly contracts.ServerCrash[],
): PoisonRequestTracker {
  const tracker = new PoisonRequestTracker();
  for (const recorded of crashes) tracker.recordCrash(REQUEST, recorded);
  return tracker;
}

test("should call a request poisonous with its third crashed server", () => {
  const tracker = new PoisonRequestTracker();
  const verdicts = [1, 2, 3].map((server) => {
    tracker.recordCrash(REQUEST, crash(server));
    return tracker.verdict(REQUEST, CALLER, ALL_RUN);
  });
  expect(verdicts).toEqual(["suspect", "suspect", "poisonous"]);
  expect(tracker.verdict(fingerprint(2), CALLER, ALL_RUN)).toEqual("clear");
});

/** Several VMs report one crash, each report more than once. */
test("should count a server once however often its crash is reported", () => {
  const tracker = trackerWith([crash(1), crash(1), crash(1, { atMs: 1_003 })]);
  expect(tracker.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("suspect");
  const reborn = [2, 3].map((bornMs) => crash(1, { bornMs }));
  for (const again of reborn) tracker.recordCrash(REQUEST, again);
  expect(tracker.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("poisonous");
});

/** The moment at which an end is seen must not make it two, or two of them one. */
test("should count the ends of servers that name no start by their runs", () => {
  for (const offsetMs of [0, 1_999, 2_001]) {
    const end = (server: number, run: string | undefined, atMs: number) =>
      crash(server, { bornMs: 0, run, atMs: 100_000 + offsetMs + atMs });
    const seenTwice = trackerWith([
      end(1, undefined, 0),
      end(1, undefined, 2),
      end(2, undefined, 901),
    ]);
    expect(seenTwice.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("suspect");
    const seenOnce = trackerWith([
      end(1, "a", 0),
      end(1, undefined, 4),
      end(1, "b", 800),
      end(2, "c", 901),
    ]);
    expect(seenOnce.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("poisonous");
  }
});

/** A request on a hot key is there whenever the key's owner crashes. */
test("should clear a request that was answered between the crashes", () => {
  const tracker = new PoisonRequestTracker();
  for (let server = 1; server <= 20; server++) {
    tracker.recordCrash(REQUEST, crash(server));
    tracker.recordAnswer(REQUEST, {
      caller: CALLER,
      atMs: server * 1_000 + 10,
    });
    expect(tracker.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("clear");
  }
});

/** A report that is repeated must not undo the answer that came meanwhile. */
test("should ignore a crash that is reported after a later answer", () => {
  const tracker = trackerWith([crash(1)]);
  tracker.recordAnswer(REQUEST, { caller: CALLER, atMs: 1_500 });
  expect(tracker.recordCrash(REQUEST, crash(1))).toEqual(false);
  expect(tracker.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("clear");
});

/** Otherwise one caller could have another's requests refused. */
test("should not count one caller's crashes against another caller", () => {
  const tracker = trackerWith([crash(1), crash(2), crash(3)]);
  expect(tracker.verdict(REQUEST, OTHER, ALL_RUN)).toEqual("clear");
});

/** A caller that changes its address must not get three servers with each. */
test("should count the crashes of all callers once several have crashed servers", () => {
  const tracker = trackerWith([
    crash(1),
    crash(2, { caller: OTHER }),
    crash(3, { caller: "10.0.0.3" as contracts.CallerId }),
  ]);
  const next = "10.0.0.4" as contracts.CallerId;
  expect(tracker.verdict(REQUEST, next, ALL_RUN)).toEqual("poisonous");
});

/** The same content sent by many, and answered, did not crash the servers. */
test("should clear content that several callers sent when one is answered", () => {
  const tracker = trackerWith([
    crash(1),
    crash(2, { caller: OTHER }),
    crash(3, { caller: "10.0.0.3" as contracts.CallerId }),
  ]);
  tracker.recordAnswer(REQUEST, { caller: OTHER, atMs: 5_000 });
  const next = "10.0.0.4" as contracts.CallerId;
  expect(tracker.verdict(REQUEST, next, ALL_RUN)).toEqual("clear");
});

test("should put a poisonous request on trial once its versions are replaced", () => {
  const tracker = trackerWith([crash(1), crash(2), crash(3)]);
  const runs = (version: string) => (_: contracts.ServiceId, running: string) =>
    running === version;
  expect(tracker.verdict(REQUEST, CALLER, runs("v1"))).toEqual("poisonous");
  expect(tracker.verdict(REQUEST, CALLER, runs("v2"))).toEqual("suspect");
  tracker.recordCrash(REQUEST, crash(4, { softwareVersion: "v2" }));
  expect(tracker.verdict(REQUEST, CALLER, runs("v2"))).toEqual("poisonous");
});

test("should clear a request that a mended release answers", () => {
  const tracker = trackerWith([crash(1), crash(2), crash(3)]);
  tracker.recordAnswer(REQUEST, { caller: CALLER, atMs: 9_000 });
  expect(tracker.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("clear");
});

test("should forget crashes after a day", () => {
  const tracker = trackerWith([crash(1), crash(2), crash(3)]);
  expect(tracker.expire(86_400_000)).toEqual([]);
  expect(tracker.expire(2 * 86_400_000)).toEqual([REQUEST]);
  expect(tracker.size).toEqual(0);
});

/** A caller varies its requests without end. */
test("should stay bounded and keep poisonous requests when suspects come without end", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 2, max: 500 }), { maxLength: 400 }),
    (suspects) => {
      const tracker = new PoisonRequestTracker({ maxRequests: 20 });
      for (let server = 1; server <= POISON_CRASH_LIMIT; server++) {
        tracker.recordCrash(REQUEST, crash(server));
      }
      for (const [index, suspect] of suspects.entries()) {
        tracker.recordCrash(fingerprint(suspect), crash(100 + index));
      }
      expect(tracker.size <= 20).toEqual(true);
      expect(tracker.verdict(REQUEST, CALLER, ALL_RUN)).toEqual("poisonous");
    },
  ));
});
