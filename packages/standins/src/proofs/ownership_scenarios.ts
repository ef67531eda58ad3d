/** Proofs that a key has one owner and that assignments survive. */
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

/** Longer than evidence, lease and detection together. */
const PAST_LEASE_MS = 5000;
/** Time for what was held up to do its harm. */
const AFTERMATH_MS = 1500;

async function ownerUnderLoad(cluster: ProofCluster): Promise<string> {
  cluster.startLoad();
  await cluster.untilAnswered(200);
  return await cluster.ownerOf(KEYS[0]!);
}

/** Freezes a server past its lease, waits for its keys, and wakes it. */
async function freezeOwner(cluster: ProofCluster): Promise<string[]> {
  const owner = await ownerUnderLoad(cluster);
  const program = cluster.server(owner);
  program.freeze();
  await pause(PAST_LEASE_MS);
  await cluster.untilServed();
  program.wake();
  await pause(AFTERMATH_MS);
  await cluster.untilServed();
  return [];
}

/** Freezes an entry VM, has keys move meanwhile, and wakes it. */
async function freezeEntry(
  cluster: ProofCluster,
  choose: () => string | Promise<string>,
): Promise<string[]> {
  const owner = await ownerUnderLoad(cluster);
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

/** Cuts a server off past its lease, one or both ways, and lets it back. */
async function cutOwner(
  cluster: ProofCluster,
  mode: "mute" | "mute-to-client",
): Promise<string[]> {
  const link = `server/${await ownerUnderLoad(cluster)}`;
  await cluster.relays.setFaults(link, { mode });
  await pause(PAST_LEASE_MS);
  await cluster.untilServed();
  await cluster.relays.setFaults(link, { mode: "pass" });
  await pause(AFTERMATH_MS);
  await cluster.untilServed();
  return [];
}

const FROZEN: readonly ProofScenario[] = [
  {
    // A host machine stops the server's process. Its keys go to another, and
    // it wakes with requests in its buffers, still believing it owns them.
    name: "owner-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "owner frozen past its lease, woken",
    run: freezeOwner,
  },
  {
    // The same for a server that checks no fences: the entry VMs alone keep
    // work for a moved key away from it.
    name: "unfenced-owner-lost",
    invariant: INVARIANTS.oneOwner,
    fault: "owner that checks no fences killed, started anew",
    cluster: { checksFences: false },
    async run(cluster) {
      const owner = await ownerUnderLoad(cluster);
      await cluster.killServer(owner);
      await cluster.untilServed();
      await cluster.deployment.restartServer(owner);
      await pause(AFTERMATH_MS);
      await cluster.untilServed();
      return [];
    },
  },
  {
    // The same, frozen: requests lie in its buffers when it wakes, and it
    // looks at nothing but their deadline.
    name: "unfenced-owner-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "owner that checks no fences frozen past its lease, woken",
    cluster: { checksFences: false },
    run: freezeOwner,
  },
  {
    // An entry VM is stopped with orders and requests in hand. Meanwhile the
    // keys of a server move; then it wakes and goes on with what it knew.
    name: "entry-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "entry VM frozen while keys move, woken",
    run: (cluster) => freezeEntry(cluster, () => cluster.vms[1]!),
  },
  {
    name: "duty-frozen",
    invariant: INVARIANTS.oneOwner,
    fault: "holder of control duty frozen while keys move, woken",
    run: (cluster) => freezeEntry(cluster, () => cluster.dutyHolder()),
  },
  {
    name: "duty-killed-in-move",
    invariant: INVARIANTS.oneOwner,
    fault: "server lost, then the holder of control duty amid the move",
    async run(cluster) {
      const owner = await ownerUnderLoad(cluster);
      const holder = await cluster.dutyHolder();
      await cluster.killServer(owner);
      // The move is under way as soon as a slice is vacating.
      await cluster.until("a vacating slice", async () => {
        const { slices } = await cluster.assignment();
        return slices.some((slice) => slice.state === "vacating");
      });
      await cluster.killEntry(holder);
      await cluster.untilServed();
      await cluster.restartEntry(holder);
      await cluster.untilServed();
      return [];
    },
  },
  {
    // Something between the entry VMs and the server loses everything both
    // ways for a while. The server runs on, believing it owns its keys.
    name: "owner-cut-off",
    invariant: INVARIANTS.oneOwner,
    fault: "owner cut off past its lease, then reachable",
    cluster: { relaysServers: true },
    run: (cluster) => cutOwner(cluster, "mute"),
  },
  {
    // Orders and requests arrive, answers do not: a one-way cut.
    name: "owner-one-way",
    invariant: INVARIANTS.oneOwner,
    fault: "answers of the owner lost for a while, orders arrive",
    cluster: { relaysServers: true },
    run: (cluster) => cutOwner(cluster, "mute-to-client"),
  },
];

const SURVIVAL: readonly ProofScenario[] = [
  {
    name: "all-entries-killed",
    invariant: INVARIANTS.assignmentKept,
    fault: "every entry VM killed at once, restarted empty",
    async run(cluster) {
      await ownerUnderLoad(cluster);
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
    // Each second write of the store takes effect without its reply, while a
    // server leaves and returns: writers have to read back what they did.
    name: "store-replies-lost",
    invariant: INVARIANTS.assignmentKept,
    fault: "half of the store's write replies lost while keys move",
    async run(cluster) {
      const owner = await ownerUnderLoad(cluster);
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
      const owner = await ownerUnderLoad(cluster);
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
  ...FROZEN,
  ...SURVIVAL,
];
