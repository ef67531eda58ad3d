/**
 * This entry VM's part of a retry budget that all entry VMs share. Counts
 * windows in place of a token bucket: no window may exceed the budget.
 */

/** Options of {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Second sends allowed for each request of the window. */
  readonly ratio: number;
  /** Second sends allowed besides, by all entry VMs together. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Part of the budget that is used: windows are not aligned between VMs, and a
 * VM may know too few of the others.
 */
const USED_FRACTION = 0.75;
/** Steps a window is counted in. */
const WINDOW_STEPS = 20;

/** Counts events of the last window in steps. */
class SlidingWindowCounter {
  readonly #counts = new Array<number>(WINDOW_STEPS).fill(0);
  #step = 0;

  add(step: number): void {
    this.#advance(step);
    this.#counts[step % WINDOW_STEPS]!++;
  }

  total(step: number): number {
    this.#advance(step);
    return this.#counts.reduce((sum, count) => sum + count, 0);
  }

  #advance(step: number): void {
    const passed = Math.min(WINDOW_STEPS, step - this.#step);
    for (let index = 1; index <= passed; index++) {
      this.#counts[(this.#step + index) % WINDOW_STEPS] = 0;
    }
    this.#step = Math.max(this.#step, step);
  }
}

/** Second sends to one service. */
export class SharedRetryBudget {
  readonly #options: SharedRetryBudgetOptions;
  readonly #requests = new SlidingWindowCounter();
  readonly #repeats = new SlidingWindowCounter();

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  /** A caller's request for the service came in. */
  recordRequest(nowMs: number): void {
    this.#requests.add(this.#step(nowMs));
  }

  /** Second sends that may still be made now, `vmCount` VMs sharing. */
  remaining(nowMs: number, vmCount: number): number {
    const { ratio, slack } = this.#options;
    const step = this.#step(nowMs);
    const allowed = ratio * this.#requests.total(step) +
      slack / Math.max(1, vmCount);
    return allowed * USED_FRACTION - this.#repeats.total(step);
  }

  /** Takes one second send from the budget if there is one. */
  tryTake(nowMs: number, vmCount: number): boolean {
    if (this.remaining(nowMs, vmCount) < 1) return false;
    this.#repeats.add(this.#step(nowMs));
    return true;
  }

  #step(nowMs: number): number {
    return Math.floor(nowMs / (this.#options.windowMs / WINDOW_STEPS));
  }
}
