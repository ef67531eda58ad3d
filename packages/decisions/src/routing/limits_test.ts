import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { CallerLimits } from "./caller_limits.ts";
import { QueueLimit } from "./queue_limit.ts";
import { chooseByRendezvous } from "./rendezvous.ts";

const PARTNER: contracts.Partner = {
  kind: "partner",
  name: "kayfa" as contracts.PartnerId,
  requestsPerSecond: 10,
  burstRequests: 10,
};

test("should leave a partner's other callers their part in a burst", () => {
  const limits = new CallerLimits();
  const kinds = Array.from(
    { length: 8 },
    () => limits.admit(PARTNER, "anchor", 0).kind,
  );
  expect(kinds.filter((kind) => kind === "admitted").length).toEqual(5);
  expect(limits.admit(PARTNER, "host", 0).kind).toEqual("admitted");
  const decision = limits.admit(PARTNER, "anchor", 0);
  expect(decision).toEqual({
    kind: "limited",
    by: "caller",
    retryAfterMs: 200,
  });
  expect(limits.admit(PARTNER, "anchor", 200).kind).toEqual("admitted");
});

test("should bound a queue by the wait of its last request", () => {
  const limit = new QueueLimit();
  expect(limit.limit(64)).toEqual(64);
  for (let nowMs = 0; nowMs <= 100; nowMs += 5) {
    limit.recordAnswer(20, { nowMs, isWaiting: true });
  }
  // One attempt of 20 ms at one answer each 5 ms.
  expect(limit.limit(64)).toEqual(4);
  expect(limit.drainMs(4)).toEqual(20);
});

test("should move only the jobs of a member that left", () => {
  const hash = (text: string) => [...text].reduce(mix, 7);
  const members = ["a", "b", "c", "d"] as contracts.VmId[];
  for (let job = 0; job < 50; job++) {
    const before = chooseByRendezvous(members, `job ${job}`, { hash });
    const left = members.filter((member) => member !== "a");
    const after = chooseByRendezvous(left, `job ${job}`, { hash });
    if (before !== "a") expect(after).toEqual(before);
  }
});

function mix(hash: number, character: string): number {
  return (Math.imul(hash, 16777619) ^ character.charCodeAt(0)) >>> 0;
}
