import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { ObservedGrantControl } from "./observed_grant_control.ts";

const SERVER = { server: "s1" } as contracts.RegisteredServer;
const LIMIT = { kind: "limited" as const, requestsPerSecond: 0 };
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
    options.onNotices?.({ requestLimit: LIMIT } as contracts.ServerNotices);
  }
  return neverthrow.okAsync(undefined);
}

function createFixture() {
  const calls: string[] = [];
  const limits: unknown[] = [];
  const control = new ObservedGrantControl({
    control: CONTROL,
    clock: { nowMs: () => 0 },
    observers: [{
      noteCall: (_server, kind) => void calls.push(kind),
      noteNotices: (_server, notices) => void limits.push(notices.requestLimit),
    }],
  });
  return { control, calls, limits };
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
