/** A service gets a small part of a route's requests, then none any more. */
import * as url from "node:url";
import { HOST, runCase, sleep } from "../common/deployment.mjs";

const CONVERGE_MS = 2_000;
/** Requests at each machine while the old weights are in force. */
const REQUESTS_BEFORE = 400;
const OLD = "huvo11a";
const KEPT = "kafi81c";

function service(name) {
  return {
    name,
    healthPath: "/health",
    maxConns: 110,
    protocol: "h1",
    tls: false,
  };
}

function config(version, split) {
  return {
    version,
    routes: [{
      name: "r-1",
      host: HOST,
      prefix: "/lepu270/",
      kind: "safe",
      timeout: 1_000,
      targetLatency: 300,
      priority: 2,
      split,
      attempts: 2,
    }],
    services: [service(OLD), service(KEPT)],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 67_108_864,
      header: 3_000,
      idle: 15_000,
    },
  };
}

async function play(deployment, hasTrouble) {
  const { record } = deployment;
  await deployment.start({ machines: 3 });
  deployment.writeConfig(config(7, [
    { service: OLD, weight: 1 },
    { service: KEPT, weight: 999 },
  ]));
  for (let index = 0; index < 16; index++) {
    const endpoint = await deployment.addEndpoint({
      service: index % 2 === 0 ? OLD : KEPT,
      workMs: 30,
    });
    endpoint.register();
  }
  for (const machine of deployment.machines) deployment.startMachine(machine);
  await deployment.waitReady();
  await sleep(5_000);

  const load = async (machine, mayGoOn, sent) => {
    await Promise.all(Array.from({ length: 4 }, async () => {
      while (mayGoOn()) {
        const answer = await deployment.request(machine, {
          target: "/lepu270/a",
        });
        sent?.push(answer);
        await sleep(20);
      }
    }));
  };
  await Promise.all(deployment.machines.map((machine) => {
    let left = REQUESTS_BEFORE;
    return load(machine, () => left-- > 0);
  }));
  // The operator takes the old service out of the split.
  if (hasTrouble) {
    deployment.writeConfig(config(8, [
      { service: OLD, weight: 0 },
      { service: KEPT, weight: 1 },
    ]));
  } else {
    deployment.writeConfig(config(8, [
      { service: OLD, weight: 0 },
      { service: KEPT, weight: 1_000 },
    ]));
  }
  const ackMs = record.nowMs;
  record.note("configuration 8 is acknowledged");
  const sent = [];
  await Promise.all(
    deployment.machines.map((machine) =>
      load(machine, () => record.nowMs < ackMs + 8_000, sent)
    ),
  );
  const late = new Map(
    sent.filter(({ sentMs }) => sentMs > ackMs + CONVERGE_MS)
      .map(({ id, sentMs }) => [id, sentMs]),
  );
  console.log(`${late.size} requests later than configConverge after the ack`);
  return deployment.endpoints.filter(({ service }) => service === OLD)
    .flatMap(({ id, runs }) =>
      runs.filter(({ attempt }) => late.has(attempt)).map(({ attempt }) =>
        `${attempt}, sent ${
          Math.round(late.get(attempt) - ackMs)
        } ms after the ack, was run by ${id} of ${OLD}, whose weight is 0`
      )
    );
}

await runCase(url.fileURLToPath(new URL(".", import.meta.url)), play);
