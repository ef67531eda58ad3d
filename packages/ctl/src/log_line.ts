/** Parses the JSON log lines of entry processes. */
import * as contracts from "@guavatide/contracts";
import * as z from "zod";

const logLineSchema = z.looseObject({
  time: z.string(),
  part: z.string(),
  sentence: z.string(),
});

/** A parsed log line. */
export interface LogLine {
  /** Milliseconds since the Unix epoch. */
  readonly timeMs: number;
  /** The original line, with any prefix. */
  readonly text: string;
  /** All fields of the JSON object. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line; undefined when it is not an entry process's log line. Text
 * before the JSON object, such as a log collector's prefix, is allowed.
 */
export function parseLogLine(line: string): LogLine | undefined {
  const brace = line.indexOf("{");
  if (brace < 0) return undefined;
  const parsed = contracts.decodeJson(line.slice(brace), logLineSchema);
  // Another program's line, or a truncated one.
  if (parsed.isErr()) return undefined;
  return {
    timeMs: Date.parse(parsed.value.time),
    text: line,
    fields: parsed.value,
  };
}
