/**
 * Logs one JSON object a line without ever waiting for the reader: lines go to
 * a bounded buffer that is written in the background. A reader that stops
 * reading costs lines, which are counted and told when it reads again.
 */
import * as consola from "consola";
import { SonicBoom } from "sonic-boom";
import type { CreateLogOptions, LogFields, LoggerFactory } from "./log.ts";
import { LOG_LEVELS } from "./log.ts";

/** Bytes that may wait for the reader; lines beyond are dropped. */
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
    // Nobody reads any more; there is nowhere left to tell it.
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
    const isTaken = this.#out.write(JSON.stringify(line) + "\n");
    if (!isTaken && this.#dropped > 0) this.#dropped += dropped;
  }
}

/** Creates a log of JSON lines that never blocks. */
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
