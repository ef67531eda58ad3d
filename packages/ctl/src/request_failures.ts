/** Counts, from log lines, which requests ended badly, when and why. */
import { type LogLine, parseLogLine } from "./log_line.ts";

/** Requests of one second and route that ended for one reason. */
export interface FailureGroup {
  readonly second: string;
  readonly route: string;
  readonly status: string;
  /** The decision, with its figures left out. */
  readonly reason: string;
  count: number;
  /** Mean time from their arrival to their answer. */
  meanTookMs: number;
}

/** What a log says of requests that ended badly. */
export interface FailureReport {
  /** In the order of time, the most frequent of a second first. */
  readonly groups: readonly FailureGroup[];
  /** Requests whose lines were left out for their number. */
  readonly omittedCount: number;
}

const FAILED_REQUEST = "Ended badly.";
const OMITTED_LINES = "Left out lines of requests that ended badly.";
/** Refusals that have one line a second with their number. */
const AGGREGATED_REFUSALS = new Set([
  "Refuses: the event loop is behind.",
  "Refuses what this VM has read too late.",
]);

/** Counts the losses in the log lines of any number of processes. */
export function summarizeFailures(log: string): FailureReport {
  const losses = new Map<string, FailureGroup>();
  let unlisted = 0;
  for (const text of log.split("\n")) {
    const line = parseLogLine(text);
    if (line === undefined) continue;
    const { sentence, count } = line.fields;
    if (sentence === OMITTED_LINES) unlisted += Number(count) || 0;
    const loss = parseFailure(line);
    if (loss !== undefined) addToGroup(losses, loss);
  }
  const sorted = [...losses.values()].sort((a, b) =>
    a.second.localeCompare(b.second) || b.count - a.count
  );
  return { groups: sorted, omittedCount: unlisted };
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
  losses: Map<string, FailureGroup>,
  loss: FailureGroup,
): void {
  const { second, route, status, reason } = loss;
  const name = [second, route, status, reason].join(" ");
  const known = losses.get(name);
  if (known === undefined) return void losses.set(name, loss);
  const count = known.count + loss.count;
  known.meanTookMs += (loss.meanTookMs - known.meanTookMs) * loss.count / count;
  known.count = count;
}
