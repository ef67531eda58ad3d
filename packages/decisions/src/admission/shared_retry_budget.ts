/**
 * This entry VM's share of a retry budget that all entry VMs share. Uses a
 * sliding window instead of a token bucket, as no window may exceed the budget.
 */

/** Options of {@link SharedRetryBudget}. */
export interface SharedRetryBudgetOptions {
  /** Retries allowed per request in the window. */
  readonly ratio: number;
  /** Additional retries allowed per window, for all entry VMs together. */
  readonly slack: number;
  readonly windowMs: number;
  /**
   * When this VM's part of the slack begins; at once by default. An earlier run
   * of the process may have spent it in the same window.
   */
  readonly slackFromMs?: number | undefined;
}

/** What a VM knows of those that share a retry budget with it. */
export interface BudgetSharers {
  /** VMs heard of within a minute, up or not, this one included. */
  readonly knownCount: number;
  /** Whether the settings name other VMs. */
  readonly hasSeeds: boolean;
}

/**
 * Number of VMs that share the slack of a retry budget. Lost VMs count: they may
 * have spent their part in the same window, or be cut off and still spend it. A
 * VM that hears of no other one has no part.
 */
export function countBudgetSharers(
  { knownCount, hasSeeds }: BudgetSharers,
): number {
  const isAlone = knownCount === 1 && hasSeeds;
  return isAlone ? Number.POSITIVE_INFINITY : knownCount;
}

/**
 * Fraction of the budget that is used: the VMs' windows are not aligned, and a
 * VM may underestimate how many others there are.
 */
const USED_FRACTION = 0.75;
/** Steps by which a window advances. */
const WINDOW_STEPS = 20;

/** Counts the events of the latest window. */
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

/** Budget of retries to one service. */
export class SharedRetryBudget {
  readonly #options: SharedRetryBudgetOptions;
  readonly #requests = new SlidingWindowCounter();
  readonly #retries = new SlidingWindowCounter();

  constructor(options: SharedRetryBudgetOptions) {
    this.#options = options;
  }

  /** Counts a caller's request for the service. */
  recordRequest(nowMs: number): void {
    this.#requests.add(this.#step(nowMs));
  }

  /**
   * Retries that may still be sent now; `vmCount` VMs share the slack, see
   * {@link countBudgetSharers}.
   */
  remaining(nowMs: number, vmCount: number): number {
    const { ratio, slack, slackFromMs = Number.NEGATIVE_INFINITY } =
      this.#options;
    const step = this.#step(nowMs);
    const ownSlack = nowMs < slackFromMs ? 0 : slack / Math.max(1, vmCount);
    const allowed = ratio * this.#requests.total(step) + ownSlack;
    return allowed * USED_FRACTION - this.#retries.total(step);
  }

  /** Takes one retry from the budget; false if none is left. */
  tryTake(nowMs: number, vmCount: number): boolean {
    if (this.remaining(nowMs, vmCount) < 1) return false;
    this.#retries.add(this.#step(nowMs));
    return true;
  }

  #step(nowMs: number): number {
    return Math.floor(nowMs / (this.#options.windowMs / WINDOW_STEPS));
  }
}
