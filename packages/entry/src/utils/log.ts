/**
 * Logs with consola: short sentences with a fixed prefix for each part, as
 * readable text or as one JSON object a line.
 */
import * as consola from "consola";

/** How log lines are written. */
export type LogFormat = "text" | "json";

/** A part of the program with its own prefix. */
export type LogPart =
  | "admin"
  | "balance"
  | "config"
  | "duty"
  | "link"
  | "main"
  | "member"
  | "owner"
  | "place"
  | "route"
  | "store";

/** Fields of a decision; values are printed as `name=value`. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes the lines of one part. */
export interface Logger {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
}

/** Gives each part its log. */
export interface LoggerFactory {
  part(part: LogPart): Logger;
}

/** Options of {@link createLog}. */
export interface CreateLogOptions {
  readonly format: LogFormat;
  readonly level: "debug" | "info" | "warn" | "error" | "silent";
}

/** Levels of consola by our names. */
export const LOG_LEVELS = {
  silent: -999,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
} as const;

function formatFields(fields: LogFields | undefined): string {
  if (fields === undefined) return "";
  let text = "";
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    text += ` ${name}=${value}`;
  }
  return text;
}

class TextReporter {
  log(entry: consola.LogObject): void {
    const [sentence, fields] = entry.args as [string, LogFields | undefined];
    const level = entry.type.padEnd(5);
    const time = entry.date.toISOString();
    process.stdout.write(
      `${time} ${level} ${entry.tag}: ${sentence}${formatFields(fields)}\n`,
    );
  }
}

class JsonReporter {
  log(entry: consola.LogObject): void {
    const [sentence, fields] = entry.args as [string, LogFields | undefined];
    const line = {
      time: entry.date.toISOString(),
      level: entry.type,
      part: entry.tag,
      sentence,
      ...fields,
    };
    process.stdout.write(JSON.stringify(line) + "\n");
  }
}

/** Creates the program's log. Errors: none. */
export function createLog(options: CreateLogOptions): LoggerFactory {
  const reporter = options.format === "json"
    ? new JsonReporter()
    : new TextReporter();
  const root = consola.createConsola({
    level: LOG_LEVELS[options.level],
    reporters: [reporter],
    throttle: 0,
  });
  return {
    part(part: LogPart): Logger {
      const tagged = root.withTag(part);
      return {
        debug: (sentence, fields) => tagged.debug(sentence, fields),
        info: (sentence, fields) => tagged.info(sentence, fields),
        warn: (sentence, fields) => tagged.warn(sentence, fields),
        error: (sentence, fields) => tagged.error(sentence, fields),
      };
    },
  };
}
