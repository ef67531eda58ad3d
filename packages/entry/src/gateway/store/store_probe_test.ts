import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { waitUntil, withFixture } from "../../requests/fakes_test_support.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { StoreHealth } from "./store_health.ts";
import { StoreProbe } from "./store_probe.ts";
import { NO_ANSWER } from "./store_test_support.ts";

const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
const OBJECT = { name: "config/main", version: "1", value: "{}" };
/** Two intervals of the probe and some. */
const TWO_PROBES_MS = 2_000;

/** Guards against a store that counts as lost because an object can't be used. */
test("should take a store for reachable whose object the listener fails on", () =>
  withFixture({ lifeCycle: new LifeCycle(SILENT) }, async ({ lifeCycle }) => {
    const clock = { nowMs: () => performance.now() };
    const health = new StoreHealth({ clock, log: SILENT });
    let objects = 0;
    const probe = new StoreProbe({
      store: {
        get: () => neverthrow.okAsync(OBJECT),
      } as unknown as contracts.PlatformStore,
      health,
      name: OBJECT.name,
      onObject: () => {
        objects++;
        throw new RangeError("Too deep");
      },
      clock,
      need: () => "duty",
    });
    probe.start(lifeCycle);
    await timers.setTimeout(TWO_PROBES_MS);
    expect(objects >= 2).toEqual(true);
    expect(health.isReachable).toEqual(true);
  }));

/** Guards against an outage that a VM with few calls doesn't notice. */
test("should probe the store soon after another call has failed", () =>
  withFixture({ lifeCycle: new LifeCycle(SILENT) }, async ({ lifeCycle }) => {
    const clock = { nowMs: () => performance.now() };
    const health = new StoreHealth({ clock, log: SILENT });
    let calls = 0;
    const probe = new StoreProbe({
      store: {
        get: () => {
          calls++;
          return new neverthrow.ResultAsync(Promise.resolve(NO_ANSWER));
        },
      } as unknown as contracts.PlatformStore,
      health,
      name: OBJECT.name,
      onObject: () => {},
      clock,
      need: () => "none",
    });
    probe.start(lifeCycle);
    health.startCall().noteResult(NO_ANSWER);
    await waitUntil(() => !health.isReachable, TWO_PROBES_MS);
    expect(calls).toEqual(1);
  }));
