/**
 * A few of the failure proofs, with real processes, as tests; `npm run proofs`
 * runs all. Results depend on journals and records alone, and each wait has a
 * deadline far longer than what it waits for.
 */
import { expect } from "earl";
import { test } from "node:test";
import { OWNERSHIP_SCENARIOS } from "./ownership_scenarios.ts";
import { POISON_SCENARIOS } from "./poison_scenarios.ts";
import { runScenario } from "./proof_runner.ts";
import { SHUTDOWN_SCENARIOS } from "./shutdown_scenarios.ts";

const KEPT = [
  "owner-frozen",
  "server-stopped-keyed",
  "poison-request-repeated",
];
const SCENARIOS = [
  ...OWNERSHIP_SCENARIOS,
  ...SHUTDOWN_SCENARIOS,
  ...POISON_SCENARIOS,
];

for (const name of KEPT) {
  const scenario = SCENARIOS.find((candidate) => candidate.name === name)!;
  test(`proof: should hold "${scenario.invariant}", ${name}`, async () => {
    const run = await runScenario(scenario);
    expect(run.failure).toEqual(undefined);
    expect(run.violations).toEqual([]);
  });
}
