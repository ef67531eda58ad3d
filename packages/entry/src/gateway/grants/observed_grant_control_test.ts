import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { LabelledCounts } from "../../metrics/labelled_counts.ts";
import { ObservedGrantControl } from "./observed_grant_control.ts";

const SERVER = { server: "s1" } as contracts.RegisteredServer;
const LIMIT = { kind: "limited" as const, requestsPerSecond: 0 };
const SOURCE = { localPort: 4_711, callsBefore: 2, namedCall: undefined };
const RANGE = { fromKey: 0, toKey: 9, fence: 1 };

/** Answers each call that is sent, and names a limit. */
const CONTROL = {
  grant: answer,
  release: answer,
  close: () => Promise.resolve(),
} as unknown as contracts.GrantControl;

function answer(
  _server: contracts.RegisteredServer,
  _range: contracts.KeyRange,
  options: contracts.GrantCallOptions,
) {
  if (options.maySend?.() !== false) {
    options.onAnswerSource?.(SOURCE);
    options.onNotices?.({ requestLimit: LIMIT } as contracts.ServerNotices);
  }
  return neverthrow.okAsync(undefined);
}

function createFixture(answering = CONTROL) {
  const counts = new LabelledCounts();
  const lines: unknown[] = [];
  const note = (message: string, fields?: object) =>
    void lines.push({ message, ...fields });
  const calls: string[] = [];
  const limits: unknown[] = [];
  const control = new ObservedGrantControl({
    control: answering,
    clock: { nowMs: () => 0 },
    counts,
    log: { debug: note, info: note, warn: note, error: note },
    observers: [{
      noteCall: (_server, kind) => void calls.push(kind),
      noteNotices: (_server, notices) => void limits.push(notices.requestLimit),
    }],
  });
  return { control, calls, limits, counts, lines };
}

/** An owner whose keys all leave names its limit in answers to releases only. */
test("should read a limit from the answers to grants and releases", async () => {
  const { control, calls, limits } = createFixture();
  const grant = { ...RANGE, holdMs: 1_000 } as contracts.KeyGrant;
  await control.grant(SERVER, grant, { timeoutMs: 100 });
  await control.release(SERVER, RANGE, { timeoutMs: 100 });
  expect(calls).toEqual(["grant", "release"]);
  expect(limits).toEqual([LIMIT, LIMIT]);
});

test("should count no call that is not sent", async () => {
  const { control, calls } = createFixture();
  const options = { timeoutMs: 100, maySend: () => false };
  await control.release(SERVER, RANGE, options);
  expect(calls).toEqual([]);
});

/** Without these, an answer of another call can't be found in the logs. */
test("should log which connection the answer to a release came over", async () => {
  const { control, counts, lines } = createFixture();
  await control.release(SERVER, RANGE, { timeoutMs: 100 });
  expect(lines).toEqual([{
    message: "Release answered.",
    server: "s1",
    call: "release",
    tookMs: 0,
    ...SOURCE,
    ...RANGE,
  }]);
  const answered: unknown[] = [];
  counts.drain((count, labels) => answered.push({ count, ...labels }));
  expect(answered).toEqual([{
    count: 1,
    call: "release",
    outcome: "answered",
  }]);
});

test("should log and count an answer that is not the call's", async () => {
  const discard: contracts.GrantControl["grant"] = (
    _server,
    _range,
    options,
  ) => {
    options.onAnswerSource?.({ ...SOURCE, namedCall: "c9" });
    return neverthrow.errAsync({ kind: "bad-answer", message: "Other id" });
  };
  const fixture = createFixture({ ...CONTROL, grant: discard });
  const grant = { ...RANGE, holdMs: 1_000 } as contracts.KeyGrant;
  await fixture.control.grant(SERVER, grant, { timeoutMs: 100 });
  expect(fixture.lines).toEqual([{
    message: "Discarded an answer.",
    server: "s1",
    call: "grant",
    tookMs: 0,
    ...SOURCE,
    namedCall: "c9",
    reason: "Other id",
  }]);
  const discarded: unknown[] = [];
  fixture.counts.drain((count, labels) => discarded.push({ count, ...labels }));
  expect(discarded).toEqual([{
    count: 1,
    call: "grant",
    outcome: "discarded",
  }]);
});
