/** Decides when the initial range map of a service may be written. */

/** Uptime below which a process may not have discovered its peers yet. */
const MIN_UPTIME_MS = 1_200;
/**
 * Servers usually start together: the initial map waits until none has joined
 * for this time, so that it covers all of them.
 */
const STABLE_COUNT_MS = 1_000;
/** Uptime after which the map is written although servers still join. */
const MAX_WAIT_MS = 4_000;

/** Waits for the number of servers to settle before the initial map. */
export class InitialMapWait {
  #serverCount = 0;
  #countChangedAtMs = 0;

  /**
   * Whether the map may be written now. `serverCount` is the number of usable
   * servers, `lifeMs` the uptime of this process.
   */
  isOver(
    serverCount: number,
    { nowMs, lifeMs: uptimeMs }: {
      readonly nowMs: number;
      readonly lifeMs: number;
    },
  ): boolean {
    if (serverCount !== this.#serverCount) {
      this.#serverCount = serverCount;
      this.#countChangedAtMs = nowMs;
    }
    const isStable = nowMs - this.#countChangedAtMs >= STABLE_COUNT_MS;
    return uptimeMs >= MIN_UPTIME_MS && isStable || uptimeMs >= MAX_WAIT_MS;
  }
}
