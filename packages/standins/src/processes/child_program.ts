/**
 * Starts programs of this project as child processes, for the demo, the bench
 * and the proofs. Shipped code never starts a process.
 */
import * as childProcess from "node:child_process";
import * as readline from "node:readline";

const DEFAULT_READY_TIMEOUT_MS = 15_000;
const MAX_KEPT_LINES = 20_000;

/** Options of {@link ChildProgram.start}. */
export interface StartOptions {
  /** Name in errors. */
  readonly name: string;
  /** Built script to run with Node. */
  readonly script: string;
  readonly args: readonly string[];
  /**
   * Whether a line of output says that the program is ready. By default the
   * first line that is a JSON object with a `port`.
   */
  readonly isReady?: (line: string) => boolean;
  readonly readyTimeoutMs?: number;
  /** Called with each line, besides being kept. */
  readonly onLine?: (line: string) => void;
  readonly env?: Readonly<Record<string, string>>;
}

/** How a program ended. */
export interface ProgramExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const runningChildren = new Set<childProcess.ChildProcess>();

// A harness that fails half-way would otherwise leave its processes behind,
// and every later figure on the machine would be taken beside them.
process.on("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** A running child process of ours. */
export class ChildProgram {
  readonly name: string;
  readonly #child: childProcess.ChildProcess;
  readonly #lines: string[] = [];
  readonly #ended: Promise<ProgramExit>;
  #readyLine = "";
  #end: ProgramExit | undefined;

  private constructor(name: string, child: childProcess.ChildProcess) {
    this.name = name;
    this.#child = child;
    runningChildren.add(child);
    this.#ended = new Promise((resolve) => {
      child.once("close", (code, signal) => {
        runningChildren.delete(child);
        this.#end = { code, signal };
        resolve(this.#end);
      });
    });
  }

  /**
   * Starts a program and waits for its ready line. Errors: rejects when it
   * ends or stays silent until the deadline; it is killed then.
   */
  static async start(options: StartOptions): Promise<ChildProgram> {
    const child = childProcess.spawn(
      process.execPath,
      [options.script, ...options.args],
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

  /** Lines of standard output and standard error so far. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** The line by which the program said that it is ready. */
  get readyLine(): string {
    return this.#readyLine;
  }

  /** The port named by the ready line of a stand-in. */
  get port(): number {
    return (JSON.parse(this.#readyLine) as { port: number }).port;
  }

  get hasExited(): boolean {
    return this.#end !== undefined;
  }

  /** Resolves when the process has ended and its output is read. */
  exited(): Promise<ProgramExit> {
    return this.#ended;
  }

  /** Sends a signal to this process alone. */
  kill(signal: NodeJS.Signals): void {
    if (!this.hasExited) this.#child.kill(signal);
  }

  /** Stops the process in its tracks: SIGSTOP. */
  freeze(): void {
    this.kill("SIGSTOP");
  }

  /** Lets a frozen process run again: SIGCONT. */
  wake(): void {
    this.kill("SIGCONT");
  }

  /** Asks the process to end; kills it after the deadline. */
  async stop(timeoutMs: number): Promise<ProgramExit> {
    this.kill("SIGTERM");
    this.wake();
    const timer = setTimeout(() => this.kill("SIGKILL"), timeoutMs);
    const end = await this.#ended;
    clearTimeout(timer);
    return end;
  }

  #waitUntilReady(options: StartOptions): Promise<void> {
    const isReady = options.isReady ?? isReadyLine;
    const timeoutMs = options.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(this.#notReady(`not ready within ${timeoutMs} ms`)),
        timeoutMs,
      );
      const onLine = (line: string) => {
        this.#keep(line);
        options.onLine?.(line);
        if (this.#readyLine !== "" || !isReady(line)) return;
        this.#readyLine = line;
        clearTimeout(timer);
        resolve();
      };
      for (const stream of [this.#child.stdout!, this.#child.stderr!]) {
        readline.createInterface({ input: stream }).on("line", onLine);
      }
      this.#ended.then(() => {
        clearTimeout(timer);
        reject(this.#notReady("it ended"));
      });
    });
  }

  #keep(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > MAX_KEPT_LINES) {
      this.#lines.splice(0, MAX_KEPT_LINES / 2);
    }
  }

  #notReady(why: string): Error {
    const tail = this.#lines.slice(-10).join("\n");
    return new Error(
      `"${this.name}" did not start, ${why}; mend what its output says:\n${tail}`,
    );
  }
}

function isReadyLine(line: string): boolean {
  return line.startsWith("{") && line.includes('"port"');
}
