/**
 * Owns clean-up. Parts register what must be undone; `stop` undoes it in the
 * reverse order, each step with a deadline.
 */

/** One thing to undo. */
export interface CleanUp {
  readonly name: string;
  /** Longest time the step may take before it is abandoned. */
  readonly timeoutMs: number;
  run(): Promise<void> | void;
}

/** What became of the steps of a stop. */
export interface StopReport {
  readonly done: readonly string[];
  /** Steps that failed or ran out of time, with the reason. */
  readonly failed: readonly {
    readonly name: string;
    readonly reason: string;
  }[];
}

/** The life-cycle manager of one process. */
export class LifeCycle {
  readonly #steps: CleanUp[] = [];
  readonly #controller = new AbortController();
  #stopping: Promise<StopReport> | undefined;

  /** Aborted as soon as the process begins to stop. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether a stop has begun. */
  get isStopping(): boolean {
    return this.#stopping !== undefined;
  }

  /** Registers a step; the last one registered runs first. */
  onStop(step: CleanUp): void {
    this.#steps.push(step);
  }

  /** Runs a callback at an interval until the process stops. */
  every(intervalMs: number, callback: () => void): void {
    const timer = setInterval(callback, intervalMs);
    this.onStop({
      name: "interval",
      timeoutMs: 100,
      run: () => clearInterval(timer),
    });
  }

  /** Stops everything. A second call returns the first call's report. */
  stop(): Promise<StopReport> {
    this.#stopping ??= this.#runSteps();
    return this.#stopping;
  }

  async #runSteps(): Promise<StopReport> {
    this.#controller.abort();
    const done: string[] = [];
    const failed: { name: string; reason: string }[] = [];
    for (const step of [...this.#steps].reverse()) {
      try {
        await withDeadline(step);
        done.push(step.name);
      } catch (error) {
        failed.push({ name: step.name, reason: String(error) });
      }
    }
    return { done, failed };
  }
}

async function withDeadline(step: CleanUp): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const deadline = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error(`Ran longer than ${step.timeoutMs} ms`)),
      step.timeoutMs,
    );
  });
  try {
    await Promise.race([Promise.resolve(step.run()), deadline]);
  } finally {
    clearTimeout(timer);
  }
}
