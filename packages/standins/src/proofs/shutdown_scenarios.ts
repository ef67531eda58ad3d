/** Proofs about draining servers and graceful shutdowns. */
import type { CallerRecord } from "./caller_record.ts";
import { type ProofCluster } from "./proof_cluster.ts";
import { KEYS, UNKEYED } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

const STOP_TIMEOUT_MS = 25_000;
/** Long enough to have some requests in flight at all times. */
const SLOW_SERVICE = { serviceTimeMs: 40 };

async function startLoads(cluster: ProofCluster): Promise<void> {
  cluster.startLoad();
  cluster.startLoad({ service: UNKEYED, workers: 3 });
  await cluster.untilAnswered(200);
}

/** Requests that a server started and whose caller got no answer. */
async function cutOffRequestsAt(
  cluster: ProofCluster,
  server: string,
): Promise<string[]> {
  const { records } = await cluster.finish();
  const started = new Set(
    cluster.journalOf(server).filter((entry) => entry.step === "start")
      .map((entry) => entry.operationId),
  );
  return records
    .filter((record) => record.outcome === "unknown")
    .filter((record) => started.has(record.operationId))
    .map(describe);
}

function describe(record: CallerRecord): string {
  return `${record.operationId}: ${record.outcome} (${record.reason})`;
}

/** Every scenario of this file. */
export const SHUTDOWN_SCENARIOS: readonly ProofScenario[] = [
  ...[true, false].map((keyed): ProofScenario => ({
    name: `server-listed-leaving-${keyed ? "keyed" : "unkeyed"}`,
    invariant: INVARIANTS.leaving,
    fault: `a ${keyed ? "keyed" : "unkeyed"} server listed as leaving`,
    async run(cluster) {
      await startLoads(cluster);
      const server = keyed ? await cluster.ownerOf(KEYS[0]!) : `${UNKEYED}-1`;
      await cluster.deployment.addToVmList(server, "leaving");
      const before = await cluster.untilNoNewWork(server);
      await cluster.untilAnswered(300);
      await cluster.untilServed();
      const after = cluster.startsAt(server);
      return after === before ? [] : [`${after - before} new requests`];
    },
  })),
  {
    // The server list still shows the server as live; the server's own report
    // that it drains must win.
    name: "server-drains",
    invariant: INVARIANTS.leaving,
    fault: "a server that drains by its own word, listed as live",
    async run(cluster) {
      await startLoads(cluster);
      const server = await cluster.ownerOf(KEYS[0]!);
      await cluster.drainServer(server);
      const before = await cluster.untilNoNewWork(server);
      await cluster.untilServed();
      const after = cluster.startsAt(server);
      return after === before ? [] : [`${after - before} new requests`];
    },
  },
  ...[true, false].map((keyed): ProofScenario => ({
    name: `server-stopped-${keyed ? "keyed" : "unkeyed"}`,
    invariant: INVARIANTS.graceful,
    fault: `a ${keyed ? "keyed" : "unkeyed"} server shut down under load`,
    cluster: SLOW_SERVICE,
    async run(cluster) {
      await startLoads(cluster);
      const server = keyed ? await cluster.ownerOf(KEYS[0]!) : `${UNKEYED}-1`;
      await cluster.server(server).stop(STOP_TIMEOUT_MS);
      await cluster.untilServed();
      return await cutOffRequestsAt(cluster, server);
    },
  })),
  {
    name: "entry-stopped",
    invariant: INVARIANTS.graceful,
    fault: "an entry VM shut down under load",
    cluster: SLOW_SERVICE,
    async run(cluster) {
      await startLoads(cluster);
      const vm = cluster.vms[0]!;
      const url = cluster.deployment.callerUrl(vm);
      const end = await cluster.entry(vm).stop(STOP_TIMEOUT_MS);
      cluster.downVms.add(vm);
      await cluster.untilServed();
      const { records } = await cluster.finish();
      const cutOff = records
        .filter((record) => record.entryUrl === url)
        .filter((record) => record.outcome === "unknown")
        .map(describe);
      return end.code === 0 ? cutOff : [...cutOff, `ended ${end.signal}`];
    },
  },
];
