/**
 * Limits retries to a small fraction of the requests. Without it an overloaded
 * service would get a multiple of its load just when it can sustain the least.
 */

/** Retries added to the budget by each request. */
const RETRIES_PER_REQUEST = 0.1;
/** Maximum of the budget. */
const MAX_SAVED_RETRIES = 20;

/** Retry budget of one service. */
export class RetryBudget {
  #retries = MAX_SAVED_RETRIES;

  /** Counts a caller's request. */
  recordRequest(): void {
    this.#retries = Math.min(
      MAX_SAVED_RETRIES,
      this.#retries + RETRIES_PER_REQUEST,
    );
  }

  /** Takes one retry from the budget; false if none is left. */
  tryTake(): boolean {
    if (this.#retries < 1) return false;
    this.#retries--;
    return true;
  }
}
