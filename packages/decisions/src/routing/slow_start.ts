/**
 * Slow start: ramps up the share of load of a server that has just appeared. A
 * cold server is slow, so a full share at once would delay all its requests.
 */

/** Weight of a server that has just appeared. */
const MIN_WEIGHT = 0.1;
/** Time until a new server has the full weight. */
const WARM_UP_MS = 5000;

/** Weight of a server that appeared `ageMs` ago; above 0, at most 1. */
export function slowStartWeight(ageMs: number): number {
  const weight = MIN_WEIGHT + (1 - MIN_WEIGHT) * ageMs / WARM_UP_MS;
  return Math.min(1, Math.max(MIN_WEIGHT, weight));
}
