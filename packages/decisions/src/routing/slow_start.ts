/**
 * Gives a server that has just appeared a small share of load that grows. A
 * cold server is slow at first; with its full share at once it would hold up
 * every request it got.
 */

/** Share at the start. */
const MIN_WEIGHT = 0.1;
/** Time until a new server gets its full share. */
const WARM_UP_MS = 5000;

/** Weight of a server that appeared `ageMs` ago, above 0, at most 1. */
export function slowStartWeight(ageMs: number): number {
  const grown = MIN_WEIGHT + (1 - MIN_WEIGHT) * ageMs / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WEIGHT, grown));
}
