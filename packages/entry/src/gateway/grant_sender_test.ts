import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { GrantSender } from "./grant_sender.ts";

const SERVER = "k1" as contracts.ServerId;
const RANGE: contracts.RangeState = {
  fromKey: 0,
  toKey: 99,
  owner: { server: SERVER, bornMs: 1 },
  fence: 1,
};

/** Guards against a server that counts as silent for good. */
test("should not call a server silent that it has left alone for long", async () => {
  let nowMs = 0;
  const sender = new GrantSender({
    control: {
      grant: () =>
        neverthrow.errAsync({ kind: "unreachable", message: "Refused" }),
      release: () => neverthrow.okAsync(undefined),
      close: () => Promise.resolve(),
    },
    timings: grants.DEFAULT_GRANT_TIMINGS,
    clock: { nowMs: () => nowMs },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    entry: () => ({
      server: SERVER,
      bornMs: 1,
      service: "keyed" as contracts.ServiceId,
      host: "10.0.0.1",
      port: 80,
      zone: "z1" as contracts.ZoneId,
      slots: 2,
      isDraining: false,
      warmUpLeftMs: 0,
    }),
    onConfirmed: () => {},
    onEnded: () => {},
    onFencedOff: () => {},
  });
  await sender.send({ range: RANGE, handover: undefined, holdMs: 1_500 });
  nowMs = 800;
  await sender.send({ range: RANGE, handover: undefined, holdMs: 1_500 });
  expect(sender.silentServers()).toEqual([SERVER]);
  nowMs = 10_000;
  expect(sender.silentServers()).toEqual([]);
});

/** Guards against grants repeated at once to a server that refuses them. */
test("should pause between grants that a server refuses", async () => {
  let nowMs = 0;
  let calls = 0;
  const sender = new GrantSender({
    control: {
      grant: () => {
        calls++;
        return neverthrow.errAsync({ kind: "unreachable", message: "Refused" });
      },
      release: () => neverthrow.okAsync(undefined),
      close: () => Promise.resolve(),
    },
    timings: grants.DEFAULT_GRANT_TIMINGS,
    clock: { nowMs: () => nowMs },
    random: { next: () => 0.5 },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    entry: () => ({
      server: SERVER,
      bornMs: 1,
      service: "keyed" as contracts.ServiceId,
      host: "10.0.0.1",
      port: 80,
      zone: "z1" as contracts.ZoneId,
      slots: 2,
      isDraining: false,
      warmUpLeftMs: 0,
    }),
    onConfirmed: () => {},
    onEnded: () => {},
    onFencedOff: () => {},
  });
  for (; nowMs < 2_000; nowMs++) {
    if (!sender.isFree(SERVER)) continue;
    await sender.send({ range: RANGE, handover: undefined, holdMs: 1_500 });
  }
  expect(calls >= 8 && calls <= 12).toEqual(true);
});
