import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { ServerTracker } from "./server_tracker.ts";

const A = "a" as contracts.ServerId;
const B = "b" as contracts.ServerId;

function createTracker(): ServerTracker {
  const board = new ServerTracker({
    slotsPerServer: 3,
    maxLocalInFlight: 3,
    mayEject: true,
  }, 0);
  board.keepOnly(new Set([A, B]), 0);
  return board;
}

function availableServers(board: ServerTracker, nowMs: number): string[] {
  return board.candidates([A, B], nowMs).map(({ server }) => server);
}

test("should take a frozen server out until it answers a probe", () => {
  // A server stops in its tracks. Its connections stay open and take bytes,
  // its health report is old and good; callers whose request went there wait
  // in vain. Only the lack of any answer shows it.
  const board = createTracker();
  board.recordSent(A, 100);
  expect(board.ejectUnresponsive(499)).toEqual([]);
  expect(board.ejectUnresponsive(500)).toEqual([A]);
  expect(availableServers(board, 501)).toEqual([B]);

  expect(board.tryProbe(A, 501)).toEqual(true);
  expect(board.tryProbe(A, 502)).toEqual(false);
  board.recordProbe(A, false, 600);
  expect(board.tryProbe(A, 700)).toEqual(false);
  expect(board.tryProbe(A, 1100)).toEqual(true);
  expect(board.recordProbe(A, true, 1200)).toEqual("on-trial");

  // The first request is still out, so the trial has not begun.
  expect(availableServers(board, 1201)).toEqual([B]);
  board.recordOutcome(A, 100, {
    end: { kind: "failure", cause: "timeout" },
    nowMs: 1300,
  });
  expect(availableServers(board, 1301)).toEqual([B]);
  expect(board.tryProbe(A, 2300)).toEqual(true);
  board.recordProbe(A, true, 2301);
  board.recordSent(A, 2302);
  const event = board.recordOutcome(A, 2302, {
    end: { kind: "answer" },
    nowMs: 2310,
  });
  expect(event).toEqual("returned");
  expect(availableServers(board, 2311)).toEqual([A, B]);
});

test("should go on with a server whose requests are merely long", () => {
  const board = createTracker();
  board.recordSent(A, 100);
  expect(board.ejectUnresponsive(500)).toEqual([A]);
  expect(board.tryProbe(A, 500)).toEqual(true);
  expect(board.recordProbe(A, true, 502)).toEqual("returned");
  expect(availableServers(board, 503)).toEqual([A, B]);
  expect(board.ejectUnresponsive(600)).toEqual([]);
});

test("should not take a caller's short deadline for a failure", () => {
  // One caller gives its requests 5 ms. All of them end without an answer; the
  // server is well, and must not be taken from everybody else.
  const board = createTracker();
  for (let sentMs = 100; sentMs < 200; sentMs += 10) {
    board.recordSent(A, sentMs);
    const end = { kind: "failure", cause: "timeout" } as const;
    board.recordOutcome(A, sentMs, { end, nowMs: sentMs + 5 });
  }
  expect(availableServers(board, 300)).toEqual([A, B]);
  // Ten requests without any answer are worth a probe all the same.
  expect(board.ejectUnresponsive(500)).toEqual([A]);
  expect(board.tryProbe(A, 500)).toEqual(true);
  expect(board.recordProbe(A, true, 502)).toEqual("returned");
});

test("should lower a server's limit when it says busy and raise it again", () => {
  const board = createTracker();
  const busy = { kind: "refusal", refusal: "busy" } as const;
  for (const sentMs of [1, 2, 3]) board.recordSent(A, sentMs);
  board.recordOutcome(A, 1, { end: busy, nowMs: 20 });
  expect(availableServers(board, 21)).toEqual([B]);
  expect(availableServers(board, 30)).toEqual([B]);
  board.recordOutcome(A, 2, { end: { kind: "answer" }, nowMs: 31 });
  expect(availableServers(board, 32)).toEqual([A, B]);
});

test("should give a new server a growing share", () => {
  const board = createTracker();
  board.keepOnly(new Set([B]), 5000);
  board.keepOnly(new Set([A, B]), 6000);
  const [cold] = board.candidates([A], 6000);
  expect(cold!.weight).toBeCloseTo(0.1, 0.001);
  board.recordSent(A, 6001);
  expect(availableServers(board, 6002)).toEqual([B]);
  const [warm] = board.candidates([A], 11_000);
  expect(warm!.weight).toEqual(1);
});
