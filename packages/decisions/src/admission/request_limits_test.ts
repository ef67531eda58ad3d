import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as admission from "./mod.ts";

const SERVER = "s1" as contracts.ServerId;
const UNLIMITED = { requestsPerSecond: undefined, isRefusal: false };

function limitedAt(nowMs: number): admission.RequestLimits {
  const limits = new admission.RequestLimits();
  expect(limits.recordAnswer(SERVER, {
    requestsPerSecond: 3.5,
    isRefusal: false,
    sentAtMs: nowMs - 50,
    nowMs,
  }))
    .toEqual("imposed");
  return limits;
}

/** A slow answer from before the server's need would lift its limit. */
test("should lift a limit only by an answer to a later request", () => {
  const limits = limitedAt(1_000);
  expect(limits.recordAnswer(SERVER, {
    ...UNLIMITED,
    sentAtMs: 990,
    nowMs: 1_200,
  })).toEqual("none");
  expect(limits.limitOf(SERVER)).toEqual(3.5);
  expect(limits.recordAnswer(SERVER, {
    ...UNLIMITED,
    sentAtMs: 1_100,
    nowMs: 1_300,
  })).toEqual("lifted");
  expect(limits.hasAny).toEqual(false);
});

/** News that was long on its way would bring an ended limit back. */
test("should ignore a peer's news that is older than what is known", () => {
  const limits = limitedAt(1_000);
  const tell = (requestsPerSecond: number | undefined, observedAtMs: number) =>
    limits.recordPeerReport(
      SERVER,
      { requestsPerSecond, observedAtMs },
    );
  expect(tell(undefined, 900)).toEqual("none");
  expect(tell(1.5, 1_100)).toEqual("changed");
  expect(tell(undefined, 1_200)).toEqual("lifted");
  expect(tell(1.5, 1_150)).toEqual("none");
  expect(limits.hasAny).toEqual(false);
  expect(tell(2, 1_300)).toEqual("imposed");
});

test("should forget a server that has ended", () => {
  const limits = limitedAt(1_000);
  limits.forget(SERVER);
  expect(limits.hasAny).toEqual(false);
  expect([...limits.servers]).toEqual([]);
  limits.forget(SERVER);
  expect(limits.hasAny).toEqual(false);
});

/** What refuses for a server may know nothing of its limit. */
test("should not lift a limit by a refusal that names none", () => {
  const limits = limitedAt(1_000);
  expect(limits.recordAnswer(SERVER, {
    ...UNLIMITED,
    isRefusal: true,
    sentAtMs: 1_100,
    nowMs: 1_300,
  })).toEqual("none");
  expect(limits.limitOf(SERVER)).toEqual(3.5);
});
