/** When the first range map of a service may be written. */

/** A process that has just started lets others settle who is there. */
const MIN_UPTIME_MS = 1_200;
/**
 * Servers start together: the first map waits, within a bound, until none
 * joins.
 */
const JOIN_QUIET_MS = 1_000;
const MAX_WAIT_MS = 4_000;

/** Watches how the servers gather. */
export class InitialMapWait {
  #serverCount = 0;
  #unchangedSinceMs = 0;

  /** Whether the wait is over with so many servers there. */
  isOver(
    serverCount: number,
    { nowMs, lifeMs }: { readonly nowMs: number; readonly lifeMs: number },
  ): boolean {
    if (serverCount !== this.#serverCount) {
      this.#serverCount = serverCount;
      this.#unchangedSinceMs = nowMs;
    }
    const isQuiet = nowMs - this.#unchangedSinceMs >= JOIN_QUIET_MS;
    return lifeMs >= MIN_UPTIME_MS && isQuiet || lifeMs >= MAX_WAIT_MS;
  }
}
