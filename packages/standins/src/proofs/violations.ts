/**
 * Checks the invariants against the servers' journals and the callers'
 * records. No check depends on how long anything took.
 */
import type { JournalEntry } from "../backend_server/journal.ts";
import type { CallerRecord } from "./caller_record.ts";

/** Violations by invariant, each described in one line. */
export interface Violations {
  /** Non-idempotent operations that ran more than once. */
  readonly ranTwice: readonly string[];
  /** Runs of a key that overlap at two servers, or use an older fence. */
  readonly twoOwners: readonly string[];
  /** Reported to the caller as not run although a server ran it. */
  readonly notRunButRan: readonly string[];
  /** Answers that belonged to another request or were incomplete. */
  readonly wrongAnswers: readonly string[];
  /** Reported as answered although no server finished it. */
  readonly answeredButNotRun: readonly string[];
}

/** One execution of an attempt by a server. */
interface Run {
  readonly server: string;
  readonly operationId: string;
  readonly key: string;
  readonly fence: number | undefined;
  readonly startMs: number;
  /** Undefined when the server failed before it finished. */
  readonly endMs: number | undefined;
}

/** Input of {@link countViolations}. */
export interface Observations {
  readonly journal: readonly JournalEntry[];
  readonly records: readonly CallerRecord[];
}

/** Finds all violations of the invariants. */
export function countViolations(observations: Observations): Violations {
  const runs = effectiveRunsOf(observations.journal);
  const byOperation = groupBy(runs, (run) => run.operationId);
  return {
    ranTwice: findRanTwice(observations.records, byOperation),
    twoOwners: findTwoOwners(runs),
    notRunButRan: observations.records
      .filter((record) => record.outcome === "not-run")
      .filter((record) => byOperation.has(record.operationId))
      .map((record) => `${record.operationId} (${record.reason})`),
    wrongAnswers: observations.records
      .filter((record) => record.outcome === "answered" && !record.isOwnAnswer)
      .map((record) => record.operationId),
    answeredButNotRun: observations.records
      .filter((record) => record.outcome === "answered")
      .filter((record) => !hasEnded(byOperation.get(record.operationId)))
      .map((record) => record.operationId),
  };
}

/** Number of violations of all kinds. */
export function totalOf(violations: Violations): number {
  return Object.values(violations)
    .reduce((sum: number, found: readonly string[]) => sum + found.length, 0);
}

/** Runs that had or may have had an effect; abandoned runs had none. */
function effectiveRunsOf(journal: readonly JournalEntry[]): Run[] {
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
 * A keyed run on a server that failed has no end, and whether it took effect
 * is unknown, so it counts as an instant. A run whose fence is lower than that
 * of an earlier run of its key used a lease that had already been replaced.
 */
function findTwoOwners(runs: readonly Run[]): string[] {
  const found: string[] = [];
  const keyed = runs.filter((run) => run.fence !== undefined);
  for (const [key, keyRuns] of groupBy(keyed, (run) => run.key)) {
    const ordered = [...keyRuns].sort((a, b) => a.startMs - b.startMs);
    for (const [index, later] of ordered.entries()) {
      const conflict = ordered.slice(0, index)
        .find((earlier) => isConflict(earlier, later));
      if (conflict === undefined) continue;
      found.push(
        `key ${key}: ${describe(conflict)} and ${describe(later)}`,
      );
    }
  }
  return found;
}

function isConflict(earlier: Run, later: Run): boolean {
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
