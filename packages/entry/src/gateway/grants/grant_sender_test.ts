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

const REQUEST: GrantRequest = {
  range: RANGE,
  handover: undefined,
  leaseMs: 1_500,
  isStillAllowed: () => true,
};

/** A sender whose grants are answered by `grant`. */
function createSender(
  grant: contracts.GrantControl["grant"],
  nowMs: () => number,
  isKnown: (owner: contracts.RangeOwner) => boolean = () => true,
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
    findServer: (owner) => isKnown(owner) ? serverEntryOf(SERVER) : undefined,
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

/**
 * Guards against a server that counts as unresponsive, and stays unused, for
 * good.
 */
test("should not count a server as unresponsive long after its last grant", async () => {
  let nowMs = 0;
  const sender = createSender(refuse, () => nowMs);
  await sender.send(REQUEST);
  nowMs = 800;
  await sender.send(REQUEST);
  expect(sender.unresponsiveServers()).toEqual([SERVER]);
  nowMs = 10_000;
  expect(sender.unresponsiveServers()).toEqual([]);
});

/** Guards against a restarted server that is unused for its last run's losses. */
test("should not count a new run of a server as unresponsive", async () => {
  let nowMs = 0;
  let runMs = 1;
  const isKnown = ({ bornMs }: contracts.RangeOwner) => bornMs === runMs;
  const sender = createSender(refuse, () => nowMs, isKnown);
  await sender.send(REQUEST);
  nowMs = 700;
  await sender.send(REQUEST);
  runMs = 2;
  nowMs = 800;
  expect(sender.unresponsiveServers()).toEqual([]);
  const owner = { server: SERVER, bornMs: runMs };
  expect(sender.canSend(owner)).toEqual(true);
  await sender.send({ ...REQUEST, range: { ...RANGE, owner, fence: 2 } });
  nowMs = 900;
  expect(sender.unresponsiveServers()).toEqual([]);
  nowMs = 1_600;
  await sender.send({ ...REQUEST, range: { ...RANGE, owner, fence: 2 } });
  expect(sender.unresponsiveServers()).toEqual([SERVER]);
});

/** Guards against a server that gets no other grant after a call that threw. */
test("should send a grant again after a call that throws", async () => {
  let nowMs = 0;
  let calls = 0;
  const throwFirst = () => {
    calls++;
    if (calls === 1) throw new TypeError("Invalid URL");
    return neverthrow.okAsync("granted" as const);
  };
  const sender = createSender(throwFirst, () => nowMs);
  await sender.send(REQUEST).catch(() => {});
  nowMs = 1_000;
  expect(sender.canSend(RANGE.owner)).toEqual(true);
  await sender.send(REQUEST);
  expect(sender.accepted(RANGE)?.sentAtMs).toEqual(1_000);
});

/**
 * Guards against a loop of refused grants that takes the processor from
 * requests.
 */
test("should back off between grants that a server refuses", async () => {
  let nowMs = 0;
  let calls = 0;
  const count = () => {
    calls++;
    return refuse();
  };
  const sender = createSender(count, () => nowMs);
  for (; nowMs < 2_000; nowMs++) {
    if (!sender.canSend(RANGE.owner)) continue;
    await sender.send(REQUEST);
  }
  expect(calls >= 8 && calls <= 12).toEqual(true);
});

/**
 * Guards against handover waits and loss votes because of a grant that was
 * never sent.
 */
test("should not count a grant that was withheld", async () => {
  let nowMs = 0;
  const withhold = () =>
    neverthrow.errAsync({ kind: "kept", message: "Kept back" } as const);
  const sender = createSender(withhold, () => nowMs);
  await sender.send(REQUEST);
  nowMs = 800;
  await sender.send(REQUEST);
  expect(sender.unresponsiveServers()).toEqual([]);
  expect(sender.grantAgesMs().has(SERVER)).toEqual(false);
  expect(sender.canSend(RANGE.owner)).toEqual(true);
});

/** Guards against handover waits because of calls that had no connection. */
test("should not count a grant that failed before it was sent", async () => {
  let nowMs = 0;
  let isSent = true;
  const sender = createSender((_server, _grant, { maySend }) => {
    if (isSent) maySend!();
    return refuse();
  }, () => nowMs);
  await sender.send(REQUEST);
  sender.prune([], REQUEST.leaseMs);
  isSent = false;
  for (nowMs = 100; nowMs <= 1_000; nowMs += 100) {
    await sender.send(REQUEST);
    expect(sender.grantAgesMs().get(SERVER)).toEqual([nowMs, nowMs]);
  }
  // It still tells that the server doesn't answer.
  expect(sender.unresponsiveServers()).toEqual([SERVER]);
});

/** Guards against a busy loop of renewals that make no call. */
test("should send no grant to an unknown owner", () => {
  const sender = createSender(refuse, () => 0, () => false);
  expect(sender.canSend(RANGE.owner)).toEqual(false);
});

/** Guards against keys that stay with an owner that refuses them for good. */
test("should count a server that keeps refusing a range as unresponsive", async () => {
  let nowMs = 0;
  let answer: contracts.GrantAnswer = "fenced-off";
  const sender = createSender(() => neverthrow.okAsync(answer), () => nowMs);
  const other = { ...RANGE, fromKey: 100, toKey: 199, fence: 2 };
  for (; nowMs <= 1_600; nowMs += 400) {
    answer = "fenced-off";
    await sender.send(REQUEST);
    answer = "granted";
    await sender.send({ ...REQUEST, range: other });
    const isCounted = sender.unresponsiveServers().includes(SERVER);
    expect(isCounted).toEqual(nowMs >= 1_500);
  }
  answer = "granted";
  await sender.send(REQUEST);
  expect(sender.unresponsiveServers()).toEqual([]);
});

test("should forget refusals of a range that has another owner", async () => {
  let nowMs = 0;
  const refused = () => neverthrow.okAsync("fenced-off" as const);
  const sender = createSender(refused, () => nowMs);
  for (; nowMs <= 1_600; nowMs += 400) await sender.send(REQUEST);
  sender.prune([{ ...RANGE, fence: 5 }], 1_500);
  expect(sender.unresponsiveServers()).toEqual([]);
});

/** Guards against keys that wait for leases on other ranges of their old owner. */
test("should tell the ages of grants of ranges that are no longer granted", async () => {
  let nowMs = 0;
  let isAnswered = true;
  const answer = () =>
    isAnswered ? neverthrow.okAsync("granted" as const) : refuse();
  const sender = createSender(answer, () => nowMs);
  const kept = { ...RANGE, fromKey: 100, toKey: 199, fence: 2 };
  await sender.send(REQUEST);
  await sender.send({ ...REQUEST, range: kept });
  sender.prune([{ ...RANGE, fence: 9 }, kept], 1_500);
  isAnswered = false;
  for (nowMs = 100; nowMs <= 1_000; nowMs += 100) {
    await sender.send({ ...REQUEST, range: kept });
    expect(sender.grantAgesMs().get(SERVER)).toEqual([nowMs, null]);
  }
});

/** A release would count as enough while a lease may still begin. */
test("should count a grant as unanswered once its answer is in doubt", async () => {
  let nowMs = 0;
  let doubt = (_reason: string) => {};
  const sender = createSender((_server, _grant, { onAnswerDoubted }) => {
    doubt = onAnswerDoubted!;
    nowMs += 10;
    return neverthrow.okAsync("granted");
  }, () => nowMs);
  await sender.send(REQUEST);
  sender.prune([], REQUEST.leaseMs);
  nowMs = 100;
  expect(sender.grantAgesMs().get(SERVER)).toEqual([90, null]);
  doubt("An extra answer");
  expect(sender.grantAgesMs().get(SERVER)).toEqual([90, 90]);
});

/** The doubt about an earlier grant must not hide a later unanswered one. */
test("should keep the age of a later unanswered grant when an earlier one is in doubt", async () => {
  let nowMs = 0;
  let doubt: ((reason: string) => void) | undefined;
  const sender = createSender((_server, _grant, options) => {
    const { maySend, onAnswerDoubted } = options;
    maySend?.();
    if (doubt !== undefined) return refuse();
    doubt = onAnswerDoubted;
    return neverthrow.okAsync("granted");
  }, () => nowMs);
  await sender.send(REQUEST);
  nowMs = 500;
  await sender.send(REQUEST);
  sender.prune([], REQUEST.leaseMs);
  doubt!("The next call failed");
  expect(sender.grantAgesMs().get(SERVER)).toEqual([0, 0]);
});

/** Guards against handovers that wait for leases on ranges of later ones. */
test("should tell the grants and leases of each handover", async () => {
  let nowMs = 0;
  const sender = createSender(
    () => neverthrow.okAsync("granted" as const),
    () => nowMs,
  );
  const [first, second, other] = [0, 100, 200].map((fromKey) => ({
    fromKey,
    toKey: fromKey + 99,
    owner: { server: "next" as contracts.ServerId, bornMs: 1 },
    fence: 9,
  }));
  const leavingAt = (range: typeof first, revision: number) => ({
    ...range!,
    vacating: { ...RANGE.owner, fence: 1, revision },
  });
  const wide = { ...RANGE, fromKey: 0, toKey: 150 };
  const narrow = { ...RANGE, fromKey: 100, toKey: 150, fence: 2 };
  const longLeaseMs = 6_000;
  await sender.send({ ...REQUEST, range: wide, leaseMs: longLeaseMs });
  nowMs = 200;
  await sender.send({ ...REQUEST, range: wide });
  nowMs = 300;
  await sender.send({ ...REQUEST, range: narrow });
  sender.prune([], REQUEST.leaseMs);
  nowMs = 400;
  const times = sender.handoverGrantTimesMs(
    new Map([[SERVER, [
      leavingAt(first, 4),
      leavingAt(second, 7),
      leavingAt(other, 8),
    ]]]),
  );
  // The longest lease counts, not the last one.
  const leftMs = Math.ceil(
    grants.maxLeaseLifetimeMs(grants.DEFAULT_GRANT_TIMINGS, longLeaseMs) -
      nowMs,
  );
  expect(times).toEqual([
    [SERVER, 4, 200, leftMs, null],
    [SERVER, 7, 100, leftMs, null],
  ]);
});
