/** Proofs that keys stay served while the platform's store is away. */
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

/** Many times evidence and lease together. */
const OUTAGE_MS = 8000;

async function loadedWithout(
  cluster: ProofCluster,
  outage: "hang" | "refuse",
): Promise<void> {
  cluster.startLoad();
  await cluster.untilAnswered(200);
  await cluster.deployment.setFaults("store", { outage });
  await pause(OUTAGE_MS / 2);
}

/** Lets the outage last, and sees that these keys are served in it. */
async function servedInOutage(
  cluster: ProofCluster,
  keys: readonly string[] = KEYS,
): Promise<void> {
  await pause(OUTAGE_MS / 2);
  await cluster.untilServed(cluster.vms, keys);
}

async function storeReturns(cluster: ProofCluster): Promise<void> {
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
      await loadedWithout(cluster, outage);
      await servedInOutage(cluster);
      await storeReturns(cluster);
      return [];
    },
  })),
  {
    name: "store-down-entry-lost",
    invariant: INVARIANTS.served,
    fault: "store down, an entry VM killed meanwhile",
    async run(cluster) {
      await loadedWithout(cluster, "hang");
      const holder = await holderByMemory(cluster);
      const vm = cluster.vms.find((name) => name !== holder)!;
      await cluster.killEntry(vm);
      await servedInOutage(cluster);
      await storeReturns(cluster);
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
      const holder = await cluster.dutyHolder();
      await loadedWithout(cluster, "hang");
      await cluster.killEntry(holder);
      await servedInOutage(cluster);
      await storeReturns(cluster);
      await cluster.restartEntry(holder);
      await cluster.untilServed();
      return [];
    },
  },
  {
    // The keys of the lost server wait for it or for the store; the keys of
    // all others are served throughout.
    name: "store-down-server-lost",
    invariant: INVARIANTS.served,
    fault: "store down, a server killed meanwhile: other servers' keys",
    async run(cluster) {
      const owners = await cluster.keysByOwner();
      const [lost] = [...owners.keys()];
      const others = [...owners.entries()]
        .filter(([owner]) => owner !== lost)
        .flatMap(([, keys]) => keys);
      await loadedWithout(cluster, "hang");
      await cluster.killServer(lost!);
      await servedInOutage(cluster, others);
      await storeReturns(cluster);
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
    // A watch that goes silent shows no error. Entry VMs that wait for it
    // alone would route by an old assignment for good.
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
      await loadedWithout(cluster, "hang");
      const vm = cluster.vms[2]!;
      await cluster.killEntry(vm);
      await cluster.restartEntry(vm);
      await servedInOutage(cluster);
      await storeReturns(cluster);
      const after = await cluster.assignment();
      return after.revision < before.revision ? ["revision went back"] : [];
    },
  },
];

/** The holder, or nobody when the store can't say. */
async function holderByMemory(
  cluster: ProofCluster,
): Promise<string | undefined> {
  await cluster.deployment.setFaults("store", { outage: "none" });
  const holder = await cluster.dutyHolder().catch(() => undefined);
  await cluster.deployment.setFaults("store", { outage: "hang" });
  return holder;
}
