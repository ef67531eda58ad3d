/**
 * Compares placement strategies on the same seeded traces, and measures the
 * planner's cost. `npm run measure:placement -- --help` lists the options. The
 * last line is the whole result as JSON.
 */
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";
import * as util from "node:util";
import * as cost from "./placement/planner_cost.ts";
import type * as trace from "./placement/trace.ts";
import * as simulation from "./placement/simulation.ts";
import * as strategies from "./placement/strategies.ts";

const DEPLOYMENTS: readonly (trace.Deployment & { option: string })[] = [
  {
    option: "kayfa",
    name: "Kayfa availability",
    servers: 10,
    zones: 4,
    slotsPerServer: 3,
    workMs: 20,
  },
  {
    option: "bitacora",
    name: "Bitácora chromatography",
    servers: 12,
    zones: 3,
    slotsPerServer: 2,
    workMs: 40,
  },
];

const WEIGHTS = [
  { name: "planner, imbalance 4 churn 1", imbalanceWeight: 4, churnWeight: 1 },
  { name: "planner, imbalance 1 churn 1", imbalanceWeight: 1, churnWeight: 1 },
  { name: "planner, imbalance 1 churn 4", imbalanceWeight: 1, churnWeight: 4 },
] as const;

const HELP = `usage: npm run measure:placement -- [options]
  --seeds N   traces, one for each seed (default 3)
  --hours N   length of each trace (default 4)
  --keys N    keys of the service (default 20000)
  --only W    only "cost" (the planner's own time and memory) or the trials
              of "kayfa" or "bitacora"
  --help      this text`;

const COST_SERVER_COUNTS = [10, 100, 1000, 7900];
const HOT_KEYS = 290;

/** One row of the table, with a result for each seed. */
interface Row {
  readonly deployment: string;
  readonly way: string;
  readonly results: readonly simulation.SimulationResult[];
}

function makeStrategies(
  load: trace.KeyLoad,
  hasher: ownership.KeyHasher,
  deployment: trace.Deployment,
): strategies.PlacementStrategy[] {
  const { lossWaitMs } = simulation.ownershipWaits(deployment.workMs);
  return [
    new strategies.StaticHash(load.hashes),
    new strategies.HashRing(load.hashes, hasher),
    ...WEIGHTS.map(({ name, imbalanceWeight, churnWeight }) =>
      new strategies.PlannerStrategy({
        name,
        hashes: load.hashes,
        settings: {
          ...placement.DEFAULT_PLACEMENT,
          imbalanceWeight,
          churnWeight,
        },
        entryVms: 9,
        lossWaitMs,
      })
    ),
  ];
}

function runDeployment(
  deployment: trace.Deployment,
  hasher: ownership.KeyHasher,
  options: { seeds: number; hours: number; keys: number },
): Row[] {
  const rows: Row[] = [];
  for (let index = 0; index < 2 + WEIGHTS.length; index++) {
    const results = Array.from(
      { length: options.seeds },
      (_, seed) =>
        new simulation.Simulation({
          deployment,
          hasher,
          trace: {
            seed: seed + 1,
            durationS: options.hours * 3600,
            keys: options.keys,
            zipfExponent: 0.9,
            utilisation: 0.6,
            hotKeyShiftIntervalS: 240,
            hotKeysShifted: 3,
          },
          makeStrategy: (load) =>
            makeStrategies(load, hasher, deployment)[index]!,
        }).run(),
    );
    rows.push({ deployment: deployment.name, way: results[0]!.way, results });
  }
  return rows;
}

function printRows(rows: readonly Row[]): void {
  console.table(rows.map(({ deployment, way, results }) => {
    const mean = (pick: (result: simulation.SimulationResult) => number) =>
      simulation.meanOf(results.map(pick));
    return {
      deployment,
      way,
      "max/mean": mean((r) => r.imbalanceMean).toFixed(2),
      "p99 max/mean": mean((r) => r.imbalanceP99).toFixed(2),
      CV: mean((r) => r.variationMean).toFixed(3),
      "over capacity %": (100 * mean((r) => r.overloadShare)).toFixed(2),
      "keys moved/event": mean((r) => r.keysMoved / r.serverEvents).toFixed(0),
      "keys moved/h": mean((r) => r.keysMoved / r.hours).toFixed(0),
      "of which forced": mean((r) => r.keysMovedOffServers / r.hours)
        .toFixed(0),
      "key-s unserved/h": mean((r) => r.unavailableKeySeconds / r.hours)
        .toFixed(0),
      "requests unserved ppm": (1e6 * mean((r) => r.unservedRequestShare))
        .toFixed(0),
    };
  }));
}

function measureCost(): cost.PlannerCost[] {
  return COST_SERVER_COUNTS.map((servers) =>
    cost.measurePlannerCost(servers, Math.min(HOT_KEYS, servers))
  );
}

async function main(): Promise<void> {
  const { values } = util.parseArgs({
    options: {
      seeds: { type: "string", default: "3" },
      hours: { type: "string", default: "4" },
      keys: { type: "string", default: "20000" },
      only: { type: "string", default: "" },
      help: { type: "boolean", default: false },
    },
  });
  if (values.help) return console.log(HELP);
  const options = {
    seeds: Number(values.seeds),
    hours: Number(values.hours),
    keys: Number(values.keys),
  };
  const hasher = await ownership.KeyHasher.create();
  const isSelected = (part: string) => [part, ""].includes(values.only);
  const costs = isSelected("cost") ? measureCost() : [];
  if (costs.length > 0) console.table(costs);
  const rows = DEPLOYMENTS
    .filter(({ option }) => isSelected(option))
    .flatMap((deployment) => runDeployment(deployment, hasher, options));
  if (rows.length > 0) printRows(rows);
  console.log(JSON.stringify({ options, costs, rows }));
}

await main();
