import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { waitUntil, withFixture } from "../../requests/fakes_test_support.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { KindWatch } from "./kind_watch.ts";
import { StoreHealth } from "./store_health.ts";

const SILENT = { debug() {}, info() {}, warn() {}, error() {} };
const PREFIX = "config/";
const PEER = "vm2" as contracts.VmId;
/** A change has to be known this long after a reader has learned of it. */
const CHANGE_BOUND_MS = 2_000;
/** Interval of the statuses of readers. */
const STATUS_INTERVAL_MS = 300;
/** Timeout of a call to a peer. */
const PEER_TIMEOUT_MS = 600;
/** Shorter than the timeout of a list. */
const SLOW_LIST_MS = 900;

/** A VM that is not a reader; its peer answers nothing, and its store slowly. */
class BehindVm {
  readonly lifeCycle = new LifeCycle();
  readonly #clock = { nowMs: () => performance.now() };
  #version = 1;
  #listDelayMs = 0;
  #knownVersion = 0;
  readonly watch = new KindWatch({
    store: this.#store(),
    health: new StoreHealth({ clock: this.#clock, log: SILENT }),
    prefix: PREFIX,
    log: SILENT,
    clock: this.#clock,
    random: { next: () => 0.5 },
    relay: this.#relay(),
    onList: () => this.#knownVersion = this.#version,
    onChanges: () => this.#knownVersion = this.#version,
  });

  async start(): Promise<void> {
    this.watch.start(this.lifeCycle);
    await waitUntil(() => this.#knownVersion === 1);
    this.#listDelayMs = SLOW_LIST_MS;
  }

  /** Changes the object, and reports the new position as readers do. */
  async timeUntilKnown(): Promise<number> {
    this.#version = 2;
    const startMs = performance.now();
    while (this.#knownVersion < 2) {
      await timers.setTimeout(STATUS_INTERVAL_MS);
      this.watch.notePeerPosition(this.#version, PEER);
    }
    return performance.now() - startMs;
  }

  #relay() {
    return {
      isReader: false,
      add() {},
      publish() {},
      requestChanges() {},
      fetchSnapshot: async () => {
        await timers.setTimeout(PEER_TIMEOUT_MS);
        return undefined;
      },
    } as unknown as ConstructorParameters<typeof KindWatch>[0]["relay"];
  }

  #store() {
    return {
      list: () =>
        new neverthrow.ResultAsync((async () => {
          await timers.setTimeout(this.#listDelayMs);
          const version = String(this.#version);
          const object = { name: `${PREFIX}main`, version, value: "{}" };
          return neverthrow.ok({ objects: [object], cursor: version });
        })()),
    } as unknown as contracts.PlatformStore;
  }
}

/** Steps that are each sensible must not add up to more than the bound. */
test("should know a change in time when messages, peer and list fail or are slow", () =>
  withFixture(new BehindVm(), async (vm) => {
    await vm.start();
    expect(await vm.timeUntilKnown() <= CHANGE_BOUND_MS).toEqual(true);
  }));
