/** Proofs about requests that crash the servers that run them. */
import * as contracts from "@guavatide/contracts";
import { POISON_PATH } from "../backend_server/backend_app.ts";
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { KEYED, KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

const CRASH_LIMIT = 3;
const REPEATS = 60;
const REPEAT_PAUSE_MS = 250;
/** Repeats after the refusal, at every VM. */
const REFUSED_REPEATS = 9;

/** Every scenario of this file. */
export const POISON_SCENARIOS: readonly ProofScenario[] = [
  {
    // Each handover of the key would deliver the next owner to the request.
    name: "poison-request-repeated",
    invariant: INVARIANTS.served,
    fault: "a request that crashes each server, repeated at every entry VM",
    cluster: { keyedServers: 6 },
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      let refusals = 0;
      for (let turn = 0; turn < REPEATS && refusals < REFUSED_REPEATS; turn++) {
        const vm = cluster.vms[turn % cluster.vms.length]!;
        if (await sendPoison(cluster, vm) === "crashes-servers") refusals++;
        await pause(REPEAT_PAUSE_MS);
      }
      await cluster.untilServed();
      const crashed = countCrashed(cluster);
      const found: string[] = [];
      if (refusals === 0) found.push("the request was never refused");
      if (crashed !== CRASH_LIMIT) found.push(`${crashed} servers crashed`);
      return found;
    },
  },
];

/** Sends the request through a VM; returns the reason of its outcome. */
async function sendPoison(
  cluster: ProofCluster,
  vm: string,
): Promise<string | null> {
  const base = cluster.deployment.callerUrl(vm);
  const response = await fetch(`${base}/s/${KEYED}/${POISON_PATH}`, {
    headers: { [contracts.KEY_HEADER]: KEYS[0]! },
  });
  await response.text();
  return response.headers.get(contracts.REASON_HEADER);
}

/** A port tells nothing: another process may have that of a crashed server. */
function countCrashed({ deployment }: ProofCluster): number {
  return [...deployment.servers.values()]
    .filter(({ program }) => program.hasExited).length;
}
