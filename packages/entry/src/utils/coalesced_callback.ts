/** Coalesces work within one iteration of the event loop. */

/**
 * Runs a callback once per event loop iteration, however many times it is
 * scheduled.
 */
export class CoalescedCallback {
  readonly #callback: () => void;
  #isScheduled = false;

  constructor(callback: () => void) {
    this.#callback = callback;
  }

  /** Schedules the callback for the end of the current iteration. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#callback();
    });
  }
}
