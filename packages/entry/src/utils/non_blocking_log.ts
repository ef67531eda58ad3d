/**
 * A JSON log, one object per line, that never blocks on its consumer. Lines go
 * to a bounded buffer that is flushed in the background. While the consumer
 * doesn't read, lines beyond the buffer are dropped and counted; the next line
 * written reports their number as `linesDroppedBefore`.
 */
import * as consola from "consola";
import { SonicBoom } from "sonic-boom";
import type { CreateLogOptions, LogFields, LoggerFactory } from "./log.ts";
import { LOG_LEVELS } from "./log.ts";

/** Size limit of the buffer in bytes; further lines are dropped. */
const MAX_BUFFERED_BYTES = 512 * 1024;
const STDOUT_FD = 1;

/** Writes lines to standard output in the background. */
class NonBlockingReporter {
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

  log(entry: consola.LogObject): void {
    const [sentence, fields] = entry.args as [string, LogFields | undefined];
    const dropped = this.#dropped;
    this.#dropped = 0;
    const line = {
      time: entry.date.toISOString(),
      level: entry.type,
      part: entry.tag,
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
  const root = consola.createConsola({
    level: LOG_LEVELS[level],
    reporters: [new NonBlockingReporter()],
    throttle: 0,
  });
  return { part: (part) => root.withTag(part) };
}
