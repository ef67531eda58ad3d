import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const KEEPERS = ["a", "b", "c"] as contracts.VmId[];

function input(
  options: Partial<grants.KeeperReviewInput>,
): grants.KeeperReviewInput {
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
    silentMs: () => Number.POSITIVE_INFINITY,
    lifeMs: 60_000,
    ...options,
  };
}

/** Guards against a fresh, cut-off process that gives away keys in use. */
test("should take no keeper for gone that it had no time to hear", () => {
  const fresh = input({ lifeMs: 400 });
  expect(grants.goneKeepers(fresh).size).toEqual(0);
  expect(grants.wishedKeepers(fresh)).toEqual(
    [...KEEPERS, "d"] as contracts.VmId[],
  );
});

/** Guards against a map that can't change once its keepers are replaced. */
test("should replace silent keepers and count them as gone in time", () => {
  expect(grants.wishedKeepers(input({ silentMs: () => 4_000 }))).toEqual(
    ["a", "d"] as contracts.VmId[],
  );
  expect(grants.goneKeepers(input({ silentMs: () => 4_000 })).size)
    .toEqual(0);
  expect([...grants.goneKeepers(input({ silentMs: () => 11_000 }))]).toEqual(
    ["b", "c"] as contracts.VmId[],
  );
});
