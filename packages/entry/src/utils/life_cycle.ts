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

/**
 * Step of the clock that all regular work shares. Each timer of its own wakes
 * the process: with ten of them an idle entry VM woke 220 times a second.
 */
const STEP_MS = 20;
/** A timer may fire a little early; work then waits for a whole step more. */
const EARLY_MS = 2;

interface RegularWork {
  readonly intervalMs: number;
  readonly run: () => void;
  dueMs: number;
}

/** The life-cycle manager of one process. */
export class LifeCycle {
  readonly #steps: CleanUp[] = [];
  readonly #controller = new AbortController();
  readonly #work = new Set<RegularWork>();
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

  /**
   * Runs a callback at an interval until the process stops, at steps of a clock
   * that all such work shares; on average the interval is kept.
   */
  every(intervalMs: number, callback: () => void): void {
    if (this.#work.size === 0) this.#startSteps();
    const dueMs = performance.now() + intervalMs;
    const work = { intervalMs, run: callback, dueMs };
    this.#work.add(work);
    this.onStop({
      name: "interval",
      timeoutMs: 100,
      run: () => void this.#work.delete(work),
    });
  }

  #startSteps(): void {
    const timer = setInterval(() => this.#step(), STEP_MS);
    this.onStop({
      name: "regular work",
      timeoutMs: 100,
      run: () => clearInterval(timer),
    });
  }

  #step(): void {
    const nowMs = performance.now();
    for (const work of [...this.#work]) {
      if (nowMs + EARLY_MS < work.dueMs) continue;
      // What was missed while the process stood still is not made up for.
      work.dueMs = Math.max(
        work.dueMs + work.intervalMs,
        nowMs + work.intervalMs / 2,
      );
      work.run();
    }
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
