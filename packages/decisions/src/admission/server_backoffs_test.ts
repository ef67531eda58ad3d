import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { PeerBackoffs } from "./peer_backoffs.ts";
import { ServerBackoffs } from "./server_backoffs.ts";

const SERVER = "s1" as contracts.ServerId;
const VMS = ["vm1", "vm2", "vm3", "vm4"] as contracts.VmId[];

test("should leave a server alone for as long as it asks", () => {
  const backoffs = new ServerBackoffs();
  expect(backoffs.recordRequest(SERVER, 3_000, 0)).toEqual(true);
  expect(backoffs.mayStart(SERVER, 2_999)).toEqual(false);
  expect(backoffs.leftMs(SERVER, 1_000)).toEqual(2_000);
  expect(backoffs.mayStart(SERVER, 3_000)).toEqual(true);
});

/** Answers that cross one another must not shorten what was asked for. */
test("should keep the later end of two back-offs", () => {
  const backoffs = new ServerBackoffs();
  backoffs.recordRequest(SERVER, 3_000, 0);
  expect(backoffs.recordRequest(SERVER, 200, 100)).toEqual(false);
  expect(backoffs.leftMs(SERVER, 100)).toEqual(2_900);
  backoffs.recordRequest(SERVER, 5_000, 100);
  expect(backoffs.leftMs(SERVER, 100)).toEqual(5_000);
});

/** An answer to an earlier request says nothing of what the server asked. */
test("should not end a back-off at an answer", () => {
  const backoffs = new ServerBackoffs();
  backoffs.recordRequest(SERVER, 3_000, 0);
  expect(backoffs.recordAnswer(SERVER, 50)).toEqual(false);
  expect(backoffs.leftMs(SERVER, 50)).toEqual(2_950);
});

/** All callers that wait for the end must not reach the server together. */
test("should send requests one by one until the server answers", () => {
  const backoffs = new ServerBackoffs();
  backoffs.recordRequest(SERVER, 1_000, 0);
  backoffs.recordStart(SERVER, 1_000);
  expect(backoffs.mayStart(SERVER, 1_001)).toEqual(false);
  expect(backoffs.mayStart(SERVER, 1_030)).toEqual(true);
  expect(backoffs.recordAnswer(SERVER, 1_040)).toEqual(true);
  expect(backoffs.mayStart(SERVER, 1_041)).toEqual(true);
  backoffs.recordStart(SERVER, 1_041);
  expect(backoffs.mayStart(SERVER, 1_041)).toEqual(true);
});

/** Renewals count as calls too, yet those on their way can't be held back. */
test("should allow two calls for leases until a back-off ends", () => {
  const backoffs = new ServerBackoffs();
  backoffs.recordRequest(SERVER, 3_000, 0);
  for (let call = 0; call < 5; call++) backoffs.recordControl(SERVER, 100);
  expect(backoffs.controlCallsLeft(SERVER, 400)).toEqual(2);
  backoffs.recordControl(SERVER, 500);
  backoffs.recordControl(SERVER, 600);
  expect(backoffs.controlCallsLeft(SERVER, 700)).toEqual(0);
  // What a second answer asks for doesn't renew the allowance of the first.
  backoffs.recordRequest(SERVER, 100, 700);
  expect(backoffs.controlCallsLeft(SERVER, 2_000)).toEqual(0);
  expect(backoffs.controlCallsLeft(SERVER, 3_000))
    .toEqual(Number.POSITIVE_INFINITY);
});

/** One refusal among many answers must not cost a server its keys. */
test("should tell a server that refuses all from one that refuses some", () => {
  const backoffs = new PeerBackoffs();
  const record = (vm: contracts.VmId, nowMs: number) =>
    backoffs.record(SERVER, vm, { leftMs: 3_000, nowMs });
  record(VMS[0]!, 0);
  record(VMS[1]!, 10);
  expect(backoffs.refusesAll(SERVER, VMS.length, 20)).toEqual(false);
  expect(backoffs.refusedForMs(SERVER, VMS.length, 20)).toEqual(0);
  record(VMS[2]!, 20);
  expect(backoffs.refusesAll(SERVER, VMS.length, 20)).toEqual(true);
  // The first of them tries it again before any other VM does.
  expect(backoffs.refusedForMs(SERVER, VMS.length, 20)).toEqual(2_980);
  expect(backoffs.isAnswerNews(SERVER, VMS[3]!, 30)).toEqual(true);
  backoffs.recordAnswer(SERVER, VMS[3]!, 30);
  expect(backoffs.isAnswerNews(SERVER, VMS[3]!, 40)).toEqual(false);
  expect(backoffs.refusesAll(SERVER, VMS.length, 40)).toEqual(false);
  expect(backoffs.servedRatio(SERVER, VMS.length, 40)).toEqual(0.25);
  // Nobody has told an answer for more than a second.
  expect(backoffs.refusesAll(SERVER, VMS.length, 1_500)).toEqual(true);
});

test("should count a VM as served again from its first answer on", () => {
  const backoffs = new PeerBackoffs();
  backoffs.record(SERVER, VMS[0]!, { leftMs: 1_000, nowMs: 0 });
  backoffs.recordAnswer(SERVER, VMS[0]!, 500);
  expect(backoffs.servedRatio(SERVER, VMS.length, 500)).toEqual(0.75);
  backoffs.recordAnswer(SERVER, VMS[0]!, 1_100);
  expect(backoffs.servedRatio(SERVER, VMS.length, 1_100)).toEqual(1);
});

/** A VM without callers for a server never learns that it answers again. */
test("should forget the back-off of a VM that tells nothing more", () => {
  const backoffs = new PeerBackoffs();
  backoffs.record(SERVER, VMS[0]!, { leftMs: 1_000, nowMs: 0 });
  expect(backoffs.longestDelayMs(SERVER, 3_900)).toEqual(1_000);
  expect(backoffs.servedRatio(SERVER, VMS.length, 4_000)).toEqual(1);
  expect(backoffs.hasAny).toEqual(false);
});
