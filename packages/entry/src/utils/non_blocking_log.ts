/**
 * A JSON log, one object per line, that never blocks on its consumer. Lines go
 * to a bounded buffer that is flushed in the background. While the consumer
 * doesn't read, lines beyond the buffer are dropped and counted; the next line
 * written reports their number as `linesDroppedBefore`. Levels and parts are
 * those of `log.ts`; its library is not used, as it does much more for a line
 * than this needs.
 */
import { SonicBoom } from "sonic-boom";
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

/** Levels of lines in ascending order. */
const LEVELS = ["debug", "info", "warn", "error"] as const;
type Level = typeof LEVELS[number];

/** Writes lines to standard output in the background. */
class LineWriter {
  readonly #out = new SonicBoom({
    fd: STDOUT_FD,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
  #dropped = 0;

  constructor() {
    this.#out.on("drop", () => this.#dropped++);
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
    this.#dropped = 0;
    const line = {
      time: new Date().toISOString(),
      level,
      part,
      sentence,
      ...fields,
      ...(dropped > 0 ? { linesDroppedBefore: dropped } : {}),
    };
    const isAccepted = this.#out.write(JSON.stringify(line) + "\n");
    if (!isAccepted && this.#dropped > 0) this.#dropped += dropped;
  }
}

/** Creates the loggers of a process that logs JSON lines without blocking. */
export function createNonBlockingLog(
  { level }: Pick<CreateLogOptions, "level">,
): LoggerFactory {
  const writer = new LineWriter();
  const lowest = level === "silent" ? LEVELS.length : LEVELS.indexOf(level);
  return {
    part: (part) => {
      const logAt = (of: Level): Logger[Level] =>
        LEVELS.indexOf(of) < lowest
          ? () => {}
          : (sentence, fields) => writer.write(of, part, sentence, fields);
      return {
        debug: logAt("debug"),
        info: logAt("info"),
        warn: logAt("warn"),
        error: logAt("error"),
      };
    },
  };
}
