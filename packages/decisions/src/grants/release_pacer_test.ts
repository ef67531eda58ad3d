import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { ReleasePacer } from "./release_pacer.ts";

const SERVER = "s1" as contracts.ServerId;

/** Calls at a limit of zero, of which servers allow five in any 4 s. */
const ALLOWED_PER_SECOND = 0.75;
const ALLOWED_IN_WINDOW = 5;
const WINDOW_MS = 4_000;
/** Of one range with leases of 10 s. */
const RENEWALS_PER_SECOND = 0.375;

function takeReleases(
  pacer: ReleasePacer,
  renewalsPerSecond: number,
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): number[] {
  const budget = { allowedPerSecond: ALLOWED_PER_SECOND, renewalsPerSecond };
  const takenAtMs: number[] = [];
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 40) {
    if (pacer.tryTake(SERVER, budget, nowMs)) takenAtMs.push(nowMs);
  }
  return takenAtMs;
}

function mostInWindow(takenAtMs: readonly number[]): number {
  return Math.max(
    ...takenAtMs.map((fromMs) =>
      takenAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length
    ),
  );
}

/** An owner of eight ranges that takes no requests got a release for each. */
test("should space out the releases at a server that limits its calls", () => {
  const takenAtMs = takeReleases(new ReleasePacer(), 0, {
    fromMs: 0,
    toMs: 8_000,
  });
  expect(mostInWindow(takenAtMs)).toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
  expect(takenAtMs.length).toBeGreaterThanOrEqual(7);
});

/** Releases and renewals each had the whole allowance: up to eight in 4 s. */
test("should leave room for the renewals of the ranges that stay", () => {
  const takenAtMs = takeReleases(new ReleasePacer(), RENEWALS_PER_SECOND, {
    fromMs: 0,
    toMs: 20_000,
  });
  const renewals = RENEWALS_PER_SECOND * WINDOW_MS / 1_000;
  expect(mostInWindow(takenAtMs) + renewals)
    .toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
  expect(takenAtMs.length).toBeGreaterThanOrEqual(8);
});

/** The next leader repeated all releases of the last one at once. */
test("should space out the releases of the next leader as well", () => {
  const span = { fromMs: 0, toMs: 2_000 };
  const first = takeReleases(new ReleasePacer(), 0, span);
  const next = new ReleasePacer();
  next.start(span.toMs);
  const second = takeReleases(next, 0, { fromMs: span.toMs, toMs: 10_000 });
  expect(mostInWindow([...first, ...second]))
    .toBeLessThanOrEqual(ALLOWED_IN_WINDOW);
  expect(second.length).toBeGreaterThanOrEqual(5);
});

/** Keys of an owner of many ranges must not stay until its leases end. */
test("should release something beside any number of renewals", () => {
  const span = { fromMs: 0, toMs: 10_000 };
  const takenAtMs = takeReleases(new ReleasePacer(), 3, span);
  expect(takenAtMs.length).toBeGreaterThanOrEqual(4);
});

test("should not space out the releases at any other server", () => {
  const pacer = new ReleasePacer();
  const taken = Array.from(
    { length: 20 },
    () => pacer.tryTake(SERVER, undefined, 0),
  );
  expect(taken.every((it) => it)).toEqual(true);
});
