/**
 * Starts programs of this project as child processes, for the demo, benchmarks
 * and end-to-end tests. Shipped code never starts a process.
 */
import * as childProcess from "node:child_process";
import * as readline from "node:readline";

const DEFAULT_READY_TIMEOUT_MS = 15_000;
const MAX_KEPT_LINES = 20_000;

/** Options of {@link ChildProgram.start}. */
export interface StartOptions {
  /** Name used in error messages. */
  readonly name: string;
  /** Path of the compiled script to run with Node. */
  readonly script: string;
  readonly args: readonly string[];
  /** Options of Node itself; none by default. */
  readonly nodeOptions?: readonly string[];
  /**
   * Whether a line of output is the ready line. By default, the first line that
   * looks like a JSON object with a `port`.
   */
  readonly isReady?: (line: string) => boolean;
  /** 15 000 ms by default. */
  readonly readyTimeoutMs?: number;
  /** Called with each line of output. */
  readonly onLine?: (line: string) => void;
  /** Added to the environment of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

/** Exit code and signal of a program. */
export interface ProgramExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const runningChildren = new Set<childProcess.ChildProcess>();

// If the test harness fails, processes that it leaves behind would take CPU time
// and distort later measurements on the machine.
process.on("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** A child process that runs a program of this project. */
export class ChildProgram {
  readonly name: string;
  readonly #child: childProcess.ChildProcess;
  readonly #lines: string[] = [];
  readonly #exited: Promise<ProgramExit>;
  #readyLine = "";
  #exit: ProgramExit | undefined;

  private constructor(name: string, child: childProcess.ChildProcess) {
    this.name = name;
    this.#child = child;
    runningChildren.add(child);
    this.#exited = new Promise((resolve) => {
      child.once("close", (code, signal) => {
        runningChildren.delete(child);
        this.#exit = { code, signal };
        resolve(this.#exit);
      });
    });
  }

  /**
   * Starts a program and waits for its ready line. Errors: kills the program
   * and rejects when it exits first or is not ready before the timeout.
   */
  static async start(options: StartOptions): Promise<ChildProgram> {
    const child = childProcess.spawn(
      process.execPath,
      [...options.nodeOptions ?? [], options.script, ...options.args],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...options.env },
      },
    );
    const program = new ChildProgram(options.name, child);
    try {
      await program.#waitUntilReady(options);
    } catch (error) {
      program.kill("SIGKILL");
      throw error;
    }
    return program;
  }

  get pid(): number {
    return this.#child.pid!;
  }

  /** Most recent lines of standard output and error, up to 20 000. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** The ready line that the program printed. */
  get readyLine(): string {
    return this.#readyLine;
  }

  /** The port in the ready line of a stand-in. */
  get port(): number {
    return (JSON.parse(this.#readyLine) as { port: number }).port;
  }

  get hasExited(): boolean {
    return this.#exit !== undefined;
  }

  /** Resolves when the process has exited and its output has been read. */
  exited(): Promise<ProgramExit> {
    return this.#exited;
  }

  /** Sends a signal to this process, not to its process group. */
  kill(signal: NodeJS.Signals): void {
    if (!this.hasExited) this.#child.kill(signal);
  }

  /** Pauses the process with SIGSTOP. */
  freeze(): void {
    this.kill("SIGSTOP");
  }

  /** Resumes a paused process with SIGCONT. */
  wake(): void {
    this.kill("SIGCONT");
  }

  /** Sends SIGTERM, and SIGKILL after the timeout; waits for the exit. */
  async stop(timeoutMs: number): Promise<ProgramExit> {
    this.kill("SIGTERM");
    this.wake();
    const timer = setTimeout(() => this.kill("SIGKILL"), timeoutMs);
    const exit = await this.#exited;
    clearTimeout(timer);
    return exit;
  }

  #waitUntilReady(options: StartOptions): Promise<void> {
    const isReady = options.isReady ?? isReadyLine;
    const timeoutMs = options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(this.#startError(`not ready within ${timeoutMs} ms`)),
        timeoutMs,
      );
      const onLine = (line: string) => {
        this.#keepLine(line);
        options.onLine?.(line);
        if (this.#readyLine !== "" || !isReady(line)) return;
        this.#readyLine = line;
        clearTimeout(timer);
        resolve();
      };
      for (const stream of [this.#child.stdout!, this.#child.stderr!]) {
        readline.createInterface({ input: stream }).on("line", onLine);
      }
      this.#exited.then(() => {
        clearTimeout(timer);
        reject(this.#startError("it exited"));
      });
    });
  }

  #keepLine(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > MAX_KEPT_LINES) {
      this.#lines.splice(0, MAX_KEPT_LINES / 2);
    }
  }

  #startError(reason: string): Error {
    const tail = this.#lines.slice(-10).join("\n");
    return new Error(
      `"${this.name}" did not start, ${reason}; fix the error in its output:\n${tail}`,
    );
  }
}

function isReadyLine(line: string): boolean {
  return line.startsWith("{") && line.includes('"port"');
}
