/** Parses the JSON log lines of entry processes. */
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
  try {
    const parsed = logLineSchema.safeParse(JSON.parse(line.slice(brace)));
    if (!parsed.success) return undefined;
    return {
      timeMs: Date.parse(parsed.data.time),
      text: line,
      fields: parsed.data,
    };
  } catch {
    // Another program's line, or a truncated one.
    return undefined;
  }
}
