/**
 * Periodic tasks and shutdown of a process. Components register cleanup steps;
 * `stop` runs them in reverse order, each with a timeout.
 */

/** One step of the shutdown. */
export interface CleanupStep {
  readonly name: string;
  /** Timeout after which the step is abandoned and counts as failed. */
  readonly timeoutMs: number;
  run(): Promise<void> | void;
}

/** Outcome of the cleanup steps. */
export interface StopReport {
  readonly done: readonly string[];
  /** Steps that failed or timed out, with the reason. */
  readonly failed: readonly {
    readonly name: string;
    readonly reason: string;
  }[];
}

/**
 * Periodic tasks that are due within this window run in one wake-up: a timer for
 * each task would wake the process more often.
 */
const COALESCING_WINDOW_MS = 20;

/** A task that runs at an interval. */
export interface PeriodicTask {
  /**
   * Changes the interval; an infinite one pauses the task. Returns false when
   * the task already has this interval.
   */
  setIntervalMs(intervalMs: number): boolean;
}

interface ScheduledTask {
  readonly run: () => void;
  intervalMs: number;
  dueMs: number;
}

/** Runs periodic tasks and the cleanup of one process. */
export class LifeCycle {
  readonly #cleanupSteps: CleanupStep[] = [];
  readonly #controller = new AbortController();
  readonly #tasks = new Set<ScheduledTask>();
  #timer: NodeJS.Timeout | undefined;
  #timerDueMs = Number.POSITIVE_INFINITY;
  #stopping: Promise<StopReport> | undefined;

  /** Aborted when shutdown begins. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether shutdown has begun. */
  get isStopping(): boolean {
    return this.#stopping !== undefined;
  }

  /** Registers a cleanup step; steps run in reverse order of registration. */
  onStop(step: CleanupStep): void {
    this.#cleanupSteps.push(step);
  }

  /**
   * Runs a callback at an interval until shutdown. Tasks that are due at about
   * the same time run together; a single run may come early or late, but the
   * average interval is kept.
   */
  every(intervalMs: number, callback: () => void): PeriodicTask {
    const dueMs = performance.now() + intervalMs;
    const task: ScheduledTask = { intervalMs, run: callback, dueMs };
    this.#tasks.add(task);
    this.#armTimer();
    this.onStop({
      name: "interval",
      timeoutMs: 100,
      run: () => {
        this.#tasks.delete(task);
        this.#armTimer();
      },
    });
    return {
      setIntervalMs: (newIntervalMs) => {
        if (newIntervalMs === task.intervalMs) return false;
        task.intervalMs = newIntervalMs;
        task.dueMs = performance.now() + newIntervalMs;
        this.#armTimer();
        return true;
      },
    };
  }

  /** Sets the shared timer to the earliest due task. */
  #armTimer(): void {
    let dueMs = Number.POSITIVE_INFINITY;
    for (const task of this.#tasks) dueMs = Math.min(dueMs, task.dueMs);
    if (dueMs === this.#timerDueMs) return;
    clearTimeout(this.#timer);
    this.#timerDueMs = dueMs;
    if (dueMs === Number.POSITIVE_INFINITY) return;
    const delayMs = Math.max(0, Math.ceil(dueMs - performance.now()));
    this.#timer = setTimeout(() => this.#runDueTasks(), delayMs);
  }

  #runDueTasks(): void {
    this.#timerDueMs = Number.POSITIVE_INFINITY;
    const nowMs = performance.now();
    for (const task of [...this.#tasks]) {
      if (
        task.dueMs - nowMs > Math.min(COALESCING_WINDOW_MS, task.intervalMs) / 2
      ) continue;
      // Runs missed while the process was paused are not made up for.
      task.dueMs = Math.max(
        task.dueMs + task.intervalMs,
        nowMs + task.intervalMs / 2,
      );
      task.run();
    }
    this.#armTimer();
  }

  /**
   * Runs all cleanup steps. Never rejects; later calls return the report of the
   * first one.
   */
  stop(): Promise<StopReport> {
    this.#stopping ??= this.#runSteps();
    return this.#stopping;
  }

  async #runSteps(): Promise<StopReport> {
    this.#controller.abort();
    const done: string[] = [];
    const failed: { name: string; reason: string }[] = [];
    for (const step of [...this.#cleanupSteps].reverse()) {
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
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error(`Timed out after ${step.timeoutMs} ms`)),
      step.timeoutMs,
    );
  });
  try {
    await Promise.race([Promise.resolve(step.run()), timeout]);
  } finally {
    clearTimeout(timer);
  }
}
