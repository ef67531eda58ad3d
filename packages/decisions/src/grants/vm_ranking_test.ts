import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { KeyHasher } from "../ownership/key_hasher.ts";
import { rendezvousOrder } from "../ownership/rendezvous_order.ts";
import { roleWeight, VmRanking, weakVms } from "./vm_ranking.ts";

const hasher = await KeyHasher.create();
const SERVERS = Array.from({ length: 600 }, (_, index) => `reread-${index}`);

/** VMs of one zone by cores: so many of each. */
function vmsOf(...groups: (readonly [count: number, cores: number])[]) {
  const weights = new Map<contracts.VmId, number>();
  for (const [count, processorCores] of groups) {
    for (let index = 0; index < count; index++) {
      const vm = `vm${weights.size}` as contracts.VmId;
      weights.set(vm, roleWeight({ processorCores }));
    }
  }
  return { vms: [...weights.keys()], weights };
}

/** How many servers each VM is the first for. */
function countFirst(
  vms: readonly contracts.VmId[],
  weights: ReadonlyMap<contracts.VmId, number>,
): Map<contracts.VmId, number> {
  const ranking = new VmRanking(hasher, () => weights);
  const counts = new Map<contracts.VmId, number>();
  for (const server of SERVERS) {
    const [first] = ranking.rank(server, vms);
    counts.set(first!, (counts.get(first!) ?? 0) + 1);
  }
  return counts;
}

/** During an update VMs of both versions must choose the same coordinators. */
test("should rank equal VMs as without weights", () => {
  const { vms, weights } = vmsOf([20, 0.27]);
  const ranking = new VmRanking(hasher, () => weights);
  const unweighted = new VmRanking(hasher);
  for (const server of SERVERS) {
    const expected = rendezvousOrder(server, vms, { hasher });
    expect(ranking.rank(server, vms)).toEqual(expected);
    expect(unweighted.rank(server, vms)).toEqual(expected);
  }
});

/** A VM with a fifth of a core stands still for most of each 100 ms. */
test("should leave roles to the large VMs of a zone, in proportion", () => {
  const { vms, weights } = vmsOf([2, 1.35], [6, 0.675], [17, 0.203]);
  const counts = countFirst(vms, weights);
  expect([...counts.keys()].sort()).toEqual(vms.slice(0, 8).sort());
  const large = counts.get(vms[0]!)! + counts.get(vms[1]!)!;
  const expected = SERVERS.length * 2.7 / (2.7 + 6 * 0.675);
  expect(Math.abs(large - expected) < 0.15 * SERVERS.length).toEqual(true);
});

/** Guards against roles that nobody takes when the large VMs have failed. */
test("should give the roles of failed large VMs to the next larger ones", () => {
  const { vms, weights } = vmsOf([2, 1.35], [20, 0.27]);
  const before = new VmRanking(hasher, () => weights);
  const kept = SERVERS.filter((server) =>
    before.rank(server, vms)[0] === vms[0]
  );
  const after = new VmRanking(hasher, () => weights);
  for (const server of kept) {
    expect(after.rank(server, vms.filter((vm) => vm !== vms[1]))[0])
      .toEqual(vms[0]);
  }
  const small = countFirst(vms.slice(2), weights);
  expect(small.size).toEqual(20);
  expect(Math.max(...small.values()) < 3 * SERVERS.length / 20).toEqual(true);
});

/** A ranking must not outlive a change of strength. */
test("should rank anew when weights have changed", () => {
  const vms = ["a", "b"] as contracts.VmId[];
  let weights = new Map([[vms[0]!, 1], [vms[1]!, 0.1]]);
  const ranking = new VmRanking(hasher, () => weights);
  expect(ranking.rank("role", vms)[0]).toEqual(vms[0]);
  weights = new Map([[vms[0]!, 0.1], [vms[1]!, 1]]);
  expect(ranking.rank("role", vms)[0]).toEqual(vms[1]);
});

/** Many cores don't help behind a thin link. */
test("should limit the weight of a VM by its link", () => {
  expect(roleWeight({ processorCores: 0.675, linkMbps: 8.4 })).toEqual(0.675);
  expect(roleWeight({ processorCores: 4, linkMbps: 8 })).toEqual(1);
  expect(roleWeight({ processorCores: 4 })).toEqual(4);
});

test("should take VMs below half of the strongest for weak", () => {
  const { vms, weights } = vmsOf([1, 1.35], [1, 0.675], [1, 0.66]);
  expect([...weakVms(vms, weights)]).toEqual([vms[2]!]);
});
