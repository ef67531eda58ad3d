/** Proofs that a key has one owner and that assignments survive failures. */
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

/** Longer than confirmation, lease and failure detection together. */
const PAST_LEASE_MS = 5000;
/** Time for delayed requests and lease commands to arrive and do harm. */
const AFTERMATH_MS = 1500;

async function startLoadAndFindOwner(cluster: ProofCluster): Promise<string> {
  cluster.startLoad();
  await cluster.untilAnswered(200);
  return await cluster.ownerOf(KEYS[0]!);
}

/**
 * Freezes a server past its lease, waits until its keys are served by others,
 * and wakes it.
 */
async function freezeOwner(cluster: ProofCluster): Promise<string[]> {
  const owner = await startLoadAndFindOwner(cluster);
  const program = cluster.server(owner);
  program.freeze();
  await pause(PAST_LEASE_MS);
  await cluster.untilServed();
  program.wake();
  await pause(AFTERMATH_MS);
  await cluster.untilServed();
  return [];
}

/** Freezes an entry VM, moves keys meanwhile, and wakes it. */
async function freezeEntry(
  cluster: ProofCluster,
  choose: () => string | Promise<string>,
): Promise<string[]> {
  const owner = await startLoadAndFindOwner(cluster);
  const vm = await choose();
  cluster.downVms.add(vm);
  cluster.entry(vm).freeze();
  await cluster.killServer(owner);
  await cluster.untilServed();
  const before = await cluster.assignment();
  cluster.entry(vm).wake();
  cluster.downVms.delete(vm);
  await pause(AFTERMATH_MS);
  await cluster.untilServed();
  const after = await cluster.assignment();
  return after.revision < before.revision ? ["revision went back"] : [];
}

/** Partitions a server past its lease, one or both ways, then heals it. */
async function cutOffOwner(
  cluster: ProofCluster,
  mode: "mute" | "mute-to-client",
): Promise<string[]> {
  const link = `server/${await startLoadAndFindOwner(cluster)}`;
  await cluster.relays.setFaults(link, { mode });
  await pause(PAST_LEASE_MS);
  await cluster.untilServed();
  await cluster.relays.setFaults(link, { mode: "pass" });
  await pause(AFTERMATH_MS);
  await cluster.untilServed();
  return [];
}

const ONE_OWNER_SCENARIOS: readonly ProofScenario[] = [
  {
    // The host pauses the server's process. Its keys move to another server;
    // it wakes with requests in its buffers and still believes that it owns
    // the keys.
    name: "owner-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "owner frozen past its lease, woken",
    run: freezeOwner,
  },
  {
    // A server that checks no fences is killed and restarted: only the entry
    // VMs keep work for a moved key away from it.
    name: "unfenced-owner-lost",
    invariant: INVARIANTS.oneOwner,
    fault: "owner that checks no fences killed, started anew",
    cluster: { checksFences: false },
    async run(cluster) {
      const owner = await startLoadAndFindOwner(cluster);
      await cluster.killServer(owner);
      await cluster.untilServed();
      await cluster.deployment.restartServer(owner);
      await pause(AFTERMATH_MS);
      await cluster.untilServed();
      return [];
    },
  },
  {
    // A server that checks no fences is frozen: requests are in its buffers
    // when it wakes, and it checks only their deadlines.
    name: "unfenced-owner-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "owner that checks no fences frozen past its lease, woken",
    cluster: { checksFences: false },
    run: freezeOwner,
  },
  {
    // An entry VM is paused with lease commands and requests in progress. The
    // keys of a server move meanwhile; then the VM resumes with stale state.
    name: "entry-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "entry VM frozen while keys move, woken",
    run: (cluster) => freezeEntry(cluster, () => cluster.vms[1]!),
  },
  {
    name: "duty-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "holder of control duty frozen while keys move, woken",
    run: (cluster) => freezeEntry(cluster, () => cluster.leader()),
  },
  {
    name: "duty-killed-in-move",
    invariant: INVARIANTS.oneOwner,
    fault: "server lost, then the holder of control duty amid the move",
    async run(cluster) {
      const owner = await startLoadAndFindOwner(cluster);
      const leader = await cluster.leader();
      await cluster.killServer(owner);
      // The handover is in progress as soon as a slice is vacating.
      await cluster.until("a vacating slice", async () => {
        const { slices } = await cluster.assignment();
        return slices.some((slice) => slice.state === "vacating");
      });
      await cluster.killEntry(leader);
      await cluster.untilServed();
      await cluster.restartEntry(leader);
      await cluster.untilServed();
      return [];
    },
  },
  {
    // The network between the entry VMs and the server drops everything both
    // ways for a while. The server keeps running and believes that it owns its
    // keys.
    name: "owner-cut-off",
    invariant: INVARIANTS.oneOwner,
    fault: "owner cut off past its lease, then reachable",
    cluster: { relaysServers: true },
    run: (cluster) => cutOffOwner(cluster, "mute"),
  },
  {
    // One-way partition: lease commands and requests arrive, answers don't.
    name: "owner-one-way",
    invariant: INVARIANTS.oneOwner,
    fault: "answers of the owner lost for a while, orders arrive",
    cluster: { relaysServers: true },
    run: (cluster) => cutOffOwner(cluster, "mute-to-client"),
  },
];

const RECOVERY_SCENARIOS: readonly ProofScenario[] = [
  {
    name: "all-entries-killed",
    invariant: INVARIANTS.assignmentKept,
    fault: "every entry VM killed at once, restarted empty",
    async run(cluster) {
      await startLoadAndFindOwner(cluster);
      const before = await cluster.assignment();
      const vms = [...cluster.vms];
      await Promise.all(vms.map((vm) => cluster.killEntry(vm)));
      await Promise.all(vms.map((vm) => cluster.restartEntry(vm)));
      await cluster.untilServed();
      const after = await cluster.assignment();
      return after.revision < before.revision ? ["revision went back"] : [];
    },
  },
  {
    // Half of the store's writes take effect without a reply while a server
    // fails and returns: writers must read back whether their write succeeded.
    name: "store-replies-lost",
    invariant: INVARIANTS.assignmentKept,
    fault: "half of the store's write replies lost while keys move",
    async run(cluster) {
      const owner = await startLoadAndFindOwner(cluster);
      await cluster.deployment.setFaults("store", {
        loseReplyProbability: 0.5,
        seed: 7,
      });
      const before = await cluster.assignment();
      await cluster.killServer(owner);
      await cluster.untilServed();
      await cluster.deployment.restartServer(owner);
      await pause(AFTERMATH_MS);
      await cluster.untilServed();
      const after = await cluster.assignment();
      return after.revision <= before.revision ? ["nothing moved"] : [];
    },
  },
  {
    name: "owner-killed",
    invariant: INVARIANTS.served,
    fault: "owner killed, started anew",
    async run(cluster) {
      const owner = await startLoadAndFindOwner(cluster);
      await cluster.killServer(owner);
      await cluster.untilServed();
      await cluster.deployment.restartServer(owner);
      await pause(AFTERMATH_MS);
      await cluster.untilServed();
      return [];
    },
  },
];

/** Every scenario of this file. */
export const OWNERSHIP_SCENARIOS: readonly ProofScenario[] = [
  ...ONE_OWNER_SCENARIOS,
  ...RECOVERY_SCENARIOS,
];
