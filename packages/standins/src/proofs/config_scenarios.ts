/** Proofs that an accepted configuration is in force and never reverts. */
import { ConfigMarks } from "./config_marks.ts";
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

const OUTAGE_MS = 4000;

/** Runs with marks and returns the reverts that were seen. */
function withMarks(
  run: (cluster: ProofCluster, marks: ConfigMarks) => Promise<void>,
): ProofScenario["run"] {
  return async (cluster) => {
    const marks = new ConfigMarks(cluster);
    let reverts: readonly string[] = [];
    try {
      await run(cluster, marks);
    } finally {
      reverts = await marks.finish();
    }
    return reverts;
  };
}

/** Every scenario of this file. */
export const CONFIG_SCENARIOS: readonly ProofScenario[] = [
  {
    // An operator is told that the publish is accepted; at that moment the
    // store goes away. Only the entry VM that published knows the revision.
    name: "config-accepted-store-away",
    invariant: INVARIANTS.configuration,
    fault: "store down right after a publish was accepted",
    run: withMarks(async (cluster, marks) => {
      await marks.publishThrough(cluster.vms[0]!, "mark-1");
      await cluster.deployment.setFaults("store", { outage: "hang" });
      await marks.untilEverywhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "none" });
      await marks.untilEverywhere("mark-1");
    }),
  },
  {
    // The store is gone as soon as one entry VM has the new revision; the
    // others must hear of it from that one.
    name: "config-store-away",
    invariant: INVARIANTS.configuration,
    fault: "store down once one entry VM has the new revision",
    run: withMarks(async (cluster, marks) => {
      await marks.publish("mark-1");
      await marks.untilSomewhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "hang" });
      await marks.untilEverywhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "none" });
    }),
  },
  {
    // A new run of an entry VM keeps nothing. It must not route by an older
    // revision, nor by none while its peers know the one in force.
    name: "config-restart-in-outage",
    invariant: INVARIANTS.configuration,
    fault: "store down, an entry VM restarted empty",
    run: withMarks(async (cluster, marks) => {
      await marks.publish("mark-1");
      await marks.untilEverywhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "hang" });
      const vm = cluster.vms[1]!;
      await cluster.killEntry(vm);
      await cluster.restartEntry(vm);
      await pause(OUTAGE_MS);
      await marks.untilEverywhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "none" });
      await marks.untilEverywhere("mark-1");
    }),
  },
  {
    name: "config-replies-lost",
    invariant: INVARIANTS.configuration,
    fault: "half of the store's write replies lost while publishing",
    run: withMarks(async (cluster, marks) => {
      await cluster.deployment.setFaults("store", {
        loseReplyProbability: 0.5,
        seed: 11,
      });
      for (const mark of ["mark-1", "mark-2", "mark-3"]) {
        await marks.publish(mark);
        await marks.untilEverywhere(mark);
      }
    }),
  },
  ...(["silent", "empty"] as const).map((watch): ProofScenario => ({
    name: `config-watch-${watch}`,
    invariant: INVARIANTS.configuration,
    fault: `the store's watch ${watch} while publishing`,
    run: withMarks(async (cluster, marks) => {
      await cluster.deployment.setFaults("store", { watch });
      await marks.publish("mark-1");
      await marks.untilEverywhere("mark-1");
    }),
  })),
  {
    name: "config-watch-skips",
    invariant: INVARIANTS.configuration,
    fault: "the store's watch leaves events out while publishing",
    run: withMarks(async (cluster, marks) => {
      await cluster.deployment.setFaults("store", { skipEvents: 30 });
      await marks.publish("mark-1");
      await marks.untilEverywhere("mark-1");
    }),
  },
  {
    name: "config-entry-frozen",
    invariant: INVARIANTS.configuration,
    fault: "an entry VM frozen while two revisions are published, woken",
    run: withMarks(async (cluster, marks) => {
      const vm = cluster.vms[2]!;
      await marks.publish("mark-1");
      await marks.untilEverywhere("mark-1");
      cluster.downVms.add(vm);
      cluster.entry(vm).freeze();
      await marks.publish("mark-2");
      await marks.publish("mark-3");
      await marks.untilEverywhere("mark-3");
      cluster.entry(vm).wake();
      cluster.downVms.delete(vm);
      await marks.untilEverywhere("mark-3");
    }),
  },
];
