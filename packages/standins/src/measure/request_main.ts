/**
 * Measures what a request costs an entry process: processor time for keyed and
 * unkeyed requests, and memory for each open caller connection. Run by
 * `npm run measure:request`; the last line is JSON.
 */
import * as contracts from "@guavatide/contracts";
import * as net from "node:net";
import * as undici from "undici";
import * as plans from "../deployment/deployment_plan.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";
import { readProcessUsage } from "./process_use.ts";

const WARM_UP_REQUESTS = 2_000;
const REQUESTS = 10_000;
const IN_FLIGHT = 16;
const KEYS = 5_000;
const CONNECTIONS = 2_000;
const SETTLE_MS = 8_000;

interface RequestCost {
  readonly service: string;
  readonly requests: number;
  readonly answered: number;
  readonly processorMsPerRequest: number;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Sends requests, `IN_FLIGHT` at a time; returns how many were answered. */
async function send(
  pool: undici.Pool,
  service: string,
  requests: number,
): Promise<number> {
  let next = 0;
  let answered = 0;
  const sendUntilDone = async () => {
    while (next < requests) {
      const key = `key-${next++ % KEYS}`;
      const response = await pool.request({
        method: "GET",
        path: `/s/${service}/measure`,
        headers: { [contracts.KEY_HEADER]: key },
      });
      await response.body.dump();
      if (response.statusCode === 200) answered++;
    }
  };
  await Promise.all(Array.from({ length: IN_FLIGHT }, sendUntilDone));
  return answered;
}

async function measureRequests(
  deployment: LocalDeployment,
  service: string,
): Promise<RequestCost> {
  const { program } = deployment.entries.get("entry-1")!;
  const pool = new undici.Pool(deployment.callerUrl("entry-1"), {
    connections: IN_FLIGHT,
  });
  await send(pool, service, WARM_UP_REQUESTS);
  const before = readProcessUsage(program.pid);
  const answered = await send(pool, service, REQUESTS);
  const after = readProcessUsage(program.pid);
  await pool.close();
  const processorS = after.processorS - before.processorS;
  return {
    service,
    requests: REQUESTS,
    answered,
    processorMsPerRequest: Number((1000 * processorS / REQUESTS).toFixed(3)),
  };
}

/** Resident memory for each idle connection, in kilobytes. */
async function measureConnections(
  deployment: LocalDeployment,
): Promise<number> {
  const entry = deployment.entries.get("entry-1")!;
  const before = readProcessUsage(entry.program.pid).residentMb;
  const sockets = await Promise.all(
    Array.from({ length: CONNECTIONS }, () => connect(entry.ports.callers)),
  );
  await wait(2_000);
  const after = readProcessUsage(entry.program.pid).residentMb;
  for (const socket of sockets) socket.destroy();
  return Number(((after - before) * 1024 / CONNECTIONS).toFixed(1));
}

function connect(port: number): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1", () => resolve(socket));
    socket.once("error", reject);
  });
}

async function main(): Promise<void> {
  const deployment = await LocalDeployment.start({
    plan: plans.scalePlan(plans.KAYFA, {
      entryVms: 1,
      maxServersPerService: 10,
    }),
    entrySettings: { log: { format: "text", level: "error" } },
    backendSettings: {
      linkDelayMs: 0,
      serviceTimeMs: { kind: "fixed", ms: 0 },
    },
  });
  try {
    await wait(SETTLE_MS);
    const connectionKb = await measureConnections(deployment);
    const costs = [
      await measureRequests(deployment, "availability"),
      await measureRequests(deployment, "catalogue"),
    ];
    console.table(costs);
    console.log(JSON.stringify({ costs, connectionKb }));
  } finally {
    await deployment.stop();
  }
}

await main();
