import { expect } from "earl";
import { test } from "node:test";
import { LoopLag } from "./loop_lag.ts";

/**
 * A process restarts under load and its event loop falls behind. A request
 * that is read then may have waited for two turns, and its caller may have
 * left; taken for fresh, it would be worked on for nobody.
 */
test("should count the turn before a request is read", () => {
  let nowMs = 0;
  const lag = new LoopLag(() => nowMs);
  nowMs = 20;
  lag.tick();
  expect(lag.lagMs).toEqual(0);
  nowMs = 540;
  lag.tick();
  expect(lag.lagMs).toEqual(500);
  nowMs = 860;
  expect(lag.lagMs).toEqual(800);
  lag.tick();
  nowMs = 880;
  lag.tick();
  expect(lag.lagMs).toEqual(0);
});
