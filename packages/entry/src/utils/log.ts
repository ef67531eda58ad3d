/**
 * Structured logging with consola, as text or as one JSON object per line. Each
 * component of the program logs under its own name.
 */
import * as consola from "consola";

/** Format of log lines. */
export type LogFormat = "text" | "json";

/** Component of the program, logged with each line. */
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

/** Structured fields of a log line; the text format prints `name=value`. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Logger of one component. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Creates the logger of each component. */
export interface LoggerFactory {
  part(part: LogPart): Logger;
}

/** Options of {@link createLog}. */
export interface CreateLogOptions {
  readonly format: LogFormat;
  readonly level: "debug" | "info" | "warn" | "error" | "silent";
}

/** consola's numeric level for each level of the settings. */
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

/** Creates the loggers of a process; never throws. */
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
      const logger = root.withTag(part);
      return {
        debug: (message, fields) => logger.debug(message, fields),
        info: (message, fields) => logger.info(message, fields),
        warn: (message, fields) => logger.warn(message, fields),
        error: (message, fields) => logger.error(message, fields),
      };
    },
  };
}
