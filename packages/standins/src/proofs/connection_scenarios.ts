/** Proofs about open connections that go silent while new connections work. */
import { pause } from "./proof_cluster.ts";
import { KEYS } from "./proof_plan.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

const SETTLE_MS = 500;

/** Every scenario of this file. */
export const CONNECTION_SCENARIOS: readonly ProofScenario[] = [
  {
    // A middlebox between the entry VMs and the servers drops the state of
    // every open connection: a request over one of them gets no answer.
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
    // Only the leader loses the store, so entry VMs disagree on its state.
    name: "store-cut-from-one",
    invariant: INVARIANTS.served,
    fault: "one entry VM cut off from the store, a server killed",
    cluster: { relaysStore: true },
    async run(cluster) {
      cluster.startLoad();
      await cluster.untilAnswered(200);
      const leader = await cluster.leader();
      await cluster.relays.setFaults(`store/${leader}`, { mode: "mute" });
      await cluster.killServer(await cluster.ownerOf(KEYS[0]!));
      await cluster.untilServed();
      await cluster.relays.setFaults(`store/${leader}`, { mode: "pass" });
      await cluster.untilServed();
      return [];
    },
  },
  {
    // Answers are late, carry another request's id, are truncated or lost.
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
