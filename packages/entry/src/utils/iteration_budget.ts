/**
 * Limits how many requests are begun in one iteration of the event loop. Node
 * accepts one connection per listener in an iteration and reads a fixed number
 * of datagrams per socket; timers run once. With unlimited iterations, a VM that
 * is short of processor learns of changes late and takes no new connections.
 */

/** Requests that are begun in one iteration. */
const REQUESTS_PER_ITERATION = 4;
/** The same while connections wait to be accepted. */
const REQUESTS_BESIDE_ACCEPT = 1;

/** Options of {@link IterationBudget}. */
export interface IterationBudgetOptions {
  /** Begins or refuses the next waiting request; returns whether others wait. */
  readonly runNext: () => boolean;
  /** Calls back once the pending events of this iteration were handled. */
  readonly setImmediate?: (callback: () => void) => void;
}

/** The requests that may still be begun in this iteration. */
export class IterationBudget {
  readonly #runNext: () => boolean;
  readonly #setImmediate: (callback: () => void) => void;
  #begun = 0;
  #hasAccepted = false;
  #hasWaiting = false;
  #isScheduled = false;

  constructor(options: IterationBudgetOptions) {
    this.#runNext = options.runNext;
    this.#setImmediate = options.setImmediate ?? setImmediate;
  }

  /** A connection was accepted: others may wait behind it. */
  noteAccept(): void {
    this.#hasAccepted = true;
    this.#schedule();
  }

  /** Whether a request may begin at once, which counts it. */
  tryBegin(): boolean {
    if (this.#hasWaiting || this.#begun >= this.#limit) return false;
    this.#begun++;
    this.#schedule();
    return true;
  }

  /** A request waits for one of the next iterations. */
  noteWaiting(): void {
    this.#hasWaiting = true;
    this.#schedule();
  }

  get #limit(): number {
    return this.#hasAccepted ? REQUESTS_BESIDE_ACCEPT : REQUESTS_PER_ITERATION;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#setImmediate(() => this.#endIteration());
  }

  #endIteration(): void {
    this.#isScheduled = false;
    const limit = this.#limit;
    this.#hasAccepted = false;
    this.#begun = 0;
    for (let count = 0; this.#hasWaiting && count < limit; count++) {
      this.#hasWaiting = this.#runNext();
    }
    if (this.#hasWaiting) this.#schedule();
  }
}
