/**
 * Asks the platform's store at an interval whether it answers: a watch waits in
 * silence and shows neither an outage nor its end.
 */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { StoreHealth } from "./store_health.ts";

/** How much a VM's part depends on the store. */
export type StoreNeed =
  /** It reads for all, or moves keys. */
  | "duty"
  /** It may have to take over. */
  | "standby"
  | "none";

/** Options of {@link StoreProbe}. */
export interface StoreProbeOptions {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  /** Object that is read, possibly some seconds old. */
  readonly name: string;
  readonly onObject: (object: contracts.StoredObject) => void;
  readonly clock: contracts.Clock;
  readonly need: () => StoreNeed;
}

/**
 * Bounds the time to notice the store's return, so that a change is in force in
 * time after an outage.
 */
const PROBE_MS = 800;
const STANDBY_PROBE_MS = 5_000;
/** Longer than a slow store takes to answer. */
const PROBE_TIMEOUT_MS = 750;

/** The task that probes. */
export class StoreProbe {
  readonly #options: StoreProbeOptions;
  #isAsking = false;
  #askedMs = Number.NEGATIVE_INFINITY;

  constructor(options: StoreProbeOptions) {
    this.#options = options;
  }

  /** Starts the task. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(PROBE_MS, () => {
      if (!this.#isDue()) return;
      this.probe().catch((error) =>
        this.#options.health.noteFailure({
          kind: "unavailable",
          message: String(error),
        })
      );
    });
  }

  /** Asks once, and returns whether the store answers. */
  async probe(): Promise<boolean> {
    const { store, health, name, onObject, clock } = this.#options;
    this.#isAsking = true;
    this.#askedMs = clock.nowMs();
    const result = await store.get(name, {
      timeoutMs: PROBE_TIMEOUT_MS,
      mayBeStale: true,
    });
    this.#isAsking = false;
    if (result.isErr()) {
      health.noteFailure(result.error);
      return health.isReachable;
    }
    health.noteAnswer();
    onObject(result.value);
    return true;
  }

  #isDue(): boolean {
    const { clock, need, health } = this.#options;
    if (this.#isAsking) return false;
    const sinceMs = clock.nowMs() - this.#askedMs;
    switch (need()) {
      case "duty":
        return true;
      case "standby":
        return sinceMs >= STANDBY_PROBE_MS;
      case "none":
        return !health.isReachable && sinceMs >= STANDBY_PROBE_MS;
    }
  }
}
