/**
 * Counts the calls of nine entry VMs to the platform's store: idle, while a
 * server fails and returns, during a store outage and in each second after it.
 * The platform allows several hundred writes and about two thousand reads a
 * second.
 */
import * as timers from "node:timers/promises";
import * as plans from "../deployment/deployment_plan.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";
import { getJson } from "../processes/mod.ts";

const SETTLE_MS = 10_000;
const PHASE_MS = 10_000;
const SECOND_MS = 1_000;
const OUTAGE_MS = 10_000;
const RECOVERY_SECONDS = 8;

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function countCalls(deployment: LocalDeployment): Promise<number> {
  const counters = await getJson(`${deployment.storeUrl}/counters`);
  return Object.values(counters as Record<string, number>)
    .reduce((sum, count) => sum + count, 0);
}

/** Mean calls per second over `timeMs`. */
async function rateOver(
  deployment: LocalDeployment,
  timeMs: number,
): Promise<number> {
  const before = await countCalls(deployment);
  const startMs = performance.now();
  await timers.setTimeout(timeMs);
  const calls = await countCalls(deployment) - before;
  return calls / (performance.now() - startMs) * SECOND_MS;
}

async function measurePhase(
  name: string,
  deployment: LocalDeployment,
  timeMs: number,
): Promise<void> {
  const rate = await rateOver(deployment, timeMs);
  printLine(`| ${name} | ${rate.toFixed(1)} |`);
}

async function main(): Promise<void> {
  const deployment = await LocalDeployment.start({
    plan: plans.KAYFA,
    entrySettings: { log: { format: "text", level: "warn" } },
  });
  await timers.setTimeout(SETTLE_MS);
  printLine("| phase | store calls a second, 9 entry VMs together |");
  printLine("| --- | --- |");
  await measurePhase("at rest", deployment, PHASE_MS);
  const server = deployment.servers.get("availability-1")!;
  server.program.kill("SIGKILL");
  await measurePhase("a keyed server lost", deployment, PHASE_MS);
  await deployment.restartServer("availability-1");
  await measurePhase("it returns", deployment, PHASE_MS);
  await deployment.setFaults("store", { outage: "refuse" });
  await measurePhase("store down", deployment, OUTAGE_MS);
  await deployment.setFaults("store", { outage: "none" });
  for (let second = 1; second <= RECOVERY_SECONDS; second++) {
    await measurePhase(
      `second ${second} after its return`,
      deployment,
      SECOND_MS,
    );
  }
  await deployment.stop();
}

await main();
// Idle connections of the harness would keep the process alive.
process.exit();
