import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const SERVER = "s1" as contracts.ServerId;
const RENEWERS = ["vm1", "vm2"] as contracts.VmId[];

/** Quarantine after all renewers reported the server as unresponsive once. */
function quarantineAfterLoss(lost: grants.LostServers, atMs: number): number {
  for (const vm of RENEWERS) lost.noteUnresponsive(vm, [SERVER]);
  lost.countVotes(atMs, () => RENEWERS);
  for (const vm of RENEWERS) lost.noteUnresponsive(vm, []);
  let nowMs = atMs;
  while (lost.isQuarantined(SERVER)) {
    nowMs += 100;
    lost.countVotes(nowMs, () => RENEWERS);
  }
  return nowMs - atMs;
}

/** Guards against ranges moved over and over to a partitioned server. */
test("should extend the quarantine with each loss", () => {
  const lost = new grants.LostServers();
  const quarantines = [0, 10_000, 20_000].map((atMs) =>
    quarantineAfterLoss(lost, atMs)
  );
  expect(quarantines).toEqual([3_100, 6_100, 12_100]);
  // After a long time without a loss the quarantine starts over.
  expect(quarantineAfterLoss(lost, 120_000)).toEqual(3_100);
});
