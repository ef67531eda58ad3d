/** Recognition of servers that are slower for a while, and for good. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as admission from "./mod.ts";

const ROUTE = { name: "lookup", priority: 0, targetLatencyMs: 847 };
const WORK_MS = 140;
const SERVER = "s0" as contracts.ServerId;
/** Servers that VMs use besides the measured one. */
const OTHERS = 12;
const SPELL_MS = 400;
const SPELL_RATIO = 3;
const SPELL_PART = 0.2;
const WARM_UP_MS = 10_000;
const END_MS = 60_000;

/** A server's speed over time; `slowdownOf` tells how slow it is. */
function factorsOver(
  perSecond: number,
  slowdownOf: (nowMs: number) => number,
  seed = 3,
): { readonly atMs: number; readonly factor: number }[] {
  const random = xoroshiro128plus(seed);
  const next = () => uniformFloat64(random);
  const times = new admission.ServiceTimes();
  const workMs = () => WORK_MS * (0.5 + next());
  const factors: { atMs: number; factor: number }[] = [];
  for (let nowMs = 0; nowMs < END_MS; nowMs += 10) {
    for (let index = 0; index < OTHERS; index++) {
      if (next() >= perSecond / 100) continue;
      const server = `other${index}` as contracts.ServerId;
      times.record(ROUTE, server, workMs(), nowMs);
    }
    if (next() >= perSecond / 100) continue;
    times.record(ROUTE, SERVER, workMs() * slowdownOf(nowMs), nowMs);
    const factor = times.latencyFactor(SERVER);
    factors.push({ atMs: nowMs, factor });
  }
  return factors;
}

/** Random spells, a fifth of the time. */
function spells(seed: number): (nowMs: number) => number {
  const random = xoroshiro128plus(seed);
  const isSlow = Array.from(
    { length: END_MS / SPELL_MS },
    () => uniformFloat64(random) < SPELL_PART,
  );
  return (nowMs) => isSlow[Math.floor(nowMs / SPELL_MS)] ? SPELL_RATIO : 1;
}

/** Guards against keys that move off servers that are slow for a moment. */
for (const [perSecond, mostSpread] of [[6, 1.4], [18, 1.3]] as const) {
  test(`should hardly follow slow spells at ${perSecond} requests per second`, () => {
    const spread: number[] = [];
    for (const seed of [1, 2, 3, 4]) {
      const factors = factorsOver(perSecond, spells(seed), seed)
        .filter(({ atMs }) => atMs >= WARM_UP_MS)
        .map(({ factor }) => factor)
        .sort((a, b) => a - b);
      const median = factors[factors.length >> 1]!;
      spread.push(factors[Math.floor(factors.length * 0.95)]! / median);
    }
    if (process.env["SHOW_FIGURES"]) console.log(perSecond, spread);
    expect(Math.max(...spread) < mostSpread).toEqual(true);
  });

  test(`should keep a factor below the ratio that moves keys over one spell at ${perSecond} requests per second`, () => {
    const spellMs = 30_000;
    const steps: number[] = [];
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const factors = factorsOver(
        perSecond,
        (nowMs) =>
          nowMs >= spellMs && nowMs < spellMs + SPELL_MS ? SPELL_RATIO : 1,
        seed,
      );
      const before = factors.findLast(({ atMs }) => atMs < spellMs)!.factor;
      const after = factors.filter(({ atMs }) =>
        atMs >= spellMs && atMs < spellMs + 2_000
      );
      steps.push(Math.max(...after.map(({ factor }) => factor)) / before);
    }
    if (process.env["SHOW_FIGURES"]) console.log(perSecond, steps);
    steps.sort((a, b) => a - b);
    expect(steps[steps.length >> 1]! < 1.2).toEqual(true);
    expect(steps.at(-1)! < 1.3).toEqual(true);
  });

  test(`should recognize a lasting change within 3.5 s at ${perSecond} requests per second`, () => {
    const changeMs = 30_000;
    for (const ratio of [SPELL_RATIO, 1 / SPELL_RATIO]) {
      const factors = factorsOver(
        perSecond,
        (nowMs) => nowMs < changeMs ? 1 : ratio,
      );
      const after = factors.find(({ atMs }) => atMs >= changeMs + 3_500)!;
      if (process.env["SHOW_FIGURES"]) console.log(perSecond, ratio, after);
      const isRecognized = ratio > 1
        ? after.factor > ratio * 0.8
        : after.factor < ratio * 1.5;
      expect(isRecognized).toEqual(true);
    }
  });
}

/** Guards against a coordinator that knows only servers of one speed. */
test("should compare a server with those that the whole VM measures", () => {
  const reference = new admission.ServiceTimes();
  for (let index = 0; index < 300; index++) {
    const server = `s${index % 3}` as contracts.ServerId;
    const workMs = WORK_MS / (index % 3 === 0 ? 1.7 : 0.7);
    reference.record(ROUTE, server, workMs, index * 20);
  }
  const times = new admission.ServiceTimes(reference);
  for (let index = 0; index < 60; index++) {
    times.record(ROUTE, SERVER, WORK_MS / 1.7, index * 100);
  }
  expect(times.latencyFactor(SERVER) < 0.6).toEqual(true);
  expect(times.estimateMs(ROUTE)).toEqual(reference.estimateMs(ROUTE));
});
