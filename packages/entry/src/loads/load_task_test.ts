import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import type * as z from "zod";
import { LoadTask, type PeerCaller } from "./load_task.ts";

const SERVICE = "availability" as contracts.ServiceId;
const HALF = contracts.HASH_SPACE / 2;

function slice(server: string, fromHash: number): contracts.Slice {
  return {
    fromHash,
    toHash: fromHash + HALF,
    state: "owned",
    server: server as contracts.ServerId,
    fence: 1,
    from: [],
  };
}

const ASSIGNMENT = {
  service: SERVICE,
  revision: 1,
  slices: [slice("s1", 0), slice("s2", HALF)],
} as unknown as contracts.Assignment;

/** Entry VMs whose calls run the handlers of the other VMs synchronously. */
class EntryVmCluster {
  readonly tasks = new Map<string, LoadTask>();
  readonly #handlers = new Map<string, (params: unknown) => unknown>();
  leader = "";
  nowMs = 0;

  constructor(vms: readonly string[]) {
    for (const vm of vms) this.tasks.set(vm, this.#create(vm));
  }

  /** Delivers a heartbeat reply of the current leader to every VM. */
  announceLeader(): void {
    for (const vm of this.tasks.keys()) {
      const known = [{
        service: SERVICE,
        revision: 1,
        settled: true,
        holdsDuty: vm === this.leader ? true : undefined,
      }];
      for (const task of this.tasks.values()) {
        task.noteReply(
          { vm, known } as unknown as contracts.PeerHeartbeatReply,
        );
      }
    }
  }

  recordRequests(vm: string, keyHash: number, requests: number): void {
    for (let i = 0; i < requests; i++) {
      this.tasks.get(vm)!.recordRequest({
        service: SERVICE,
        server: (keyHash < HALF ? "s1" : "s2") as contracts.ServerId,
        keyHash,
        workMs: 5,
        hadFreeSlot: true,
      });
    }
  }

  reportAll(): void {
    this.nowMs += 1_000;
    for (const task of this.tasks.values()) task.reportAll();
  }

  #create(vm: string): LoadTask {
    const task = new LoadTask({
      self: {
        vm: vm as contracts.VmId,
        incarnation: `${vm}-run` as contracts.Incarnation,
      },
      peers: { link: (peer) => this.#peerCaller(peer) },
      peerServer: {
        register: (method, schema, handler) => {
          const handle = (params: unknown) =>
            handler(schema.parse(params) as z.infer<typeof schema>);
          this.#handlers.set(`${vm}/${method}`, handle);
        },
      },
      clock: { nowMs: () => this.nowMs },
    });
    task.setOwnershipSource({
      heldDuties: () => this.leader === vm ? [SERVICE] : [],
      assignment: () => ASSIGNMENT,
    });
    return task;
  }

  #peerCaller(peer: string): PeerCaller {
    return {
      call: (method, { params, schema }) => {
        const reply = this.#handlers.get(`${peer}/${method}`)!(params);
        return neverthrow.okAsync(schema.parse(reply) as never);
      },
    };
  }
}

test("should sum the load of all entry VMs for the planner", () => {
  const cluster = new EntryVmCluster(["a", "b", "c"]);
  cluster.leader = "a";
  cluster.announceLeader();
  cluster.recordRequests("a", 7, 10);
  cluster.recordRequests("b", 7, 20);
  cluster.recordRequests("c", HALF + 7, 10);
  cluster.reportAll();
  const planner = cluster.tasks.get("a")!;
  const { slices } = planner.loadSource(SERVICE).estimate(ASSIGNMENT.slices);
  expect(Math.round(slices[0]! / slices[1]!)).toEqual(3);
  expect(planner.imbalance(SERVICE)?.toFixed(3)).toEqual("1.500");
  expect(cluster.tasks.get("b")!.imbalance(SERVICE)).toEqual(undefined);
});

// The leader of a service fails and another VM takes over. If reports still
// went to the old leader, the planner of the new one would see no load and not
// rebalance, or take a busy server for an idle one.
test("should report to the next leader of the service", () => {
  const cluster = new EntryVmCluster(["a", "b"]);
  cluster.leader = "a";
  cluster.announceLeader();
  cluster.recordRequests("a", 7, 10);
  cluster.reportAll();
  cluster.leader = "b";
  cluster.announceLeader();
  cluster.reportAll();
  const { requestsPerSecond } = cluster.tasks.get("b")!.loadSource(SERVICE)
    .estimate(ASSIGNMENT.slices);
  expect(requestsPerSecond > 0).toEqual(true);
});
