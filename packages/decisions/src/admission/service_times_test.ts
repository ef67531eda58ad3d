import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import * as admission from "./mod.ts";

const ROUTE = { name: "check", priority: 1, targetLatencyMs: 150 };
const WORK_MS = 40;
const SPEEDS = [0.7, 1, 1.6];
const REQUESTS = 20_000;

/**
 * Guards against estimates that drift to several times the real service time.
 */
test("should keep estimates close to the real times over many samples", () => {
  const random = xoroshiro128plus(3);
  const times = new admission.ServiceTimes();
  const servers = SPEEDS.map((_, index) => `s${index}` as contracts.ServerId);
  let worst = 1;
  for (let index = 0; index < REQUESTS; index++) {
    const server = index % SPEEDS.length;
    // Exponentially distributed times vary about as much as real ones.
    const workMs = -WORK_MS * Math.log(1 - uniformFloat64(random));
    times.record(ROUTE, servers[server]!, workMs / SPEEDS[server]!, index * 10);
    if (index > 200) worst = Math.max(worst, times.estimateMs(ROUTE) / WORK_MS);
  }
  expect(worst < 2).toEqual(true);
  const factors = servers.map((server) => times.latencyFactor(server));
  expect(factors[0]! > factors[2]!).toEqual(true);
});
