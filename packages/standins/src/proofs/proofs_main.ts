/**
 * Runs the failure proofs with real processes and prints a table. Optional
 * arguments: runs of each scenario, deployments at once, and words with commas
 * between, one of which a scenario's name must contain.
 */
import { CONFIG_SCENARIOS } from "./config_scenarios.ts";
import { LINK_SCENARIOS } from "./link_scenarios.ts";
import { OWNERSHIP_SCENARIOS } from "./ownership_scenarios.ts";
import { type ProofRun, runScenarios } from "./proof_runner.ts";
import { SHUTDOWN_SCENARIOS } from "./shutdown_scenarios.ts";
import { STORE_SCENARIOS } from "./store_scenarios.ts";

const RUNS = 1;
const AT_ONCE = 2;
const SHOWN_EXAMPLES = 3;

const ALL = [
  ...OWNERSHIP_SCENARIOS,
  ...STORE_SCENARIOS,
  ...SHUTDOWN_SCENARIOS,
  ...LINK_SCENARIOS,
  ...CONFIG_SCENARIOS,
];

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

function sayRun(run: ProofRun): void {
  const verdict = run.failure ?? `${run.violations.length} violations`;
  say(`${run.scenario.name}: ${run.requests} requests, ${verdict}`);
  for (const example of run.violations.slice(0, SHOWN_EXAMPLES)) {
    say(`  ${example}`);
  }
}

function sayTable(runs: readonly ProofRun[]): void {
  say("| invariant | fault | runs | requests | violations | unfinished |");
  say("| --- | --- | --- | --- | --- | --- |");
  for (const scenario of ALL) {
    const own = runs.filter((run) => run.scenario === scenario);
    if (own.length === 0) continue;
    const cells = [
      scenario.invariant,
      scenario.fault,
      own.length,
      own.reduce((sum, run) => sum + run.requests, 0),
      own.reduce((sum, run) => sum + run.violations.length, 0),
      own.filter((run) => run.failure !== undefined).length,
    ];
    say(`| ${cells.join(" | ")} |`);
  }
}

async function main(): Promise<void> {
  const [runs, atOnce, words] = process.argv.slice(2);
  const chosen = ALL.filter((scenario) =>
    (words ?? "").split(",").some((word) => scenario.name.includes(word))
  );
  const done = await runScenarios(chosen, {
    runs: Number(runs ?? RUNS),
    atOnce: Number(atOnce ?? AT_ONCE),
    onRun: sayRun,
  });
  sayTable(done);
  const bad = done.filter((run) =>
    run.violations.length > 0 || run.failure !== undefined
  );
  say(`${done.length} runs, ${bad.length} with a violation or unfinished`);
  process.exitCode = bad.length === 0 ? 0 : 1;
}

await main();
// Idle connections of the harness would hold the process.
process.exit();
