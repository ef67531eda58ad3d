/**
 * Measures how long a published cost split takes to be in force at every entry
 * VM, with each VM in its own process: from the response to the publish call
 * until every VM reports the revision. Before each publish, two operators edit
 * the same version of the object; exactly one of them must get a conflict.
 * Prints one JSON line.
 *
 * Options and defaults: `--vms 9`, `--publishes 20`. `--store-away` makes the
 * store unavailable after each accepted publish. `--zones 0` replaces the zones
 * by so many zones of 4 KB each, so that the configuration exceeds the store's
 * limit for one value.
 */
import * as hdr from "hdr-histogram-js";
import * as timers from "node:timers/promises";
import * as util from "node:util";
import * as plans from "../deployment/deployment_plan.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";
import * as processes from "../processes/mod.ts";
import { OperatorClient, tokenSettings } from "./operator_client.ts";

const TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 5;
const SPLIT_PATH = "/v1/objects/cost-share/availability-split";

/** Region name that makes each zone object 4 KB long. */
const LONG_REGION = "r".repeat(4000);

const { values } = util.parseArgs({
  options: {
    "vms": { type: "string", default: "9" },
    "publishes": { type: "string", default: "20" },
    "zones": { type: "string", default: "0" },
    "store-away": { type: "boolean", default: false },
  },
});
const entryVms = Number(values.vms);
const publishes = Number(values.publishes);
const zones = Number(values.zones);
const isStoreAway = values["store-away"];

async function main(): Promise<void> {
  const plan = plans.scalePlan(plans.KAYFA, {
    entryVms,
    maxServersPerService: 1,
  });
  const deployment = await LocalDeployment.start({
    plan: zones === 0 ? plan : {
      ...plan,
      region: LONG_REGION,
      zones: Array.from({ length: zones }, (_, index) => `zone-${index}`),
    },
    entrySettings: {
      region: "dakar",
      administration: {
        tokens: [tokenSettings("ana", "*"), tokenSettings("blas", "*")],
      },
      log: { format: "json", level: "warn" },
    },
  });
  try {
    process.stdout.write(`${JSON.stringify(await measure(deployment))}\n`);
  } finally {
    await deployment.stop();
  }
}

async function measure(deployment: LocalDeployment): Promise<object> {
  const origins = [...deployment.entries.values()]
    .map((entry) => processes.originOf(entry.ports.administration));
  const operators = origins.map((origin) => new OperatorClient("ana", origin));
  await waitUntilInForce(operators, 1);
  await createGuestPartner(operators[0]!);
  const delaysMs = hdr.build({ numberOfSignificantValueDigits: 3 });
  const conflicts: number[] = [];
  for (let round = 0; round < publishes; round++) {
    const ana = operators[round % operators.length]!;
    const blas = new OperatorClient(
      "blas",
      origins[(round + 1) % origins.length]!,
    );
    conflicts.push(await raceEdits(ana, blas, round));
    const revision = await ana.publish();
    const acceptedMs = performance.now();
    if (isStoreAway) await deployment.setFaults("store", { outage: "refuse" });
    await waitUntilInForce(operators, revision);
    delaysMs.recordValue(Math.ceil(performance.now() - acceptedMs));
    if (isStoreAway) await deployment.setFaults("store", { outage: "none" });
  }
  return {
    entryVms,
    publishes,
    zones,
    isStoreAway,
    roundsWithOneConflict: conflicts.filter((count) => count === 1).length,
    inForceEverywhereMs: {
      p50: delaysMs.getValueAtPercentile(50),
      p99: delaysMs.getValueAtPercentile(99),
      max: delaysMs.maxValue,
    },
  };
}

/** Creates the second partner of the split. */
async function createGuestPartner(operator: OperatorClient): Promise<void> {
  const body = { requestsPerSecond: 100, burstRequests: 10 };
  await operator.call("PUT", "/v1/objects/partner/guest", {
    body,
    onlyIfAbsent: true,
  });
}

/** Lets both operators edit the same version; returns the number of conflicts. */
async function raceEdits(
  ana: OperatorClient,
  blas: OperatorClient,
  round: number,
): Promise<number> {
  const { etag, body } = await ana.call("GET", SPLIT_PATH);
  const responses = await Promise.all(
    [ana, blas].map((operator, index) =>
      operator.call("PUT", SPLIT_PATH, {
        ifMatch: etag,
        body: { ...body.object, shares: sharesOf(round, index) },
      })
    ),
  );
  return responses.filter((response) => response.status === 412).length;
}

/** Shares that differ from those of the last round and of the other editor. */
function sharesOf(round: number, editor: number): object[] {
  const percent = 1 + (2 * round + editor) % 99;
  const parts = [{ partner: "kayfa", percent: 100 - percent }];
  return [...parts, { partner: "guest", percent }];
}

async function waitUntilInForce(
  operators: readonly OperatorClient[],
  revision: number,
): Promise<void> {
  await Promise.all(operators.map(async (operator) => {
    const endMs = performance.now() + TIMEOUT_MS;
    while (true) {
      const { body } = await operator.call("GET", "/v1/vms");
      if (body.vms[0].revision >= revision) return;
      if (performance.now() > endMs) throw new Error("Not in force in time");
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }));
}

await main();
