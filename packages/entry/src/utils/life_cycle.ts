/**
 * Owns clean-up. Parts register what must be undone; `stop` undoes it in the
 * reverse order, each step with a deadline.
 */

/** One thing to undo. */
export interface CleanupStep {
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
 * Regular work that is due within this time runs together: each timer of its
 * own wakes the process once more.
 */
const COALESCING_WINDOW_MS = 20;

/** Work that runs at an interval. */
export interface PeriodicTask {
  /**
   * Runs it at another interval; never while that is infinite. Returns whether
   * the interval was another.
   */
  setIntervalMs(intervalMs: number): boolean;
}

interface ScheduledTask {
  readonly run: () => void;
  intervalMs: number;
  dueMs: number;
}

/** The life-cycle manager of one process. */
export class LifeCycle {
  readonly #steps: CleanupStep[] = [];
  readonly #controller = new AbortController();
  readonly #work = new Set<ScheduledTask>();
  #timer: NodeJS.Timeout | undefined;
  #timerAtMs = Number.POSITIVE_INFINITY;
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
  onStop(step: CleanupStep): void {
    this.#steps.push(step);
  }

  /**
   * Runs a callback at an interval until the process stops. Work that is due at
   * about the same time runs together; on average the interval is kept.
   */
  every(intervalMs: number, callback: () => void): PeriodicTask {
    const dueMs = performance.now() + intervalMs;
    const work: ScheduledTask = { intervalMs, run: callback, dueMs };
    this.#work.add(work);
    this.#schedule();
    this.onStop({
      name: "interval",
      timeoutMs: 100,
      run: () => {
        this.#work.delete(work);
        this.#schedule();
      },
    });
    return {
      setIntervalMs: (nextMs) => {
        if (nextMs === work.intervalMs) return false;
        work.intervalMs = nextMs;
        work.dueMs = performance.now() + nextMs;
        this.#schedule();
        return true;
      },
    };
  }

  /** Sets the one timer to what is due next. */
  #schedule(): void {
    let dueMs = Number.POSITIVE_INFINITY;
    for (const work of this.#work) dueMs = Math.min(dueMs, work.dueMs);
    if (dueMs === this.#timerAtMs) return;
    clearTimeout(this.#timer);
    this.#timerAtMs = dueMs;
    if (dueMs === Number.POSITIVE_INFINITY) return;
    const waitMs = Math.max(0, Math.ceil(dueMs - performance.now()));
    this.#timer = setTimeout(() => this.#step(), waitMs);
  }

  #step(): void {
    this.#timerAtMs = Number.POSITIVE_INFINITY;
    const nowMs = performance.now();
    for (const work of [...this.#work]) {
      if (
        work.dueMs - nowMs > Math.min(COALESCING_WINDOW_MS, work.intervalMs) / 2
      ) continue;
      // What was missed while the process stood still is not made up for.
      work.dueMs = Math.max(
        work.dueMs + work.intervalMs,
        nowMs + work.intervalMs / 2,
      );
      work.run();
    }
    this.#schedule();
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
        await runWithTimeout(step);
        done.push(step.name);
      } catch (error) {
        failed.push({ name: step.name, reason: String(error) });
      }
    }
    return { done, failed };
  }
}

async function runWithTimeout(step: CleanupStep): Promise<void> {
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
