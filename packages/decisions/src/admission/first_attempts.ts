/**
 * Tells first attempts from those of callers who come back. The target of a
 * request counts from its caller's first attempt, and only the time that the
 * caller still waits says how long ago that was.
 *
 * Without it a flooded server answers callers who came back, too late, in place
 * of new ones who could still be answered in time.
 */

/** Part of a new request in the share of whole budgets. */
const SHARE_GAIN = 1 / 50;
/** Budgets within this part of the largest count as whole. */
const WHOLE_PART = 0.97;
/**
 * Share of whole budgets from which on a smaller one is a caller's who came
 * back. Below it the route's callers differ in how long they wait.
 */
const LEAST_WHOLE_SHARE = 0.5;
/** The largest budget is forgotten by this part with each request. */
const FORGET_PART = 1e-5;

/** Time budgets of the callers of one route. */
export class FirstAttempts {
  #largestMs = 0;
  #wholeShare = 1;

  /** How long before its arrival the caller of a request began to wait. */
  waitedBeforeMs(budgetMs: number | undefined): number {
    if (budgetMs === undefined) return 0;
    this.#largestMs *= 1 - FORGET_PART;
    this.#largestMs = Math.max(this.#largestMs, budgetMs);
    const isWhole = budgetMs >= this.#largestMs * WHOLE_PART;
    this.#wholeShare += SHARE_GAIN * ((isWhole ? 1 : 0) - this.#wholeShare);
    const isBack = !isWhole && this.#wholeShare >= LEAST_WHOLE_SHARE;
    return isBack ? this.#largestMs - budgetMs : 0;
  }
}
