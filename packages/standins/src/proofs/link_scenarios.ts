/** Proofs about open connections that go silent while new ones work. */
import { pause } from "./proof_cluster.ts";
import { KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

const SETTLE_MS = 500;

/** Every scenario of this file. */
export const LINK_SCENARIOS: readonly ProofScenario[] = [
  {
    // Something between the entry VMs and the servers has lost track of every
    // open connection; a request over one of them gets no answer at all.
    name: "server-links-silent",
    invariant: INVARIANTS.ownAnswer,
    fault: "every open connection to every server goes silent",
    cluster: { relaysServers: true },
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      for (const server of cluster.deployment.servers.keys()) {
        await cluster.relays.setFaults(`server/${server}`, { mode: "silent" });
      }
      await cluster.untilServed();
      await cluster.untilAnswered(200);
      return [];
    },
  },
  {
    name: "store-links-silent",
    invariant: INVARIANTS.served,
    fault: "every open connection to the store goes silent, a server killed",
    cluster: { relaysStore: true },
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      for (const vm of cluster.vms) {
        await cluster.relays.setFaults(`store/${vm}`, { mode: "silent" });
      }
      await cluster.killServer(await cluster.ownerOf(KEYS[0]!));
      await cluster.untilServed();
      return [];
    },
  },
  {
    // The entry VMs lose the store one by one: each has another view of it.
    name: "store-cut-from-one",
    invariant: INVARIANTS.served,
    fault: "one entry VM cut off from the store, a server killed",
    cluster: { relaysStore: true },
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      const holder = await cluster.dutyHolder();
      await cluster.relays.setFaults(`store/${holder}`, { mode: "mute" });
      await cluster.killServer(await cluster.ownerOf(KEYS[0]!));
      await cluster.untilServed();
      await cluster.relays.setFaults(`store/${holder}`, { mode: "pass" });
      await cluster.untilServed();
      return [];
    },
  },
  {
    // Answers late, for another's request, cut in the middle or never.
    name: "answers-mangled",
    invariant: INVARIANTS.ownAnswer,
    fault: "answers late, with another's id, cut short, or lost",
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      for (const server of cluster.deployment.servers.keys()) {
        await cluster.deployment.setFaults(server, {
          wrongIdAnswers: 20,
          truncatedAnswers: 20,
          lostAnswers: 5,
          answerLateMs: 30,
        });
      }
      await pause(SETTLE_MS);
      await cluster.untilAnswered(300);
      await cluster.untilServed();
      return [];
    },
  },
];
