import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as grants from "./mod.ts";

const SERVER = "s1" as contracts.ServerId;
const RENEWERS = ["vm1", "vm2"] as contracts.VmId[];

/** How long a server is lost after its renewers found it silent at a moment. */
function restAfterLoss(lost: grants.LostServers, atMs: number): number {
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

/** Guards against keys given again and again to a server that is cut off. */
test("should leave a server alone for longer each time that it is lost", () => {
  const lost = new grants.LostServers();
  const rests = [0, 10_000, 20_000].map((atMs) => restAfterLoss(lost, atMs));
  expect(rests).toEqual([3_100, 6_100, 12_100]);
  // Sound for a long time, it is lost as if for the first time.
  expect(restAfterLoss(lost, 120_000)).toEqual(3_100);
});
