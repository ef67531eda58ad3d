/** Lines of the log of an entry process. */
import * as z from "zod";

const logLineSchema = z.looseObject({
  time: z.string(),
  part: z.string(),
  sentence: z.string(),
});

/** One line of a log, with where it came from. */
export interface LogLine {
  readonly timeMs: number;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * The line as it was written; undefined for one that is not of such a log. Text
 * before the JSON, as a collector puts there, is kept.
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
    // A line of another program, or one that was cut off.
    return undefined;
  }
}
