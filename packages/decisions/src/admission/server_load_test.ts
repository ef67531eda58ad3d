import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { type SendOutcome, ServerLoad } from "./server_load.ts";

const ENTRY: contracts.RegisteredServer = {
  server: "p1" as contracts.ServerId,
  bornMs: 1,
  service: "plain" as contracts.ServiceId,
  host: "127.0.0.1",
  port: 1,
  zone: "z1" as contracts.ZoneId,
  slots: 3,
  isDraining: false,
  warmUpLeftMs: 0,
};
const TOO_LARGE: SendOutcome = { kind: "lost", isTooLarge: true };
const LOST: SendOutcome = { kind: "lost" };
const ANSWERED: SendOutcome = { kind: "answered", isFailure: false };

/** Sends requests one after the other; returns whether the server is up then. */
function isUpAfter(
  outcomes: readonly SendOutcome[],
  isOwner: boolean,
): boolean {
  const load = new ServerLoad(ENTRY, isOwner);
  let nowMs = 1_000;
  for (const outcome of outcomes) {
    const recordEnd = load.startRequest(nowMs);
    nowMs += 10;
    recordEnd(outcome, nowMs);
  }
  return load.isUp(nowMs);
}

/** Each answer without end takes processor time that others need. */
test("should suspend a server at once whose answer was too large", () => {
  expect(isUpAfter([TOO_LARGE], false)).toEqual(false);
  expect(isUpAfter([LOST], false)).toEqual(true);
  expect(isUpAfter([LOST, LOST], false)).toEqual(false);
});

/** No other server can answer for an owner; one such answer is not enough. */
test("should suspend an owner of keys after two answers that were too large", () => {
  expect(isUpAfter([TOO_LARGE], true)).toEqual(true);
  expect(isUpAfter([TOO_LARGE, ANSWERED, TOO_LARGE], true)).toEqual(true);
  expect(isUpAfter([TOO_LARGE, TOO_LARGE], true)).toEqual(false);
  expect(isUpAfter([LOST, LOST, LOST, LOST], true)).toEqual(true);
  expect(isUpAfter([LOST, LOST, LOST, LOST, LOST], true)).toEqual(false);
});

/** A server that only ever sends without end must be asked less and less. */
test("should suspend a server for longer with each answer that is too large", () => {
  const load = new ServerLoad(ENTRY);
  let nowMs = 1_000;
  const pausesMs: number[] = [];
  for (let count = 0; count < 5; count++) {
    load.startRequest(nowMs)(TOO_LARGE, nowMs);
    pausesMs.push(load.suspensionLeftMs(nowMs));
    nowMs += load.suspensionLeftMs(nowMs);
  }
  expect(pausesMs).toEqual([400, 800, 1_600, 3_200, 4_000]);
});
