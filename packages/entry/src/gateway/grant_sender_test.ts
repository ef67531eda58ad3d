import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { type GrantRequest, GrantSender } from "./grant_sender.ts";
import { serverEntryOf } from "./grant_test_support.ts";

const SERVER = "k1" as contracts.ServerId;
const RANGE: contracts.RangeState = {
  fromKey: 0,
  toKey: 99,
  owner: { server: SERVER, bornMs: 1 },
  fence: 1,
};

const ORDER: GrantRequest = {
  range: RANGE,
  handover: undefined,
  leaseMs: 1_500,
  isStillAllowed: () => true,
};

/** A sender whose grants end as told. */
function createSender(
  grant: contracts.GrantControl["grant"],
  nowMs: () => number,
  isKnown = true,
): GrantSender {
  return new GrantSender({
    control: {
      grant,
      release: () => neverthrow.okAsync(undefined),
      close: () => Promise.resolve(),
    },
    timings: grants.DEFAULT_GRANT_TIMINGS,
    clock: { nowMs },
    random: { next: () => 0.5 },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    findServer: () => isKnown ? serverEntryOf(SERVER) : undefined,
    onAccepted: () => {},
    onCompleted: () => {},
    onFencedOff: () => {},
  });
}

function refuse() {
  return neverthrow.errAsync(
    { kind: "unreachable", message: "Refused" } as const,
  );
}

/** Guards against a server that is called silent, and unused, for ever. */
test("should not call a server silent that it has left alone for long", async () => {
  let nowMs = 0;
  const sender = createSender(refuse, () => nowMs);
  await sender.send(ORDER);
  nowMs = 800;
  await sender.send(ORDER);
  expect(sender.unresponsiveServers()).toEqual([SERVER]);
  nowMs = 10_000;
  expect(sender.unresponsiveServers()).toEqual([]);
});

/** Guards against refused grants that take the processor from callers. */
test("should pause between grants that a server refuses", async () => {
  let nowMs = 0;
  let calls = 0;
  const count = () => {
    calls++;
    return refuse();
  };
  const sender = createSender(count, () => nowMs);
  for (; nowMs < 2_000; nowMs++) {
    if (!sender.canSend(RANGE.owner)) continue;
    await sender.send(ORDER);
  }
  expect(calls >= 8 && calls <= 12).toEqual(true);
});

/** Guards against waits and votes for a grant that never left. */
test("should not count a grant that was kept back", async () => {
  let nowMs = 0;
  const keep = () =>
    neverthrow.errAsync({ kind: "kept", message: "Kept back" } as const);
  const sender = createSender(keep, () => nowMs);
  await sender.send(ORDER);
  nowMs = 800;
  await sender.send(ORDER);
  expect(sender.unresponsiveServers()).toEqual([]);
  expect(sender.grantAgesMs().has(SERVER)).toEqual(false);
  expect(sender.canSend(RANGE.owner)).toEqual(true);
});

/** Guards against renewals that follow one another in a loop without a call. */
test("should send no grant to an owner that is not known", () => {
  const sender = createSender(refuse, () => 0, false);
  expect(sender.canSend(RANGE.owner)).toEqual(false);
});
