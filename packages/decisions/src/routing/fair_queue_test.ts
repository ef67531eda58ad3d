import { expect } from "earl";
import { test } from "node:test";
import { FairQueue } from "./fair_queue.ts";

function item(tenant: string, deadlineMs: number) {
  return { tenant, deadlineMs };
}

test("should serve tenants in turn and the earliest deadline of each", () => {
  const queue = new FairQueue<ReturnType<typeof item>>();
  queue.push(item("anchor", 30));
  queue.push(item("anchor", 10));
  queue.push(item("anchor", 20));
  queue.push(item("host", 40));
  const order = [1, 2, 3, 4].map(() => queue.shift()!.deadlineMs);
  expect(order).toEqual([10, 40, 20, 30]);
  expect(queue.shift()).toEqual(undefined);
});

test("should let a burst displace only its own tenant's requests", () => {
  // The anchor customer books dozens of hours at once. A host's single
  // request that waits beside them must not be the one that is refused.
  const queue = new FairQueue<ReturnType<typeof item>>();
  queue.push(item("host", 900));
  for (let deadlineMs = 1; deadlineMs <= 8; deadlineMs++) {
    queue.push(item("anchor", deadlineMs));
    if (queue.size <= 4) continue;
    expect(queue.evict()!.tenant).toEqual("anchor");
  }
  expect([...queue.items()].some(({ tenant }) => tenant === "host")).toEqual(
    true,
  );
});
