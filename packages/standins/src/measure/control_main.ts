/**
 * Measures the control plane's cost for each idle entry process, without
 * callers, at several numbers of real processes: bytes read and written,
 * processor time, memory, store calls. Run by `npm run measure:control`; the
 * last line is JSON.
 *
 * Bytes are those that the process reads and writes by system calls, without
 * TCP and IP headers. They include its log, which only has errors here.
 */
import * as util from "node:util";
import * as plans from "../deployment/deployment_plan.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";
import * as processes from "../processes/mod.ts";
import { type ProcessUsage, readProcessUsage } from "./process_use.ts";

/** Cost for one number of entry processes, as a mean over them. */
interface ControlCost {
  readonly entryProcesses: number;
  readonly servers: number;
  readonly readBytesPerSecond: number;
  readonly writtenBytesPerSecond: number;
  readonly corePercent: number;
  readonly residentMb: number;
  /** Of all entry processes together. */
  readonly storeCallsPerSecond: number;
  /** Highest resident memory of any of them. */
  readonly largestResidentMb: number;
}

const SETTLE_MS = 15_000;
const HELP = `usage: npm run measure:control -- [options]
  --sizes LIST    entry processes (default 3,9,18,36)
  --servers LIST  servers of each service (default 0,10)
  --seconds N     length of each measurement (default 20)
  --help          this text`;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Store calls so far, as the stand-in for the store counts them. */
async function storeCalls(deployment: LocalDeployment): Promise<number> {
  const counters = await processes.getJson(`${deployment.storeUrl}/counters`);
  return Object.values(counters as Record<string, number>)
    .reduce((sum, count) => sum + count, 0);
}

async function measure(
  entryProcesses: number,
  servers: number,
  seconds: number,
): Promise<ControlCost> {
  const plan = plans.scalePlan(plans.KAYFA, {
    entryVms: 1,
    maxServersPerService: servers,
  });
  const deployment = await LocalDeployment.start({
    plan,
    entrySettings: { log: { format: "text", level: "error" } },
  });
  try {
    // One at a time: many processes that start at once on a busy machine would
    // exceed the deadline for their ready line.
    for (let i = 1; i < entryProcesses; i++) {
      const zone = plan.zones[i % plan.zones.length]!;
      await deployment.startEntry(`entry-${i + 1}`, zone);
    }
    await wait(SETTLE_MS);
    return await measureAtRest(deployment, seconds);
  } finally {
    await deployment.stop();
  }
}

async function measureAtRest(
  deployment: LocalDeployment,
  seconds: number,
): Promise<ControlCost> {
  const pids = [...deployment.entries.values()].map((e) => e.program.pid);
  const before = pids.map(readProcessUsage);
  const callsBefore = await storeCalls(deployment);
  const startMs = performance.now();
  await wait(seconds * 1000);
  const elapsedS = (performance.now() - startMs) / 1000;
  const calls = await storeCalls(deployment) - callsBefore;
  const after = pids.map(readProcessUsage);
  const rate = (pick: (usage: ProcessUsage) => number) => {
    const sum = after.reduce(
      (total, usage, index) => total + pick(usage) - pick(before[index]!),
      0,
    );
    return sum / pids.length / elapsedS;
  };
  const resident = after.map(({ residentMb }) => residentMb);
  return {
    entryProcesses: pids.length,
    servers: deployment.servers.size,
    readBytesPerSecond: Math.round(rate((usage) => usage.readBytes)),
    writtenBytesPerSecond: Math.round(rate((usage) => usage.writtenBytes)),
    corePercent: Number((100 * rate((usage) => usage.processorS)).toFixed(2)),
    residentMb: Math.round(
      resident.reduce((sum, mb) => sum + mb, 0) / resident.length,
    ),
    largestResidentMb: Math.round(Math.max(...resident)),
    storeCallsPerSecond: Number((calls / elapsedS).toFixed(2)),
  };
}

async function main(): Promise<void> {
  const { values } = util.parseArgs({
    options: {
      sizes: { type: "string", default: "3,9,18,36" },
      servers: { type: "string", default: "0,10" },
      seconds: { type: "string", default: "20" },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) return console.log(HELP);
  const costs: ControlCost[] = [];
  for (const servers of values.servers.split(",").map(Number)) {
    for (const size of values.sizes.split(",").map(Number)) {
      const cost = await measure(size, servers, Number(values.seconds));
      console.log(JSON.stringify(cost));
      costs.push(cost);
    }
  }
  console.table(costs);
  console.log(JSON.stringify(costs));
}

await main();
