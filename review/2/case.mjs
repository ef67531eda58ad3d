/**
 * Another writer registers an endpoint whose address has a port that can't
 * exist. The platform starts processes again that have ended.
 */
import * as url from "node:url";
import { HOST, runCase, sleep } from "../common/deployment.mjs";

const MACHINES = 4;
const LOAD_MS = 45_000;
const CLIENTS_PER_MACHINE = 10;
/** A process that exits "is restarted after a short delay". */
const RESTART_DELAY_MS = 500;
/** "three times in the day", on "a tenth of the machines in use (two at least)". */
const MAX_ENDS = 3;
const MAX_MACHINES = Math.max(2, Math.ceil(MACHINES / 10));

const config = {
  version: 7,
  routes: [{
    name: "r-1",
    host: HOST,
    prefix: "/lepu270/",
    kind: "safe",
    timeout: 1_000,
    targetLatency: 300,
    priority: 2,
    service: "kafi81c",
    attempts: 2,
  }],
  services: [{
    name: "kafi81c",
    healthPath: "/health",
    maxConns: 110,
    protocol: "h1",
    tls: false,
  }],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 67_108_864,
    header: 3_000,
    idle: 15_000,
  },
};

async function play(deployment, hasTrouble) {
  const { store, record } = deployment;
  await deployment.start({ machines: MACHINES });
  deployment.writeConfig(config);
  for (let index = 0; index < 10; index++) {
    const endpoint = await deployment.addEndpoint({ service: "kafi81c" });
    endpoint.register();
  }
  for (const machine of deployment.machines) deployment.startMachine(machine);
  await deployment.waitReady();
  await sleep(4_000);
  if (hasTrouble) {
    record.note("another writer registers i-00000000");
    store.put("servers", "i-00000000", {
      spec: {
        service: "kafi81c",
        addr: `${deployment.machines[0].host}:70000`,
        zone: "plateau",
        version: "v1",
        maxConcurrency: 3,
        born: Date.now(),
      },
      status: { state: "ready", warmupLeft: 0, sequence: 1 },
    });
  }
  const endMs = record.nowMs + LOAD_MS;
  const statuses = new Map();
  const clients = deployment.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, async () => {
      while (record.nowMs < endMs) {
        const { status } = await deployment.request(machine, {
          target: "/lepu270/a",
        });
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        await sleep(20);
      }
    })
  );
  const platform = deployment.machines.map(async (machine) => {
    while (record.nowMs < endMs) {
      if (machine.child === undefined) {
        await sleep(RESTART_DELAY_MS);
        deployment.startMachine(machine);
      }
      await sleep(20);
    }
  });
  await Promise.all([...clients, ...platform]);
  console.log("answers by status:", Object.fromEntries(statuses));
  const ended = deployment.machines.filter(({ ends }) =>
    ends.length >= MAX_ENDS
  );
  if (ended.length < MAX_MACHINES) return [];
  return ended.map(({ name, ends }) =>
    `the process of ${name} ended by itself ${ends.length} times, with ` +
    `code ${ends[0].code}`
  );
}

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), play);
