/**
 * Background work and shutdown of a process. An error of a task, a loop or a
 * detached promise is logged and costs that one step: the process, the other
 * tasks and the state from before the step stay. Components register cleanup
 * steps; `stop` runs them in reverse order, each with a timeout.
 */
import * as timers from "node:timers/promises";
import { FailureLog } from "./failure_log.ts";
import { createLog, type Logger } from "./log.ts";

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

/** Pause of a loop after a step that failed; doubles up to the maximum. */
const LOOP_RETRY_MIN_MS = 50;
/** A loop that goes on late would learn of changes late. */
const LOOP_RETRY_MAX_MS = 800;

/** A task that runs at an interval. */
export interface PeriodicTask {
  /**
   * Changes the interval; an infinite one pauses the task. Returns false when
   * the task already has this interval.
   */
  setIntervalMs(intervalMs: number): boolean;
}

interface ScheduledTask {
  readonly name: string;
  readonly run: () => void;
  intervalMs: number;
  dueMs: number;
}

/** Runs the background work and the cleanup of one process. */
export class LifeCycle {
  readonly #failures: FailureLog;
  readonly #cleanupSteps: CleanupStep[] = [];
  readonly #controller = new AbortController();
  readonly #tasks = new Set<ScheduledTask>();
  #timer: NodeJS.Timeout | undefined;
  #timerDueMs = Number.POSITIVE_INFINITY;
  #stopping: Promise<StopReport> | undefined;

  /** Errors of background work are logged to `log`. */
  constructor(log: Pick<Logger, "error"> = createDefaultLog()) {
    this.#failures = new FailureLog(log);
  }

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
   * average interval is kept. A run that throws is logged under the name.
   */
  every(
    intervalMs: number,
    callback: () => void,
    name = "periodic task",
  ): PeriodicTask {
    const dueMs = performance.now() + intervalMs;
    const task: ScheduledTask = { name, intervalMs, run: callback, dueMs };
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
      this.#failures.guard(task.name, task.run);
    }
    this.#armTimer();
  }

  /**
   * Runs a step again and again until shutdown. After a step that throws it
   * waits, longer after each further one, and goes on.
   */
  runLoop(name: string, step: () => Promise<void>): void {
    this.detach(name, this.#loop(name, step));
  }

  async #loop(name: string, step: () => Promise<void>): Promise<void> {
    const { signal } = this;
    let failures = 0;
    while (!signal.aborted) {
      try {
        await step();
        failures = 0;
      } catch (error) {
        this.#failures.note(name, error);
        const retryMs = Math.min(
          LOOP_RETRY_MAX_MS,
          LOOP_RETRY_MIN_MS * 2 ** failures++,
        );
        // Shutdown ends the pause.
        await timers.setTimeout(retryMs, undefined, { signal }).catch(() => {});
      }
    }
  }

  /** Runs a step of an event handler; its error is logged under the name. */
  guard(name: string, step: () => void): void {
    this.#failures.guard(name, step);
  }

  /** Owns a promise that nobody awaits: its error is logged under the name. */
  detach(name: string, promise: PromiseLike<unknown>): void {
    this.#failures.detach(name, promise);
  }

  /**
   * Runs a callback once after a delay; its error is logged under the name. The
   * timer doesn't keep the process running.
   */
  after(delayMs: number, callback: () => void, name: string): NodeJS.Timeout {
    const run = () => this.#failures.guard(name, callback);
    return setTimeout(run, delayMs).unref();
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

/** For programs and tests that give no log: errors must not go unnoticed. */
function createDefaultLog(): Logger {
  return createLog({ format: "text", level: "error" }).part("main");
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
