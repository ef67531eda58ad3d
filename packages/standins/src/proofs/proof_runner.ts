/** Runs scenarios, each in a deployment of its own, and tells the verdicts. */
import { ProofCluster } from "./proof_cluster.ts";
import type { ProofScenario } from "./proof_scenario.ts";
import { countViolations } from "./violations.ts";

/** What one run of a scenario showed. */
export interface ProofRun {
  readonly scenario: ProofScenario;
  readonly requests: number;
  /** Answered requests among them. */
  readonly answered: number;
  /** Each with the name of what was violated. */
  readonly violations: readonly string[];
  /** Set when the run did not come to its end. */
  readonly failure: string | undefined;
}

/** Runs one scenario once. */
export async function runScenario(scenario: ProofScenario): Promise<ProofRun> {
  let cluster: ProofCluster | undefined;
  let failure: string | undefined;
  let violations: string[] = [];
  let requests = 0;
  let answered = 0;
  try {
    cluster = await ProofCluster.start(scenario.cluster);
    try {
      violations = [...await scenario.run(cluster)];
    } catch (error) {
      failure = String(error);
    }
    const evidence = await cluster.finish();
    requests = evidence.records.length;
    answered = evidence.records
      .filter((record) => record.outcome === "answered").length;
    for (const [kind, found] of Object.entries(countViolations(evidence))) {
      for (const example of found) violations.push(`${kind}: ${example}`);
    }
  } catch (error) {
    failure = String(error);
  } finally {
    await cluster?.stop();
  }
  return { scenario, requests, answered, violations, failure };
}

/** Options of {@link runScenarios}. */
export interface RunScenariosOptions {
  readonly runs: number;
  /** Deployments that run at the same time. */
  readonly atOnce: number;
  readonly onRun: (run: ProofRun) => void;
}

/** Runs every scenario some times. */
export async function runScenarios(
  scenarios: readonly ProofScenario[],
  options: RunScenariosOptions,
): Promise<ProofRun[]> {
  const waiting = scenarios.flatMap((scenario) =>
    Array.from({ length: options.runs }, () => scenario)
  );
  const done: ProofRun[] = [];
  async function work(): Promise<void> {
    for (let next = waiting.shift(); next !== undefined;) {
      const run = await runScenario(next);
      done.push(run);
      options.onRun(run);
      next = waiting.shift();
    }
  }
  await Promise.all(Array.from({ length: options.atOnce }, work));
  return done;
}
