/** Groups failed requests in log lines by time, route and reason. */
import { type LogLine, parseLogLine } from "./log_line.ts";

/** Failed requests of one second, route, status and reason. */
export interface FailureGroup {
  /** UTC time of day, as `HH:MM:SS`. */
  readonly second: string;
  /** Empty for refusals that are logged as a count per second. */
  readonly route: string;
  readonly status: string;
  /** The outcome, with each number replaced by `N` so that equal ones group. */
  readonly reason: string;
  count: number;
  /**
   * Mean time from arrival to response; for refusals that are logged as a count,
   * the event loop lag.
   */
  meanTookMs: number;
}

/** Failed requests found in a log. */
export interface FailureReport {
  /** Ordered by second, then by count, highest first. */
  readonly groups: readonly FailureGroup[];
  /** Failed requests whose lines the log's rate limit omitted. */
  readonly omittedCount: number;
}

const FAILED_REQUEST = "Ended badly.";
const OMITTED_LINES = "Left out lines of requests that ended badly.";
/** Refusals that are logged as one line per second with their count. */
const AGGREGATED_REFUSALS = new Set([
  "Refuses: the event loop is behind.",
  "Refuses what this VM has read too late.",
]);

/** Groups the failed requests in the log lines of any number of processes. */
export function summarizeFailures(log: string): FailureReport {
  const groups = new Map<string, FailureGroup>();
  let omittedCount = 0;
  for (const text of log.split("\n")) {
    const line = parseLogLine(text);
    if (line === undefined) continue;
    const { sentence, count } = line.fields;
    if (sentence === OMITTED_LINES) omittedCount += Number(count) || 0;
    const failure = parseFailure(line);
    if (failure !== undefined) addToGroup(groups, failure);
  }
  const sorted = [...groups.values()].sort((a, b) =>
    a.second.localeCompare(b.second) || b.count - a.count
  );
  return { groups: sorted, omittedCount };
}

function parseFailure({ timeMs, fields }: LogLine): FailureGroup | undefined {
  const second = new Date(timeMs).toISOString().slice(11, 19);
  const sentence = String(fields["sentence"]);
  if (AGGREGATED_REFUSALS.has(sentence)) {
    return {
      second,
      route: "",
      status: "503",
      reason: sentence,
      count: Number(fields["refused"]) || 1,
      meanTookMs: Number(fields["lagMs"]) || 0,
    };
  }
  if (sentence !== FAILED_REQUEST) return undefined;
  return {
    second,
    route: String(fields["route"] ?? ""),
    status: String(fields["status"] ?? ""),
    reason: String(fields["outcome"] ?? "").replace(/\d+/g, "N"),
    count: 1,
    meanTookMs: Number(fields["tookMs"]) || 0,
  };
}

function addToGroup(
  groups: Map<string, FailureGroup>,
  failure: FailureGroup,
): void {
  const { second, route, status, reason } = failure;
  const key = [second, route, status, reason].join(" ");
  const group = groups.get(key);
  if (group === undefined) return void groups.set(key, failure);
  const count = group.count + failure.count;
  group.meanTookMs += (failure.meanTookMs - group.meanTookMs) * failure.count /
    count;
  group.count = count;
}
