/**
 * Keeps retries a small part of the requests. Without it a service that
 * refuses is sent its load several times over just when it can take least.
 */

/** Retries earned by each request. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries that may be saved up. */
const MAX_SAVED_RETRIES = 20;

/** A budget of retries for one service. */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES;

  /** A caller's request came in. */
  recordRequest(): void {
    this.#saved = Math.min(
      MAX_SAVED_RETRIES,
      this.#saved + RETRIES_PER_REQUEST,
    );
  }

  /** Takes one retry from the budget if there is one. */
  tryTake(): boolean {
    if (this.#saved < 1) return false;
    this.#saved--;
    return true;
  }
}
