/**
 * Health check of the platform's store at an interval: a watch that waits shows
 * neither the start nor the end of an outage.
 */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle } from "../../utils/life_cycle.ts";
import type { StoreHealth } from "./store_health.ts";

/** How much a VM's roles depend on the store. */
export type StoreNeed =
  /** The VM is a reader, or the leader of a service's ranges. */
  | "duty"
  /** The VM may have to take over such a role. */
  | "standby"
  | "none";

/** Options of {@link StoreProbe}. */
export interface StoreProbeOptions {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  /** Name of the object that is read, possibly some seconds old. */
  readonly name: string;
  readonly onObject: (object: contracts.StoredObject) => void;
  readonly clock: contracts.Clock;
  readonly need: () => StoreNeed;
}

/**
 * Limits the time to notice the store's recovery, so that a change is in force
 * in time after an outage.
 */
const PROBE_INTERVAL_MS = 800;
const STANDBY_PROBE_INTERVAL_MS = 5_000;
/** Longer than a slow store takes to answer. */
const PROBE_TIMEOUT_MS = 750;

/** Probes the store as often as the VM's roles need. */
export class StoreProbe {
  readonly #options: StoreProbeOptions;
  #isProbing = false;
  #probedAtMs = Number.NEGATIVE_INFINITY;
  /** Failed probes since the last that was answered. */
  #failures = 0;

  constructor(options: StoreProbeOptions) {
    this.#options = options;
  }

  /** Starts to probe. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(
      PROBE_INTERVAL_MS,
      () => this.#isDue() ? this.probe() : undefined,
      "probe of the store",
    );
  }

  /** Probes once; resolves to whether the store answered. */
  async probe(): Promise<boolean> {
    const { health, onObject } = this.#options;
    const call = health.startCall();
    const result = await this.#read();
    const isAnswered = call.noteResult(result);
    this.#failures = isAnswered ? 0 : this.#failures + 1;
    if (result.isOk()) onObject(result.value);
    return isAnswered;
  }

  async #read() {
    const { store, name, clock } = this.#options;
    this.#isProbing = true;
    this.#probedAtMs = clock.nowMs();
    try {
      return await store.get(name, {
        timeoutMs: PROBE_TIMEOUT_MS,
        mayBeStale: true,
      });
    } finally {
      this.#isProbing = false;
    }
  }

  #isDue(): boolean {
    const { clock, need, health } = this.#options;
    if (this.#isProbing) return false;
    if (health.isInDoubt) return true;
    const sinceMs = clock.nowMs() - this.#probedAtMs;
    switch (need()) {
      case "duty":
        return true;
      case "standby":
        return sinceMs >= STANDBY_PROBE_INTERVAL_MS;
      case "none":
        return !health.isReachable && sinceMs >= this.#recoveryIntervalMs;
    }
  }

  /**
   * A single failed call must not keep a VM from roles for seconds; a store that
   * is away must not be probed often by every VM.
   */
  get #recoveryIntervalMs(): number {
    return Math.min(
      STANDBY_PROBE_INTERVAL_MS,
      PROBE_INTERVAL_MS * 2 ** this.#failures,
    );
  }
}
