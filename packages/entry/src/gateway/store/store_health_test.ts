import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { StoreHealth } from "./store_health.ts";
import { NO_ANSWER } from "./store_test_support.ts";

const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
const ANSWER = neverthrow.ok({});
const CONFLICT = neverthrow.err(
  {
    kind: "conflict",
    message: "Another version",
  } as const,
);

function createHealth() {
  const clock = { atMs: 0, nowMs: () => clock.atMs };
  return { clock, health: new StoreHealth({ clock, log: SILENT }) };
}

/** Guards against a VM that gives up its roles because one answer was lost. */
test("should not take a store for unreachable that has answered a later call", () => {
  const { clock, health } = createHealth();
  for (let round = 0; round < 4; round++) {
    const lost = health.startCall();
    clock.atMs += 400;
    health.startCall().noteResult(ANSWER);
    clock.atMs += 400;
    lost.noteResult(NO_ANSWER);
    expect(health.isReachable).toEqual(true);
    expect(health.isInDoubt).toEqual(false);
    expect(health.healthyMs).toEqual(0);
  }
});

/** Guards against an outage that is noticed late, or not at all. */
test("should take a store for unreachable after two calls in a row without an answer", () => {
  const { clock, health } = createHealth();
  health.startCall().noteResult(CONFLICT);
  clock.atMs += 1;
  health.startCall().noteResult(NO_ANSWER);
  expect(health.isReachable).toEqual(true);
  expect(health.isInDoubt).toEqual(true);
  health.startCall().noteResult(NO_ANSWER);
  expect(health.isReachable).toEqual(false);
  expect(health.isInDoubt).toEqual(false);
});

/** Guards against a recovery that nobody is notified of. */
test("should notify of the recovery of an unreachable store once", () => {
  const { health } = createHealth();
  let recoveries = 0;
  health.onRecovered(() => recoveries++);
  for (const result of [NO_ANSWER, ANSWER, NO_ANSWER, NO_ANSWER]) {
    health.startCall().noteResult(result);
  }
  expect(recoveries).toEqual(0);
  health.startCall().noteResult(CONFLICT);
  health.startCall().noteResult(ANSWER);
  expect(recoveries).toEqual(1);
  expect(health.isReachable).toEqual(true);
});
