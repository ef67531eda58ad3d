/** Proofs that keys stay served while the platform's store is unavailable. */
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

/** Many times longer than confirmation and lease together. */
const OUTAGE_MS = 8000;

async function startLoadThenOutage(
  cluster: ProofCluster,
  outage: "hang" | "refuse",
): Promise<void> {
  cluster.startLoad();
  await cluster.untilAnswered(200);
  await cluster.deployment.setFaults("store", { outage });
  await pause(OUTAGE_MS / 2);
}

/** Lets the outage last, then waits until these keys are served during it. */
async function waitUntilServedInOutage(
  cluster: ProofCluster,
  keys: readonly string[] = KEYS,
): Promise<void> {
  await pause(OUTAGE_MS / 2);
  await cluster.untilServed(cluster.vms, keys);
}

async function restoreStore(cluster: ProofCluster): Promise<void> {
  await cluster.deployment.setFaults("store", { outage: "none" });
  await cluster.untilServed();
}

/** Every scenario of this file. */
export const STORE_SCENARIOS: readonly ProofScenario[] = [
  ...(["hang", "refuse"] as const).map((outage): ProofScenario => ({
    name: `store-down-${outage}`,
    invariant: INVARIANTS.served,
    fault: `store down (${outage}) for ${OUTAGE_MS} ms`,
    async run(cluster) {
      await startLoadThenOutage(cluster, outage);
      await waitUntilServedInOutage(cluster);
      await restoreStore(cluster);
      return [];
    },
  })),
  {
    name: "store-down-entry-lost",
    invariant: INVARIANTS.served,
    fault: "store down, an entry VM killed meanwhile",
    async run(cluster) {
      await startLoadThenOutage(cluster, "hang");
      const leader = await leaderOrUndefined(cluster);
      const vm = cluster.vms.find((name) => name !== leader)!;
      await cluster.killEntry(vm);
      await waitUntilServedInOutage(cluster);
      await restoreStore(cluster);
      await cluster.restartEntry(vm);
      await cluster.untilServed();
      return [];
    },
  },
  {
    name: "store-down-duty-lost",
    invariant: INVARIANTS.served,
    fault: "store down, the holder of control duty killed meanwhile",
    async run(cluster) {
      const leader = await cluster.leader();
      await startLoadThenOutage(cluster, "hang");
      await cluster.killEntry(leader);
      await waitUntilServedInOutage(cluster);
      await restoreStore(cluster);
      await cluster.restartEntry(leader);
      await cluster.untilServed();
      return [];
    },
  },
  {
    // The keys of the killed server stay unserved until it or the store is
    // back; the keys of all other servers are served throughout.
    name: "store-down-server-lost",
    invariant: INVARIANTS.served,
    fault: "store down, a server killed meanwhile: other servers' keys",
    async run(cluster) {
      const owners = await cluster.keysByOwner();
      const [killed] = [...owners.keys()];
      const others = [...owners.entries()]
        .filter(([owner]) => owner !== killed)
        .flatMap(([, keys]) => keys);
      await startLoadThenOutage(cluster, "hang");
      await cluster.killServer(killed!);
      await waitUntilServedInOutage(cluster, others);
      await restoreStore(cluster);
      return [];
    },
  },
  {
    name: "store-slow",
    invariant: INVARIANTS.served,
    fault: "each store call takes 300 ms, a server killed meanwhile",
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      await cluster.deployment.setFaults("store", { delayMs: 300 });
      await cluster.killServer(await cluster.ownerOf(KEYS[0]!));
      await cluster.untilServed();
      return [];
    },
  },
  {
    // A watch that goes silent reports no error. Entry VMs that rely on it
    // alone would route by a stale assignment forever.
    name: "watch-silent",
    invariant: INVARIANTS.served,
    fault: "the store's watch silent, a server killed meanwhile",
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      await cluster.deployment.setFaults("store", { watch: "silent" });
      await cluster.killServer(await cluster.ownerOf(KEYS[0]!));
      await cluster.untilServed();
      return [];
    },
  },
  {
    name: "entries-restarted-in-outage",
    invariant: INVARIANTS.assignmentKept,
    fault: "store down, an entry VM restarted empty meanwhile",
    async run(cluster) {
      const before = await cluster.assignment();
      await startLoadThenOutage(cluster, "hang");
      const vm = cluster.vms[2]!;
      await cluster.killEntry(vm);
      await cluster.restartEntry(vm);
      await waitUntilServedInOutage(cluster);
      await restoreStore(cluster);
      const after = await cluster.assignment();
      return after.revision < before.revision ? ["revision went back"] : [];
    },
  },
];

/**
 * Ends the outage for one read of the store. Returns the leader, or undefined
 * if the read fails, and starts the outage again.
 */
async function leaderOrUndefined(
  cluster: ProofCluster,
): Promise<string | undefined> {
  await cluster.deployment.setFaults("store", { outage: "none" });
  const leader = await cluster.leader().catch(() => undefined);
  await cluster.deployment.setFaults("store", { outage: "hang" });
  return leader;
}
