/**
 * Counts the calls that nine entry VMs make to the platform's store: at rest,
 * while a server is lost and returns, during an outage and in each second
 * after the store is back. The platform allows several hundred writes and
 * about two thousand reads a second.
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

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function countCalls(deployment: LocalDeployment): Promise<number> {
  const counters = await getJson(`${deployment.storeUrl}/counters`);
  return Object.values(counters as Record<string, number>)
    .reduce((sum, count) => sum + count, 0);
}

/** Calls a second over some time. */
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

async function sayPhase(
  name: string,
  deployment: LocalDeployment,
  timeMs: number,
): Promise<void> {
  const rate = await rateOver(deployment, timeMs);
  say(`| ${name} | ${rate.toFixed(1)} |`);
}

async function main(): Promise<void> {
  const deployment = await LocalDeployment.start({
    plan: plans.KAYFA,
    entrySettings: { log: { format: "text", level: "warn" } },
  });
  await timers.setTimeout(SETTLE_MS);
  say("| phase | store calls a second, 9 entry VMs together |");
  say("| --- | --- |");
  await sayPhase("at rest", deployment, PHASE_MS);
  const lost = deployment.servers.get("availability-1")!;
  lost.program.kill("SIGKILL");
  await sayPhase("a keyed server lost", deployment, PHASE_MS);
  await deployment.restartServer("availability-1");
  await sayPhase("it returns", deployment, PHASE_MS);
  await deployment.setFaults("store", { outage: "refuse" });
  await sayPhase("store down", deployment, OUTAGE_MS);
  await deployment.setFaults("store", { outage: "none" });
  for (let second = 1; second <= RECOVERY_SECONDS; second++) {
    await sayPhase(`second ${second} after its return`, deployment, SECOND_MS);
  }
  await deployment.stop();
}

await main();
// Idle connections of the harness would hold the process.
process.exit();
