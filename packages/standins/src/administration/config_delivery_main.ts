/**
 * Measures how long an accepted cost split takes to be in force at every entry
 * VM, on separate processes: from the publisher's answer until each VM names
 * the revision. Two partners race on each edit first; exactly one must be told
 * of the conflict. Prints one JSON line.
 *
 * --vms 9, --publishes 20, --store-away to cut the store off right after each
 * publish is accepted, --zones 0 for so many more places of 4 KB each, to go
 * over the store's limit for one value.
 */
import * as hdr from "hdr-histogram-js";
import * as timers from "node:timers/promises";
import * as util from "node:util";
import * as plans from "../deployment/deployment_plan.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";
import * as processes from "../processes/mod.ts";
import { OperatorClient, tokenSettings } from "./operator_client.ts";

const DEADLINE_MS = 20_000;
const POLL_MS = 5;
const SPLIT = "/v1/objects/cost-share/availability-split";

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
  const watchers = origins.map((origin) => new OperatorClient("ana", origin));
  await untilInForce(watchers, 1);
  await createGuest(watchers[0]!);
  const everywhere = hdr.build({ numberOfSignificantValueDigits: 3 });
  const conflicts: number[] = [];
  for (let round = 0; round < publishes; round++) {
    const ana = watchers[round % watchers.length]!;
    const blas = new OperatorClient(
      "blas",
      origins[(round + 1) % origins.length]!,
    );
    conflicts.push(await race(ana, blas, round));
    const revision = await ana.publish();
    const acceptedMs = performance.now();
    if (isStoreAway) await deployment.setFaults("store", { outage: "refuse" });
    await untilInForce(watchers, revision);
    everywhere.recordValue(Math.ceil(performance.now() - acceptedMs));
    if (isStoreAway) await deployment.setFaults("store", { outage: "none" });
  }
  return {
    entryVms,
    publishes,
    zones,
    isStoreAway,
    roundsWithOneConflict: conflicts.filter((count) => count === 1).length,
    inForceEverywhereMs: {
      p50: everywhere.getValueAtPercentile(50),
      p99: everywhere.getValueAtPercentile(99),
      max: everywhere.maxValue,
    },
  };
}

/** The second partner of the split. */
async function createGuest(operator: OperatorClient): Promise<void> {
  const body = { requestsPerSecond: 100, burstRequests: 10 };
  await operator.call("PUT", "/v1/objects/partner/guest", {
    body,
    onlyIfAbsent: true,
  });
}

/** Both edit the version they have seen; returns how many were refused. */
async function race(
  ana: OperatorClient,
  blas: OperatorClient,
  round: number,
): Promise<number> {
  const { etag, body } = await ana.call("GET", SPLIT);
  const answers = await Promise.all(
    [ana, blas].map((operator, index) =>
      operator.call("PUT", SPLIT, {
        ifMatch: etag,
        body: { ...body.object, shares: sharesOf(round, index) },
      })
    ),
  );
  return answers.filter((answer) => answer.status === 412).length;
}

/** A split that differs from the last round's and from the other editor's. */
function sharesOf(round: number, editor: number): object[] {
  const percent = 1 + (2 * round + editor) % 99;
  const parts = [{ partner: "kayfa", percent: 100 - percent }];
  return [...parts, { partner: "guest", percent }];
}

async function untilInForce(
  watchers: readonly OperatorClient[],
  revision: number,
): Promise<void> {
  await Promise.all(watchers.map(async (watcher) => {
    const until = performance.now() + DEADLINE_MS;
    while (true) {
      const { body } = await watcher.call("GET", "/v1/vms");
      if (body.vms[0].revision >= revision) return;
      if (performance.now() > until) throw new Error("Not in force in time");
      await timers.setTimeout(POLL_MS);
    }
  }));
}

await main();
