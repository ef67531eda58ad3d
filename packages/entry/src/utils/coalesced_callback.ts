/** Gathers what changes in one turn of the event loop. */

/** Runs a callback once at the end of a turn, however often it is asked for. */
export class CoalescedCallback {
  readonly #run: () => void;
  #isScheduled = false;

  constructor(run: () => void) {
    this.#run = run;
  }

  /** The callback runs at the end of this turn. */
  schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#run();
    });
  }
}
