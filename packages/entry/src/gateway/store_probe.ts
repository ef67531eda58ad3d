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
  readonly clock: contracts.Clock;
  /** Whether this VM's part depends on the store: as a reader or keeper. */
  readonly isWatching: () => boolean;
}

/**
 * A change has to be in force 2 s after the store took it, also right after an
 * outage: half of that to notice, half to read. A stale read costs a tenth of
 * a call.
 */
const PROBE_MS = 800;
/** A VM that others read for asks so seldom, while it is answered. */
const RESTING_PROBE_MS = 5_000;
/** The store answers in 4 ms, in 400 ms when it is slow. */
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
      this.#probe().catch((error) =>
        this.#options.health.noteFailure({
          kind: "unavailable",
          message: String(error),
        })
      );
    });
  }

  async #probe(): Promise<void> {
    const { store, health, name, onObject, clock, isWatching } = this.#options;
    const isResting = health.isReached && !isWatching() &&
      clock.nowMs() - this.#askedMs < RESTING_PROBE_MS;
    if (this.#isAsking || isResting) return;
    this.#isAsking = true;
    this.#askedMs = clock.nowMs();
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
