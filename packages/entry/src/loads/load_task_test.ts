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

/** Entry VMs whose links call one another's handlers at once. */
class EntryVmCluster {
  readonly tasks = new Map<string, LoadTask>();
  readonly #handlers = new Map<string, (params: unknown) => unknown>();
  leader = "";
  nowMs = 0;

  constructor(vms: readonly string[]) {
    for (const vm of vms) this.tasks.set(vm, this.#create(vm));
  }

  /** A beat's answer of the present holder reaches every VM. */
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
      peers: { link: (peer) => this.#link(peer) },
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

  #link(peer: string): PeerCaller {
    return {
      call: (method, { params, schema }) => {
        const answer = this.#handlers.get(`${peer}/${method}`)!(params);
        return neverthrow.okAsync(schema.parse(answer) as never);
      },
    };
  }
}

test("should give the planner the load of all entry VMs", () => {
  const fleet = new EntryVmCluster(["a", "b", "c"]);
  fleet.leader = "a";
  fleet.announceLeader();
  fleet.recordRequests("a", 7, 10);
  fleet.recordRequests("b", 7, 20);
  fleet.recordRequests("c", HALF + 7, 10);
  fleet.reportAll();
  const planner = fleet.tasks.get("a")!;
  const { slices } = planner.loadSource(SERVICE).estimate(ASSIGNMENT.slices);
  expect(Math.round(slices[0]! / slices[1]!)).toEqual(3);
  expect(planner.imbalance(SERVICE)?.toFixed(3)).toEqual("1.500");
  expect(fleet.tasks.get("b")!.imbalance(SERVICE)).toEqual(undefined);
});

// The VM that planned moves is lost and another takes over. If reports still
// went to the old one, the new planner would see an idle service and even out
// nothing, or take a busy server for a free one.
test("should report to the next holder of control duty", () => {
  const fleet = new EntryVmCluster(["a", "b"]);
  fleet.leader = "a";
  fleet.announceLeader();
  fleet.recordRequests("a", 7, 10);
  fleet.reportAll();
  fleet.leader = "b";
  fleet.announceLeader();
  fleet.reportAll();
  const { requestsPerSecond } = fleet.tasks.get("b")!.loadSource(SERVICE)
    .estimate(ASSIGNMENT.slices);
  expect(requestsPerSecond > 0).toEqual(true);
});
