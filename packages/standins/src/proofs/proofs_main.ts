/**
 * Runs the failure proofs with real processes and prints a table. Optional
 * arguments: runs of each scenario, number of concurrent deployments, and a
 * comma-separated list of name parts; a scenario runs if its name contains one.
 */
import { CONFIG_SCENARIOS } from "./config_scenarios.ts";
import { CONNECTION_SCENARIOS } from "./connection_scenarios.ts";
import { OWNERSHIP_SCENARIOS } from "./ownership_scenarios.ts";
import { POISON_SCENARIOS } from "./poison_scenarios.ts";
import { type ProofRun, runScenarios } from "./proof_runner.ts";
import { SHUTDOWN_SCENARIOS } from "./shutdown_scenarios.ts";
import { STORE_SCENARIOS } from "./store_scenarios.ts";

const RUNS = 1;
const CONCURRENT_DEPLOYMENTS = 2;
const SHOWN_EXAMPLES = 3;

const ALL = [
  ...OWNERSHIP_SCENARIOS,
  ...STORE_SCENARIOS,
  ...SHUTDOWN_SCENARIOS,
  ...CONNECTION_SCENARIOS,
  ...CONFIG_SCENARIOS,
  ...POISON_SCENARIOS,
];

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printRun(run: ProofRun): void {
  const verdict = run.failure ?? `${run.violations.length} violations`;
  printLine(`${run.scenario.name}: ${run.requests} requests, ${verdict}`);
  for (const example of run.violations.slice(0, SHOWN_EXAMPLES)) {
    printLine(`  ${example}`);
  }
}

function printTable(runs: readonly ProofRun[]): void {
  printLine(
    "| invariant | fault | runs | requests | violations | unfinished |",
  );
  printLine("| --- | --- | --- | --- | --- | --- |");
  for (const scenario of ALL) {
    const scenarioRuns = runs.filter((run) => run.scenario === scenario);
    if (scenarioRuns.length === 0) continue;
    const cells = [
      scenario.invariant,
      scenario.fault,
      scenarioRuns.length,
      scenarioRuns.reduce((sum, run) => sum + run.requests, 0),
      scenarioRuns.reduce((sum, run) => sum + run.violations.length, 0),
      scenarioRuns.filter((run) => run.failure !== undefined).length,
    ];
    printLine(`| ${cells.join(" | ")} |`);
  }
}

async function main(): Promise<void> {
  const [runs, concurrency, nameParts] = process.argv.slice(2);
  const chosen = ALL.filter((scenario) =>
    (nameParts ?? "").split(",").some((part) => scenario.name.includes(part))
  );
  const done = await runScenarios(chosen, {
    runs: Number(runs ?? RUNS),
    concurrency: Number(concurrency ?? CONCURRENT_DEPLOYMENTS),
    onRun: printRun,
  });
  printTable(done);
  const failed = done.filter((run) =>
    run.violations.length > 0 || run.failure !== undefined
  );
  printLine(
    `${done.length} runs, ${failed.length} with a violation or unfinished`,
  );
  process.exitCode = failed.length === 0 ? 0 : 1;
}

await main();
// Idle connections of the harness would keep the process alive.
process.exit();
