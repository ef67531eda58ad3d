/** Runs scenarios, each in its own deployment, and returns the results. */
import { ProofCluster } from "./proof_cluster.ts";
import type { ProofScenario } from "./proof_scenario.ts";
import { countViolations } from "./violations.ts";

/** Result of one run of a scenario. */
export interface ProofRun {
  readonly scenario: ProofScenario;
  readonly requests: number;
  /** Answered requests among them. */
  readonly answered: number;
  /** Each starts with the kind of violation. */
  readonly violations: readonly string[];
  /** Error that ended the run early; undefined when it completed. */
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
    const observations = await cluster.finish();
    requests = observations.records.length;
    answered = observations.records
      .filter((record) => record.outcome === "answered").length;
    for (const [kind, found] of Object.entries(countViolations(observations))) {
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
  /** Number of deployments that run at the same time. */
  readonly concurrency: number;
  readonly onRun: (run: ProofRun) => void;
}

/** Runs every scenario `runs` times. */
export async function runScenarios(
  scenarios: readonly ProofScenario[],
  options: RunScenariosOptions,
): Promise<ProofRun[]> {
  const pending = scenarios.flatMap((scenario) =>
    Array.from({ length: options.runs }, () => scenario)
  );
  const done: ProofRun[] = [];
  async function work(): Promise<void> {
    for (let next = pending.shift(); next !== undefined;) {
      const run = await runScenario(next);
      done.push(run);
      options.onRun(run);
      next = pending.shift();
    }
  }
  await Promise.all(Array.from({ length: options.concurrency }, work));
  return done;
}
