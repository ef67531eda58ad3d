/** Runs one scenario with one policy and measures it. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as serve from "../http/serve.ts";
import * as standIns from "../processes/stand_ins.ts";
import { BenchCluster } from "./bench_cluster.ts";
import { computeRunFigures, type RunFigures } from "./bench_figures.ts";
import type { LoadStream, OperationResult } from "./bench_messages.ts";
import type { BenchScenario, BenchService } from "./bench_scenarios.ts";

/** Options of {@link benchRun}. */
export interface BenchRunOptions {
  readonly scenario: BenchScenario;
  readonly policy: string;
  readonly durationMs: number;
  readonly meanServiceMs: number;
  /** Factor for deadlines and network delays. */
  readonly timeScale: number;
  /** Measured mean run time of the stand-in servers, if known. */
  readonly realServiceMs?: number;
  readonly method: "GET" | "POST";
  readonly seed: number;
  readonly profileFolder?: string;
}

/** Result of one run: one row of the table. */
export interface BenchResult {
  readonly service: string;
  readonly scenario: string;
  readonly policy: string;
  readonly load: number;
  /** Requests a second that the servers can process. */
  readonly capacityPerSecond: number;
  readonly figures: RunFigures;
}

const WARM_UP_MS = 5000;
const TIMEOUT_MS = 1000;
/** Mean lateness of Node's timers; it lengthens every run at a server. */
const TIMER_LATENESS_MS = 0.7;
/** Faults last for the middle third of the measured time. */
const FAULT_PARTS = 3;

/**
 * Runs one scenario with one policy. Errors: rejects if a process doesn't start
 * or a caller fails.
 */
export async function benchRun(
  unscaled: BenchService,
  options: BenchRunOptions,
): Promise<BenchResult> {
  const service = scaleDelays(unscaled, options.timeScale);
  const { scenario, policy, meanServiceMs, seed } = options;
  const realMs = options.realServiceMs ?? meanServiceMs + TIMER_LATENESS_MS;
  const capacity = service.servers * service.slots * 1000 / realMs;
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "guavatide-bench-"));
  const resultFile = path.join(folder, "results.json");
  const cluster = await BenchCluster.start({
    service,
    policy,
    meanServiceMs,
    seed,
    profileFolder: options.profileFolder,
  });
  try {
    const fault = injectFault(cluster, options);
    const usagesBefore = serve.delay(WARM_UP_MS).then(() => cluster.usages());
    await cluster.runCaller({
      origins: cluster.callerOrigins,
      path: `/s/${service.name}/bench`,
      method: options.method,
      withRequestId: false,
      streams: streamsOf(scenario, {
        capacity,
        durationMs: options.durationMs,
      }),
      timeoutMs: TIMEOUT_MS * options.timeScale,
      clientDelayMs: service.clientDelayMs,
      warmUpMs: WARM_UP_MS,
      label: "op",
      seed,
      resultFile,
    });
    await fault;
    const results = JSON.parse(
      fs.readFileSync(resultFile, "utf8"),
    ) as OperationResult[];
    const figures = computeRunFigures(results, {
      countedMs: options.durationMs,
      journal: await cluster.journals(),
      usagesBefore: await usagesBefore,
      usages: await cluster.usages(),
      isIdempotent: options.method === "GET",
    });
    return {
      service: service.name,
      scenario: scenario.name,
      policy,
      load: scenario.load,
      capacityPerSecond: capacity,
      figures,
    };
  } finally {
    await cluster.stop();
    fs.rmSync(folder, { recursive: true });
  }
}

function scaleDelays(service: BenchService, timeScale: number): BenchService {
  return {
    ...service,
    linkDelayMs: service.linkDelayMs * timeScale,
    clientDelayMs: service.clientDelayMs * timeScale,
  };
}

function streamsOf(
  scenario: BenchScenario,
  options: { readonly capacity: number; readonly durationMs: number },
): LoadStream[] {
  const { capacity, durationMs } = options;
  const thirdMs = durationMs / FAULT_PARTS;
  const streams: LoadStream[] = [{
    caller: "ordinary",
    requestsPerSecond: scenario.load * capacity,
    fromMs: 0,
    toMs: WARM_UP_MS + durationMs,
  }];
  if (scenario.burst > 0) {
    streams.push({
      caller: "anchor",
      requestsPerSecond: scenario.burst * capacity,
      fromMs: WARM_UP_MS + thirdMs,
      toMs: WARM_UP_MS + 2 * thirdMs,
    });
  }
  return streams;
}

async function injectFault(
  cluster: BenchCluster,
  options: BenchRunOptions,
): Promise<void> {
  const thirdMs = options.durationMs / FAULT_PARTS;
  const [first] = cluster.backends;
  switch (options.scenario.fault) {
    case "none":
      return;
    case "slow":
      await serve.delay(WARM_UP_MS + thirdMs);
      await setBackendFault(cluster.backendOrigins[0]!, { slowFactor: 5 });
      await serve.delay(thirdMs);
      await setBackendFault(cluster.backendOrigins[0]!, { slowFactor: 1 });
      return;
    case "cold":
      await serve.delay(WARM_UP_MS + thirdMs);
      await cluster.restartCold(0);
      return;
    case "lagging-reports":
      await Promise.all(
        cluster.backendOrigins.map((origin) =>
          setBackendFault(origin, { load: { inFlight: 0, healthy: true } })
        ),
      );
      return;
    case "frozen":
      return await freeze([first!.program], thirdMs);
    case "zone-cut":
      return await freeze(
        cluster.backends.filter(({ zone }) => zone === first!.zone)
          .map(({ program }) => program),
        thirdMs,
      );
    case "frozen-entry":
      return await freeze([await busiestEntry(cluster)], thirdMs);
  }
}

interface Freezable {
  freeze(): void;
  wake(): void;
}

async function freeze(
  programs: readonly Freezable[],
  thirdMs: number,
): Promise<void> {
  await serve.delay(WARM_UP_MS + thirdMs);
  for (const program of programs) program.freeze();
  await serve.delay(thirdMs);
  for (const program of programs) program.wake();
}

/** Entry VM with the most processor time: the dispatcher, if there is one. */
async function busiestEntry(cluster: BenchCluster): Promise<Freezable> {
  await serve.delay(WARM_UP_MS / 2);
  const usages = await cluster.usages();
  const most = Math.max(...usages.map((usage) => usage.cpuMs));
  const index = usages.findIndex((usage) => usage.cpuMs === most);
  return cluster.entries[index]!;
}

async function setBackendFault(origin: string, fault: object): Promise<void> {
  await standIns.postJson(`${origin}/faults`, fault);
}
