import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import type { RangeMapUpdate } from "../peers/peer_messages.ts";
import { MapPublisher } from "./map_publisher.ts";

const RANGES = 20;
/** A request for a key waits for the message that its owner has accepted it. */
const MAX_DELAY_MS = 50;

/** Guards against a message to all VMs for each range that an owner accepts. */
test("should tell of ranges that are accepted together in one message", () => {
  let nowMs = 1_000;
  const sent: RangeMapUpdate[] = [];
  const publisher = new MapPublisher({
    clock: { nowMs: () => nowMs },
    publish: (update) => void sent.push(update),
  });
  publisher.noteMap({
    service: "s" as contracts.ServiceId,
    revision: 2,
    lastFence: RANGES,
    keeperSets: [],
    holdMs: 1_500,
    ranges: [],
    nonce: "n",
  });
  const pending = new Set(Array.from({ length: RANGES }, (_, index) => index));
  publisher.publish(pending);
  for (let fence = 0; fence < RANGES; fence++) {
    pending.delete(fence);
    publisher.publishAcceptance(pending);
  }
  expect(sent.length).toEqual(1);
  nowMs += MAX_DELAY_MS;
  publisher.resendIfDue(pending);
  expect(sent.length).toEqual(2);
  expect(sent[1]!.pendingFences).toEqual([]);
});
