/**
 * Asks the platform's store at an interval whether it answers. A watch waits
 * in silence, so without a probe a VM would not notice that the store is away,
 * nor that it is back.
 */
import type * as contracts from "@guavatide/contracts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link StoreProbe}. */
export interface StoreProbeOptions {
  readonly store: contracts.PlatformStore;
  readonly health: StoreHealth;
  /** Object that is read, possibly some seconds old. */
  readonly name: string;
  readonly onObject: (object: contracts.StoredObject) => void;
}

/**
 * A change has to be in force 2 s after the store took it, also right after an
 * outage: half of that to notice, half to read. A stale read costs a tenth of
 * a call.
 */
const PROBE_MS = 800;
/** The store answers in 4 ms, in 400 ms when it is slow. */
const PROBE_TIMEOUT_MS = 750;

/** The task that probes. */
export class StoreProbe {
  readonly #options: StoreProbeOptions;
  #isAsking = false;

  constructor(options: StoreProbeOptions) {
    this.#options = options;
  }

  /** Starts the task. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(PROBE_MS, () => {
      this.#probe().catch((error) =>
        this.#options.health.noteFailure({
          kind: "unavailable",
          message: String(error),
        })
      );
    });
  }

  async #probe(): Promise<void> {
    if (this.#isAsking) return;
    this.#isAsking = true;
    const { store, health, name, onObject } = this.#options;
    const result = await store.get(name, {
      timeoutMs: PROBE_TIMEOUT_MS,
      mayBeStale: true,
    });
    this.#isAsking = false;
    if (result.isErr()) return health.noteFailure(result.error);
    health.noteAnswer();
    onObject(result.value);
  }
}
