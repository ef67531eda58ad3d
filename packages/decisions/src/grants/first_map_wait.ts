/** When the first range map of a service may be written. */

/** A process that has just started lets others settle who is there. */
const AFTER_MS = 1_200;
/**
 * Servers start together: the first map waits, within a bound, until none
 * joins.
 */
const CALM_MS = 1_000;
const BEFORE_MS = 4_000;

/** Watches how the servers gather. */
export class FirstMapWait {
  #serverCount = 0;
  #sinceMs = 0;

  /** Whether the wait is over with so many servers there. */
  isOver(
    serverCount: number,
    { nowMs, lifeMs }: { readonly nowMs: number; readonly lifeMs: number },
  ): boolean {
    if (serverCount !== this.#serverCount) {
      this.#serverCount = serverCount;
      this.#sinceMs = nowMs;
    }
    const isCalm = nowMs - this.#sinceMs >= CALM_MS;
    return lifeMs >= AFTER_MS && isCalm || lifeMs >= BEFORE_MS;
  }
}
