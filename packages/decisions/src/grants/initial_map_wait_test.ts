import { expect } from "earl";
import { test } from "node:test";
import { InitialMapWait } from "./initial_map_wait.ts";

test("should wait until no server has joined for a while", () => {
  const wait = new InitialMapWait();
  expect(wait.isOver(3, { nowMs: 1_000, lifeMs: 1_000 })).toEqual(false);
  expect(wait.isOver(5, { nowMs: 1_500, lifeMs: 1_500 })).toEqual(false);
  expect(wait.isOver(5, { nowMs: 2_400, lifeMs: 2_400 })).toEqual(false);
  expect(wait.isOver(5, { nowMs: 2_500, lifeMs: 2_500 })).toEqual(true);
});

/** Guards against a first map that waits for as long as servers join. */
test("should not wait for ever while servers go on joining", () => {
  const wait = new InitialMapWait();
  for (let nowMs = 500; nowMs < 4_000; nowMs += 500) {
    const isOver = wait.isOver(nowMs / 500, { nowMs, lifeMs: nowMs });
    expect(isOver).toEqual(false);
  }
  expect(wait.isOver(8, { nowMs: 4_000, lifeMs: 4_000 })).toEqual(true);
});
