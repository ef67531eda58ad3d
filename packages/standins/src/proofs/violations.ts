/**
 * Counts what must never happen, from the servers' journals and the callers'
 * records. Nothing here depends on how long anything took.
 */
import type { JournalEntry } from "../backend_server/journal.ts";
import type { CallerRecord } from "./caller_record.ts";

/** Number of violations by invariant, with an example of each. */
export interface Violations {
  /** Non-idempotent operations that ran more than once. */
  readonly ranTwice: readonly string[];
  /** Runs of a key that overlap at two servers, or of an older fence. */
  readonly twoOwners: readonly string[];
  /** Told as not run, and a server ran it. */
  readonly notRunButRan: readonly string[];
  /** Answers that were another request's or not whole. */
  readonly wrongAnswers: readonly string[];
  /** Told as answered, and no server finished it. */
  readonly answeredButNotRun: readonly string[];
}

/** One run of an attempt at a server. */
interface Run {
  readonly server: string;
  readonly operationId: string;
  readonly key: string;
  readonly fence: number | undefined;
  readonly startMs: number;
  /** Undefined when the server was lost before the effect. */
  readonly endMs: number | undefined;
}

/** What {@link countViolations} looks at. */
export interface Evidence {
  readonly journal: readonly JournalEntry[];
  readonly records: readonly CallerRecord[];
}

/** Counts all violations. */
export function countViolations(evidence: Evidence): Violations {
  const runs = runsOf(evidence.journal);
  const byOperation = groupBy(runs, (run) => run.operationId);
  return {
    ranTwice: findRanTwice(evidence.records, byOperation),
    twoOwners: findTwoOwners(runs),
    notRunButRan: evidence.records
      .filter((record) => record.outcome === "not-run")
      .filter((record) => byOperation.has(record.operationId))
      .map((record) => `${record.operationId} (${record.reason})`),
    wrongAnswers: evidence.records
      .filter((record) => record.outcome === "answered" && !record.isOwnAnswer)
      .map((record) => record.operationId),
    answeredButNotRun: evidence.records
      .filter((record) => record.outcome === "answered")
      .filter((record) => !hasEnded(byOperation.get(record.operationId)))
      .map((record) => record.operationId),
  };
}

/** All violations together. */
export function totalOf(violations: Violations): number {
  return Object.values(violations)
    .reduce((sum: number, found: readonly string[]) => sum + found.length, 0);
}

/** Runs that had or may have had an effect; abandoned ones had none. */
function runsOf(journal: readonly JournalEntry[]): Run[] {
  const steps = groupBy(
    journal.filter((entry) => entry.step !== "refused"),
    (entry) => `${entry.server}/${entry.requestId}`,
  );
  const runs: Run[] = [];
  for (const entries of steps.values()) {
    const start = entries.find((entry) => entry.step === "start");
    const isAbandoned = entries.some((entry) => entry.step === "abandoned");
    if (start === undefined || isAbandoned) continue;
    const end = entries.find((entry) => entry.step === "end");
    runs.push({
      server: start.server,
      operationId: start.operationId ?? start.requestId,
      key: start.key ?? "",
      fence: start.fence,
      startMs: start.monotonicMs,
      endMs: end?.monotonicMs,
    });
  }
  return runs;
}

function findRanTwice(
  records: readonly CallerRecord[],
  byOperation: ReadonlyMap<string, readonly Run[]>,
): string[] {
  const idempotent = new Set(
    records.filter((record) => record.isIdempotent)
      .map((record) => record.operationId),
  );
  return [...byOperation.entries()]
    .filter(([id, runs]) => runs.length > 1 && !idempotent.has(id))
    .map(([id, runs]) => `${id} at ${runs.map((run) => run.server)}`);
}

/**
 * A keyed run of a server that was lost has no end: its effect can't be told,
 * so it counts as a moment. A run whose fence lies below that of an earlier
 * run of its key ran by a right that had already passed on.
 */
function findTwoOwners(runs: readonly Run[]): string[] {
  const found: string[] = [];
  const keyed = runs.filter((run) => run.fence !== undefined);
  for (const [key, ofKey] of groupBy(keyed, (run) => run.key)) {
    const ordered = [...ofKey].sort((a, b) => a.startMs - b.startMs);
    for (const [index, later] of ordered.entries()) {
      const clash = ordered.slice(0, index)
        .find((earlier) => isClash(earlier, later));
      if (clash === undefined) continue;
      found.push(
        `key ${key}: ${describe(clash)} and ${describe(later)}`,
      );
    }
  }
  return found;
}

function isClash(earlier: Run, later: Run): boolean {
  if (earlier.server === later.server) return false;
  const overlaps = (earlier.endMs ?? earlier.startMs) > later.startMs;
  return overlaps || earlier.fence! > later.fence!;
}

function describe(run: Run): string {
  const end = run.endMs?.toFixed(1) ?? "lost";
  return `${run.server} fence ${run.fence} ${run.startMs.toFixed(1)}-${end}`;
}

function hasEnded(runs: readonly Run[] | undefined): boolean {
  return runs?.some((run) => run.endMs !== undefined) ?? false;
}

function groupBy<T>(
  items: readonly T[],
  nameOf: (item: T) => string,
): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const name = nameOf(item);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [item]);
    else group.push(item);
  }
  return groups;
}
