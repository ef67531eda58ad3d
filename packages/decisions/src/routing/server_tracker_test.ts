import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { ServerTracker } from "./server_tracker.ts";

const A = "a" as contracts.ServerId;
const B = "b" as contracts.ServerId;

function createTracker(): ServerTracker {
  const tracker = new ServerTracker({
    slotsPerServer: 3,
    maxLocalInFlight: 3,
    mayEject: true,
  }, 0);
  tracker.keepOnly(new Set([A, B]), 0);
  return tracker;
}

function availableServers(tracker: ServerTracker, nowMs: number): string[] {
  return tracker.candidates([A, B], nowMs).map(({ server }) => server);
}

test("should eject a frozen server until it answers a probe", () => {
  // The process of a server is frozen. Its connections stay open and accept
  // bytes, and its last health report is good: only the missing answers show
  // it.
  const tracker = createTracker();
  tracker.recordSent(A, 100);
  expect(tracker.ejectUnresponsive(499)).toEqual([]);
  expect(tracker.ejectUnresponsive(500)).toEqual([A]);
  expect(availableServers(tracker, 501)).toEqual([B]);

  expect(tracker.tryProbe(A, 501)).toEqual(true);
  expect(tracker.tryProbe(A, 502)).toEqual(false);
  tracker.recordProbe(A, false, 600);
  expect(tracker.tryProbe(A, 700)).toEqual(false);
  expect(tracker.tryProbe(A, 1100)).toEqual(true);
  expect(tracker.recordProbe(A, true, 1200)).toEqual("on-trial");

  // The first request is still in flight, so the trial has not started.
  expect(availableServers(tracker, 1201)).toEqual([B]);
  tracker.recordOutcome(A, 100, {
    end: { kind: "failure", cause: "timeout" },
    nowMs: 1300,
  });
  expect(availableServers(tracker, 1301)).toEqual([B]);
  expect(tracker.tryProbe(A, 2300)).toEqual(true);
  tracker.recordProbe(A, true, 2301);
  tracker.recordSent(A, 2302);
  const event = tracker.recordOutcome(A, 2302, {
    end: { kind: "answer" },
    nowMs: 2310,
  });
  expect(event).toEqual("returned");
  expect(availableServers(tracker, 2311)).toEqual([A, B]);
});

test("should keep using a server whose requests are only slow", () => {
  const tracker = createTracker();
  tracker.recordSent(A, 100);
  expect(tracker.ejectUnresponsive(500)).toEqual([A]);
  expect(tracker.tryProbe(A, 500)).toEqual(true);
  expect(tracker.recordProbe(A, true, 502)).toEqual("returned");
  expect(availableServers(tracker, 503)).toEqual([A, B]);
  expect(tracker.ejectUnresponsive(600)).toEqual([]);
});

test("should not count a caller's short deadline as a failure", () => {
  // One caller's requests have a timeout of 5 ms and end without an answer. The
  // server is healthy and must not be ejected for all other callers.
  const tracker = createTracker();
  for (let sentMs = 100; sentMs < 200; sentMs += 10) {
    tracker.recordSent(A, sentMs);
    const end = { kind: "failure", cause: "timeout" } as const;
    tracker.recordOutcome(A, sentMs, { end, nowMs: sentMs + 5 });
  }
  expect(availableServers(tracker, 300)).toEqual([A, B]);
  // Ten requests without any answer still lead to a probe.
  expect(tracker.ejectUnresponsive(500)).toEqual([A]);
  expect(tracker.tryProbe(A, 500)).toEqual(true);
  expect(tracker.recordProbe(A, true, 502)).toEqual("returned");
});

test("should lower a server's limit after a busy refusal and raise it again", () => {
  const tracker = createTracker();
  const busy = { kind: "refusal", refusal: "busy" } as const;
  for (const sentMs of [1, 2, 3]) tracker.recordSent(A, sentMs);
  tracker.recordOutcome(A, 1, { end: busy, nowMs: 20 });
  expect(availableServers(tracker, 21)).toEqual([B]);
  expect(availableServers(tracker, 30)).toEqual([B]);
  tracker.recordOutcome(A, 2, { end: { kind: "answer" }, nowMs: 31 });
  expect(availableServers(tracker, 32)).toEqual([A, B]);
});

test("should ramp up the share of a new server", () => {
  const tracker = createTracker();
  tracker.keepOnly(new Set([B]), 5000);
  tracker.keepOnly(new Set([A, B]), 6000);
  const [cold] = tracker.candidates([A], 6000);
  expect(cold!.weight).toBeCloseTo(0.1, 0.001);
  tracker.recordSent(A, 6001);
  expect(availableServers(tracker, 6002)).toEqual([B]);
  const [warm] = tracker.candidates([A], 11_000);
  expect(warm!.weight).toEqual(1);
});
