import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const VOTERS = ["a", "b", "c"] as contracts.VmId[];

function input(
  options: Partial<grants.VoterSelectionInput>,
): grants.VoterSelectionInput {
  return {
    vm: "a" as contracts.VmId,
    map: {
      service: "s" as contracts.ServiceId,
      revision: 1,
      lastFence: 1,
      nonce: "n",
      keeperSets: [VOTERS],
      ranges: [],
    },
    live: ["a", "d"] as contracts.VmId[],
    weak: new Set(),
    cutOff: new Set(),
    sinceLastMessageMs: () => Number.POSITIVE_INFINITY,
    uptimeMs: 60_000,
    ...options,
  };
}

/** Voters that reach no server can't renew any lease. */
test("should let VMs that reach servers replace cut off voters", () => {
  const vms = ["a", "b", "c", "d", "e", "f", "g", "h", "i"] as contracts.VmId[];
  const voters = vms.slice(0, 7);
  const selected = grants.selectVoters(input({
    map: { ...input({}).map!, keeperSets: [voters] },
    live: vms,
    sinceLastMessageMs: () => 0,
    cutOff: new Set(vms.slice(1, 7)),
  }));
  expect(selected.length).toEqual(7);
  expect(["a", "h", "i"].every((vm) => selected.includes(vm as never)))
    .toEqual(true);
  const all = input({ live: vms, sinceLastMessageMs: () => 0 });
  const none = grants.selectVoters({ ...all, cutOff: new Set(vms) });
  expect(none).toEqual(grants.selectVoters(all));
});

/** Guards against a new, partitioned process that reassigns keys in use. */
test("should not remove voters before the process has run long enough", () => {
  const justStarted = input({ uptimeMs: 400 });
  expect(grants.removedVoters(justStarted).size).toEqual(0);
  expect(grants.selectVoters(justStarted)).toEqual(
    [...VOTERS, "d"] as contracts.VmId[],
  );
});

/** Guards against a map that can't change after the loss of its majority. */
test("should replace unresponsive voters and remove them later", () => {
  expect(grants.selectVoters(input({ sinceLastMessageMs: () => 4_000 })))
    .toEqual(
      ["a", "d"] as contracts.VmId[],
    );
  expect(grants.removedVoters(input({ sinceLastMessageMs: () => 4_000 })).size)
    .toEqual(0);
  expect([...grants.removedVoters(input({ sinceLastMessageMs: () => 11_000 }))])
    .toEqual(
      ["b", "c"] as contracts.VmId[],
    );
});

/** Small VMs that voted while large ones restarted must not stay for good. */
test("should replace weak voters one by one by strong ones", () => {
  const vms = ["a", "b", "c", "d", "e", "f", "g", "h", "i"] as contracts.VmId[];
  const weak = new Set(vms.slice(0, 4));
  let voters = vms.slice(0, 7);
  const rounds = [voters];
  for (;;) {
    const next = grants.selectVoters(input({
      map: { ...input({}).map!, keeperSets: [voters] },
      live: [...vms.slice(4), ...weak],
      weak,
      sinceLastMessageMs: () => 0,
    }));
    if (next.join() === voters.join()) break;
    expect(voters.filter((vm) => !next.includes(vm)).length <= 1)
      .toEqual(true);
    voters = next;
    rounds.push(voters);
  }
  expect(voters).toEqual(vms.slice(4));
  expect(rounds.length).toEqual(5);
  // The leader, here "a", is the last weak voter.
  expect(rounds.at(-2)!.includes(vms[0]!)).toEqual(true);
});

/** With too few strong VMs, the loss of two voters would stop all changes. */
test("should let weak VMs vote while there are few strong ones", () => {
  const vms = ["a", "b", "c", "d", "e", "f", "g", "h"] as contracts.VmId[];
  const selected = grants.selectVoters(input({
    map: undefined,
    live: vms,
    weak: new Set(vms.slice(4)),
  }));
  expect(selected).toEqual(vms.slice(0, 7));
});
