import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const KEEPERS = ["a", "b", "c"] as contracts.VmId[];

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
      keeperSets: [KEEPERS],
      ranges: [],
    },
    live: ["a", "d"] as contracts.VmId[],
    sinceLastMessageMs: () => Number.POSITIVE_INFINITY,
    uptimeMs: 60_000,
    ...options,
  };
}

/** Guards against a fresh, cut-off process that gives away keys in use. */
test("should take no keeper for gone that it had no time to hear", () => {
  const fresh = input({ uptimeMs: 400 });
  expect(grants.removedVoters(fresh).size).toEqual(0);
  expect(grants.selectVoters(fresh)).toEqual(
    [...KEEPERS, "d"] as contracts.VmId[],
  );
});

/** Guards against a map that can't change once its keepers are replaced. */
test("should replace silent keepers and count them as gone in time", () => {
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
