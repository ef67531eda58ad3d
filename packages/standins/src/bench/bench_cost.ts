/**
 * Measures the router's overhead: the same requests to the same server, half of
 * them through an entry VM and half directly, in the same run.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as hdr from "hdr-histogram-js";
import { BenchCluster } from "./bench_cluster.ts";
import type { OperationResult } from "./bench_messages.ts";
import type { BenchService } from "./bench_scenarios.ts";

/** Options of {@link benchCost}. */
export interface BenchCostOptions {
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly policy: string;
  readonly seed: number;
}

/** Latency of answered requests. */
export interface CostLatency {
  readonly answered: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Overhead of requests that pass through an entry VM. */
export interface CostFigures {
  readonly throughEntry: CostLatency;
  readonly direct: CostLatency;
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  readonly entryCpuMsPerRequest: number;
  readonly entryResidentBytes: number;
  readonly loopDelayP99Ms: number;
}

/** One entry VM and one server with enough slots that no request waits. */
const COST_SERVICE: BenchService = {
  name: "cost",
  zones: ["zone"],
  servers: 1,
  slots: 50,
  connections: 400,
  entryVms: 1,
  linkDelayMs: 0,
  clientDelayMs: 0,
};
const WARM_UP_MS = 4000;
const SERVICE_MS = 2;
const TIMEOUT_MS = 2000;

/**
 * Measures added latency and processor time. Errors: rejects if a process
 * doesn't start or a caller fails.
 */
export async function benchCost(
  options: BenchCostOptions,
): Promise<CostFigures> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "guavatide-cost-"));
  const cluster = await BenchCluster.start({
    service: COST_SERVICE,
    policy: options.policy,
    meanServiceMs: SERVICE_MS,
    seed: options.seed,
  });
  try {
    const [throughEntry, direct] = await Promise.all([
      runPath(cluster, { ...options, folder, isDirect: false }),
      runPath(cluster, { ...options, folder, isDirect: true }),
    ]);
    const [usage] = await cluster.usages();
    return {
      throughEntry,
      direct,
      addedP50Ms: throughEntry.p50Ms - direct.p50Ms,
      addedP99Ms: throughEntry.p99Ms - direct.p99Ms,
      entryCpuMsPerRequest: usage!.cpuMs / usage!.requests,
      entryResidentBytes: usage!.residentBytes,
      loopDelayP99Ms: usage!.loopDelayP99Ms,
    };
  } finally {
    await cluster.stop();
    fs.rmSync(folder, { recursive: true });
  }
}

async function runPath(
  cluster: BenchCluster,
  options: BenchCostOptions & {
    readonly folder: string;
    readonly isDirect: boolean;
  },
): Promise<CostLatency> {
  const { isDirect, folder, durationMs, requestsPerSecond, seed } = options;
  const label = isDirect ? "direct" : "entry";
  const resultFile = path.join(folder, `${label}.json`);
  await cluster.runCaller({
    origins: isDirect ? cluster.backendOrigins : cluster.callerOrigins,
    path: isDirect ? "/serve/bench" : `/s/${COST_SERVICE.name}/bench`,
    method: "POST",
    withRequestId: isDirect,
    streams: [{
      caller: label,
      requestsPerSecond,
      fromMs: 0,
      toMs: WARM_UP_MS + durationMs,
    }],
    timeoutMs: TIMEOUT_MS,
    clientDelayMs: 0,
    warmUpMs: WARM_UP_MS,
    label,
    seed,
    resultFile,
  });
  return latencyOf(
    JSON.parse(fs.readFileSync(resultFile, "utf8")) as OperationResult[],
  );
}

function latencyOf(results: readonly OperationResult[]): CostLatency {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  const answered = results.filter(({ outcome, isCounted }) =>
    isCounted && outcome === "answered"
  );
  for (const { latencyMs } of answered) {
    histogram.recordValue(Math.round(latencyMs * 1000));
  }
  return {
    answered: answered.length,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000,
  };
}
