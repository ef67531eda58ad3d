import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { ReleasePacer } from "./release_pacer.ts";

const SERVER = "s1" as contracts.ServerId;

/** An owner of eight ranges that takes no requests got a release for each. */
test("should space out the releases at a server that limits its calls", () => {
  const pacer = new ReleasePacer();
  const takenAtMs: number[] = [];
  for (let nowMs = 0; nowMs < 8_000; nowMs += 40) {
    if (pacer.tryTake(SERVER, 0.75, nowMs)) takenAtMs.push(nowMs);
  }
  for (const fromMs of takenAtMs) {
    const window = takenAtMs.filter((atMs) =>
      atMs >= fromMs && atMs < fromMs + 4_000
    );
    expect(window.length <= 5).toEqual(true);
  }
  expect(takenAtMs.length >= 7).toEqual(true);
});

test("should not space out the releases at any other server", () => {
  const pacer = new ReleasePacer();
  const taken = Array.from(
    { length: 20 },
    () => pacer.tryTake(SERVER, undefined, 0),
  );
  expect(taken.every((it) => it)).toEqual(true);
});
