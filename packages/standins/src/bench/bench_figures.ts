/** Computes a run's figures from caller results and server journals. */
import * as hdr from "hdr-histogram-js";
import type { JournalEntry } from "../backend_server/journal.ts";
import type { EntryUsage, OperationResult } from "./bench_messages.ts";

/** Figures for the requests of one caller or of all callers. */
export interface RequestFigures {
  readonly requests: number;
  readonly answered: number;
  /** Answers a second. */
  readonly goodputPerSecond: number;
  /** Fraction of the requests that were answered. */
  readonly answeredPart: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Requests without an answer, by outcome and reason. */
  readonly notAnswered: Readonly<Record<string, number>>;
  /** 99th percentile of the time until a refusal. */
  readonly refusalP99Ms: number;
}

/** Figures of one run. */
export interface RunFigures extends RequestFigures {
  readonly callers: Readonly<Record<string, RequestFigures>>;
  readonly retriesPerRequest: number;
  /** Largest number of runs at a server over the mean. */
  readonly imbalanceMaxOverMean: number;
  /** Coefficient of variation of the number of runs per server. */
  readonly imbalanceCv: number;
  /** Measured mean time of a run at a server. */
  readonly runMs: number;
  /** Non-idempotent operations that ran more than once. */
  readonly runTwice: number;
  /** Operations reported as not run that a server ran. */
  readonly toldNotRunButRan: number;
  readonly entryCpuMsPerRequest: number;
  readonly busiestEntryCpuMs: number;
  readonly peerMessagesPerRequest: number;
  readonly ejections: number;
  /** Event loop lag of the entry VM where it was largest. */
  readonly loopDelayP99Ms: number;
}

/** Options of {@link computeRunFigures}. */
export interface RunFiguresOptions {
  readonly countedMs: number;
  readonly journal: readonly JournalEntry[];
  /** Usage of each entry VM at the start of the measured time. */
  readonly usagesBefore: readonly EntryUsage[];
  /** Usage of each entry VM at the end of the measured time. */
  readonly usages: readonly EntryUsage[];
  readonly isIdempotent: boolean;
}

/** Computes the figures of a run. */
export function computeRunFigures(
  results: readonly OperationResult[],
  options: RunFiguresOptions,
): RunFigures {
  const counted = results.filter((result) => result.isCounted);
  const { countedMs, usagesBefore } = options;
  const usages = options.usages.map((usage, index) =>
    usageSince(usage, usagesBefore[index]!)
  );
  const callers: Record<string, RequestFigures> = {};
  for (const caller of new Set(counted.map((result) => result.caller))) {
    const ofCaller = counted.filter((result) => result.caller === caller);
    callers[caller] = requestFigures(ofCaller, countedMs);
  }
  return {
    ...requestFigures(counted, countedMs),
    callers,
    ...journalFigures(results, options),
    retriesPerRequest: sum(usages, "retries") / sum(usages, "requests"),
    entryCpuMsPerRequest: sum(usages, "cpuMs") / sum(usages, "requests"),
    busiestEntryCpuMs: Math.max(...usages.map((usage) => usage.cpuMs)),
    peerMessagesPerRequest: sum(usages, "peerMessages") /
      sum(usages, "requests"),
    ejections: sum(usages, "ejections"),
    loopDelayP99Ms: Math.max(...usages.map((usage) => usage.loopDelayP99Ms)),
  };
}

function requestFigures(
  results: readonly OperationResult[],
  countedMs: number,
): RequestFigures {
  const latencies = hdr.build({ numberOfSignificantValueDigits: 3 });
  const refusals = hdr.build({ numberOfSignificantValueDigits: 3 });
  const notAnswered: Record<string, number> = {};
  let answered = 0;
  for (const { outcome, reason, latencyMs } of results) {
    const latencyUs = Math.round(latencyMs * 1000);
    if (outcome === "answered") {
      answered++;
      latencies.recordValue(latencyUs);
      continue;
    }
    if (outcome === "not-run") refusals.recordValue(latencyUs);
    const kind = `${outcome}:${reason}`;
    notAnswered[kind] = (notAnswered[kind] ?? 0) + 1;
  }
  return {
    requests: results.length,
    answered,
    goodputPerSecond: answered / countedMs * 1000,
    answeredPart: answered / results.length,
    p50Ms: latencies.getValueAtPercentile(50) / 1000,
    p99Ms: latencies.getValueAtPercentile(99) / 1000,
    notAnswered,
    refusalP99Ms: refusals.getValueAtPercentile(99) / 1000,
  };
}

function journalFigures(
  results: readonly OperationResult[],
  options: RunFiguresOptions,
): Pick<
  RunFigures,
  | "imbalanceMaxOverMean"
  | "imbalanceCv"
  | "runMs"
  | "runTwice"
  | "toldNotRunButRan"
> {
  const runs = new Map<string, number>();
  const perServer = new Map<string, number>();
  const startMs = new Map<string, number>();
  let totalMs = 0;
  let ended = 0;
  for (const entry of options.journal) {
    if (entry.step === "start") {
      const operation = entry.operationId ?? "";
      runs.set(operation, (runs.get(operation) ?? 0) + 1);
      perServer.set(entry.server, (perServer.get(entry.server) ?? 0) + 1);
      startMs.set(entry.requestId, entry.monotonicMs);
    }
    const beganMs = startMs.get(entry.requestId);
    if (entry.step === "end" && beganMs !== undefined) {
      totalMs += entry.monotonicMs - beganMs;
      ended++;
    }
  }
  const counts = [...perServer.values()];
  const mean = counts.reduce((a, b) => a + b, 0) / counts.length;
  const variance = counts.reduce((a, b) => a + (b - mean) ** 2, 0) /
    counts.length;
  const twice = [...runs.values()].filter((count) => count > 1).length;
  const ranDespiteNotRun = results.filter(({ outcome, id }) =>
    outcome === "not-run" && runs.has(id)
  );
  return {
    imbalanceMaxOverMean: Math.max(...counts) / mean,
    imbalanceCv: Math.sqrt(variance) / mean,
    runMs: totalMs / ended,
    runTwice: options.isIdempotent ? 0 : twice,
    toldNotRunButRan: ranDespiteNotRun.length,
  };
}

function usageSince(now: EntryUsage, before: EntryUsage): EntryUsage {
  return {
    ...now,
    cpuMs: now.cpuMs - before.cpuMs,
    requests: now.requests - before.requests,
    retries: now.retries - before.retries,
    peerMessages: now.peerMessages - before.peerMessages,
  };
}

function sum(
  usages: readonly EntryUsage[],
  field: keyof EntryUsage,
): number {
  return usages.reduce((total, usage) => total + usage[field], 0);
}
