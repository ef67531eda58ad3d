/** Proofs that an accepted configuration is in force and never reverts. */
import { ConfigMarks } from "./config_marks.ts";
import { pause, type ProofCluster } from "./proof_cluster.ts";
import { INVARIANTS, type ProofScenario } from "./proof_scenario.ts";

const OUTAGE_MS = 4000;

/** Runs a scenario with marks and returns the reversions that were seen. */
function withConfigMarks(
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
    // The store fails right after an operator's publish is accepted, when only
    // the entry VM that published knows the revision.
    name: "config-accepted-store-away",
    invariant: INVARIANTS.configuration,
    fault: "store down right after a publish was accepted",
    run: withConfigMarks(async (cluster, marks) => {
      await marks.publishThrough(cluster.vms[0]!, "mark-1");
      await cluster.deployment.setFaults("store", { outage: "hang" });
      await marks.untilEverywhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "none" });
      await marks.untilEverywhere("mark-1");
    }),
  },
  {
    // The store fails as soon as one entry VM has the new revision; the
    // others must receive it from that VM.
    name: "config-store-away",
    invariant: INVARIANTS.configuration,
    fault: "store down once one entry VM has the new revision",
    run: withConfigMarks(async (cluster, marks) => {
      await marks.publish("mark-1");
      await marks.untilSomewhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "hang" });
      await marks.untilEverywhere("mark-1");
      await cluster.deployment.setFaults("store", { outage: "none" });
    }),
  },
  {
    // A restarted entry VM has no state. It must not route by an older
    // revision, nor without one while its peers know the one in force.
    name: "config-restart-in-outage",
    invariant: INVARIANTS.configuration,
    fault: "store down, an entry VM restarted empty",
    run: withConfigMarks(async (cluster, marks) => {
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
    run: withConfigMarks(async (cluster, marks) => {
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
    run: withConfigMarks(async (cluster, marks) => {
      await cluster.deployment.setFaults("store", { watch });
      await marks.publish("mark-1");
      await marks.untilEverywhere("mark-1");
    }),
  })),
  {
    name: "config-watch-skips",
    invariant: INVARIANTS.configuration,
    fault: "the store's watch leaves events out while publishing",
    run: withConfigMarks(async (cluster, marks) => {
      await cluster.deployment.setFaults("store", { skipEvents: 30 });
      await marks.publish("mark-1");
      await marks.untilEverywhere("mark-1");
    }),
  },
  {
    name: "config-entry-frozen",
    invariant: INVARIANTS.configuration,
    fault: "an entry VM frozen while two revisions are published, woken",
    run: withConfigMarks(async (cluster, marks) => {
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
