/**
 * Another writer registers an endpoint whose address is no IP address, in a
 * service that is divided by key, and takes the entry back. The platform starts
 * processes again that have ended.
 */
import * as url from "node:url";
import { HOST, runCase, sleep } from "../common/deployment.mjs";

const MACHINES = 4;
const CLIENTS_PER_MACHINE = 6;
/** How long the entry stays in the store, and clients go on after that. */
const ENTRY_MS = 20_000;
const AFTER_MS = 15_000;
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
    service: "huvo11a",
    attempts: 2,
  }],
  services: [{
    name: "huvo11a",
    healthPath: "/health",
    maxConns: 110,
    protocol: "h1",
    tls: false,
    shardEnabled: true,
    warm: 3,
    grants: "invoke",
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
    const endpoint = await deployment.addEndpoint({
      service: "huvo11a",
      isKeyed: true,
      workMs: 30,
    });
    endpoint.register();
  }
  for (const machine of deployment.machines) deployment.startMachine(machine);
  await deployment.waitReady();
  await sleep(5_000);
  const endMs = record.nowMs + ENTRY_MS + AFTER_MS;
  const statuses = new Map();
  let removedMs = Number.POSITIVE_INFINITY;
  const writer = async () => {
    if (!hasTrouble) return;
    record.note("another writer registers i-00000000");
    store.put("servers", "i-00000000", {
      spec: {
        service: "huvo11a",
        addr: "127.0.0.256:8080",
        zone: "plateau",
        version: "v1",
        maxConcurrency: 3,
        born: Date.now(),
      },
      status: { state: "ready", warmupLeft: 0, sequence: 1 },
    });
    await sleep(ENTRY_MS);
    removedMs = record.nowMs;
    record.note("the entry i-00000000 is removed");
    store.remove("servers", "i-00000000");
  };
  const clients = deployment.machines.flatMap((machine) =>
    Array.from({ length: CLIENTS_PER_MACHINE }, async () => {
      while (record.nowMs < endMs) {
        const { status } = await deployment.request(machine, {
          target: "/lepu270/a",
          key: Math.floor(Math.random() * 65_536),
        });
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        await sleep(50);
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
  await Promise.all([writer(), ...clients, ...platform]);
  console.log("answers by status:", Object.fromEntries(statuses));
  const ended = deployment.machines.filter(({ ends }) =>
    ends.length >= MAX_ENDS
  );
  if (ended.length < MAX_MACHINES) return [];
  return ended.map(({ name, ends }) => {
    const later = ends.filter(({ atMs }) => atMs > removedMs + 3_000).length;
    return `the process of ${name} ended by itself ${ends.length} times, ` +
      `${later} of them over 3 s after the entry was removed`;
  });
}

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), play);
