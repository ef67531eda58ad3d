/**
 * A machine starts again while endpoints leave. Its list of servers takes two
 * pages, and the first comes from a replica that is behind.
 */
import * as url from "node:url";
import { BOUNDS, HOST, runCase, sleep } from "../common/deployment.mjs";

const ENDPOINTS = 60;
/** `scale_in` of `fleetbench kinds`: a share of 0.15; one in seven by name. */
const LEAVING_STEP = 7;
/** `platform_compact` of `fleetbench kinds`: stale reads are 3 s behind. */
const STALE_MS = 3_000;
/** Endpoints serve on after `drain`, "at times many seconds". */
const SERVES_ON_MS = 16_000;
const LOAD_MS = 9_000;

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
  await deployment.start({ machines: 3 });
  deployment.writeConfig(config);
  for (let index = 0; index < ENDPOINTS; index++) {
    const endpoint = await deployment.addEndpoint({ service: "kafi81c" });
    endpoint.register();
  }
  await sleep(STALE_MS + 500);
  for (const machine of deployment.machines) deployment.startMachine(machine);
  await deployment.waitReady();
  await sleep(6_000);

  // Two replicas answer stale reads in turn; one of them is behind.
  const calls = new Map();
  store.staleAgeMs = ({ kind, from, query }) => {
    const name = `${kind} ${from}`;
    const count = calls.get(name) ?? 0;
    calls.set(name, count + 1);
    const ageMs = hasTrouble && count % 2 === 0 ? STALE_MS : 0;
    record.note(
      `stale read of ${kind} by ${from}, after=${query.get("after") ?? ""}: ` +
        `${ageMs} ms old`,
    );
    return ageMs;
  };

  // Planned work: a machine starts again while some endpoints leave.
  const machine = deployment.machines[2];
  deployment.signal(machine, "SIGTERM");
  while (machine.child !== undefined) await sleep(20);
  const leaving = [...deployment.endpoints]
    .sort((a, b) => a.id < b.id ? -1 : 1)
    .filter((_, index) => index % LEAVING_STEP === LEAVING_STEP >> 1);
  const ackMs = new Map();
  for (const endpoint of leaving) {
    endpoint.register("draining");
    ackMs.set(endpoint.id, record.nowMs);
    record.note(`draining ${endpoint.id}`);
    await sleep(10);
    setTimeout(() => {
      record.note(`exit ${endpoint.id}`);
      store.remove("servers", endpoint.id);
      endpoint.close();
    }, SERVES_ON_MS).unref();
  }
  deployment.startMachine(machine);
  await deployment.waitReady([machine]);

  // Clients use this machine once it has been in touch.
  await sleep(machine.startedMs + BOUNDS.stabilityMs + 200 - record.nowMs);
  const endMs = record.nowMs + LOAD_MS;
  const sent = new Map();
  const loops = Array.from({ length: 20 }, async () => {
    while (record.nowMs < endMs) {
      const answer = await deployment.request(machine, {
        target: "/lepu270/a",
      });
      sent.set(answer.id, answer.sentMs);
      await sleep(30);
    }
  });
  await Promise.all(loops);
  const broken = [];
  for (const endpoint of leaving) {
    const ack = ackMs.get(endpoint.id);
    for (const { attempt, atMs } of endpoint.runs) {
      if (!sent.has(attempt) || atMs - ack <= BOUNDS.drainMs) continue;
      broken.push(
        `${attempt} reached ${endpoint.id} ${
          Math.round(atMs - ack)
        } ms after the store acknowledged that it drains`,
      );
    }
  }
  console.log(`${sent.size} requests`);
  return broken;
}

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), play);
