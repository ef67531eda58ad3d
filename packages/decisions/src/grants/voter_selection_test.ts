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
    cutOff: new Set(),
    sinceLastMessageMs: () => Number.POSITIVE_INFINITY,
    uptimeMs: 60_000,
    ...options,
  };
}

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
