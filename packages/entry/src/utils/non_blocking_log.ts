/**
 * A JSON log, one object per line, that never blocks on its consumer. Lines go
 * to a bounded buffer that is flushed in the background. While the consumer
 * doesn't read, lines beyond the buffer are dropped and counted; the next line
 * written reports their number as `linesDroppedBefore`. Levels and parts are
 * those of `log.ts`; its library is not used, as it does much more for a line
 * than this needs.
 */
import * as fs from "node:fs";
import * as timers from "node:timers/promises";
// Node finds no named exports in this CommonJS module.
import sonicBoom from "sonic-boom";
import type {
  CreateLogOptions,
  LogFields,
  Logger,
  LoggerFactory,
  LogPart,
} from "./log.ts";

/** Size limit of the buffer in bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const STDOUT_FD = 1;
/** A consumer that has read nothing for this long is not waited for. */
const STALLED_AFTER_MS = 1_000;
/** Attempts to write a line at once while the consumer's pipe is full. */
const MAX_SYNC_ATTEMPTS = 10;

/** Levels of lines in ascending order. */
const LEVELS = ["debug", "info", "warn", "error"] as const;
type Level = typeof LEVELS[number];

/** Options of {@link createNonBlockingLog}. */
export interface NonBlockingLogOptions extends Pick<CreateLogOptions, "level"> {
  /** Descriptor that lines are written to; standard output by default. */
  readonly fd?: number;
}

/** A log that can write its last lines before the process ends. */
export interface NonBlockingLog extends LoggerFactory {
  /** Resolves when all lines are written, at the latest after the timeout. */
  flush(timeoutMs: number): Promise<void>;
  /**
   * The logger of a component whose lines, and those before them, are written
   * when the call returns. For the end of the process: it blocks.
   */
  syncPart(part: LogPart): Logger;
}

/** Writes lines to a descriptor in the background. */
class LineWriter {
  readonly #fd: number;
  readonly #out: sonicBoom.SonicBoom;
  #dropped = 0;
  /** Since when lines wait for the consumer to read; undefined if none do. */
  #waitingSinceMs: number | undefined;
  #isSync = false;
  #syncAttempts = 0;

  constructor(fd: number) {
    this.#fd = fd;
    this.#out = new sonicBoom.SonicBoom({
      fd,
      sync: false,
      maxLength: MAX_BUFFERED_BYTES,
      retryEAGAIN: () =>
        !this.#isSync || ++this.#syncAttempts < MAX_SYNC_ATTEMPTS,
    });
    this.#out.on("drop", () => this.#dropped++);
    this.#out.on("write", () => {
      if (this.#waitingSinceMs !== undefined) {
        this.#waitingSinceMs = performance.now();
      }
    });
    this.#out.on("drain", () => this.#waitingSinceMs = undefined);
    // The consumer has closed the pipe, so the error can't be logged anywhere.
    this.#out.on("error", () => {});
  }

  write(
    level: Level,
    part: LogPart,
    sentence: string,
    fields: LogFields | undefined,
  ): void {
    const dropped = this.#dropped;
    const text = this.#takeLine(level, part, sentence, fields);
    this.#waitingSinceMs ??= performance.now();
    const isAccepted = this.#out.write(text);
    if (!isAccepted && this.#dropped > 0) this.#dropped += dropped;
  }

  /** Writes a line at once, after those that wait. */
  writeSync(
    level: Level,
    part: LogPart,
    sentence: string,
    fields: LogFields | undefined,
  ): void {
    const isStalled = this.#waitingSinceMs !== undefined &&
      performance.now() - this.#waitingSinceMs >= STALLED_AFTER_MS;
    if (isStalled) return;
    const text = this.#takeLine(level, part, sentence, fields);
    this.#isSync = true;
    this.#syncAttempts = 0;
    try {
      this.#out.flushSync();
      let rest = Buffer.from(text);
      while (rest.length > 0) {
        rest = rest.subarray(fs.writeSync(this.#fd, rest));
      }
    } catch {
      // The consumer doesn't read, so the error can't be logged anywhere.
    } finally {
      this.#isSync = false;
    }
  }

  /** Resolves when all lines are written. */
  flush(): Promise<void> {
    return new Promise((resolve) => this.#out.flush(() => resolve()));
  }

  /** The text of a line, which reports the lines dropped before it. */
  #takeLine(
    level: Level,
    part: LogPart,
    sentence: string,
    fields: LogFields | undefined,
  ): string {
    const dropped = this.#dropped;
    this.#dropped = 0;
    const line = {
      time: new Date().toISOString(),
      level,
      part,
      sentence,
      ...fields,
      ...(dropped > 0 ? { linesDroppedBefore: dropped } : {}),
    };
    return JSON.stringify(line) + "\n";
  }
}

/** Creates the loggers of a process that logs JSON lines without blocking. */
export function createNonBlockingLog(
  { level, fd = STDOUT_FD }: NonBlockingLogOptions,
): NonBlockingLog {
  const writer = new LineWriter(fd);
  const lowest = level === "silent" ? LEVELS.length : LEVELS.indexOf(level);
  const createLogger = (write: (of: Level) => Logger[Level]): Logger => {
    const logAt = (of: Level) =>
      LEVELS.indexOf(of) < lowest ? () => {} : write(of);
    return {
      debug: logAt("debug"),
      info: logAt("info"),
      warn: logAt("warn"),
      error: logAt("error"),
    };
  };
  return {
    part: (part) =>
      createLogger((of) => (sentence, fields) =>
        writer.write(of, part, sentence, fields)
      ),
    syncPart: (part) =>
      createLogger((of) => (sentence, fields) =>
        writer.writeSync(of, part, sentence, fields)
      ),
    flush: async (timeoutMs) => {
      await Promise.race([
        writer.flush(),
        timers.setTimeout(timeoutMs, undefined, { ref: false }),
      ]);
    },
  };
}
