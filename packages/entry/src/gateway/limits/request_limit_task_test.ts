import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { LabelledCounts } from "../../metrics/labelled_counts.ts";
import { createJumpingClock } from "../../utils/clock_test_support.ts";
import { RequestLimitTask } from "./request_limit_task.ts";

const SERVER = "s1" as contracts.ServerId;
const ANSWERED = { tookMs: 20 };
const LIMITED = { kind: "limited" as const, requestsPerSecond: 2 };

function createFixture() {
  const clock = { now: 10_000 };
  const { clock: jumpingClock, jumpWallClock } = createJumpingClock(() =>
    clock.now
  );
  const sent: unknown[] = [];
  const warnings: string[] = [];
  const listeners: (() => void)[] = [];
  const registry = { bornMs: 1 };
  const noLine = () => {};
  const task = new RequestLimitTask({
    registry: {
      onChange: (listener) => void listeners.push(listener),
      bornMsOf: (server) => server === SERVER ? registry.bornMs : undefined,
    },
    gossip: {
      on: () => {},
      broadcast: (_method, params) => void sent.push(params),
    },
    clock: jumpingClock,
    log: {
      debug: noLine,
      info: noLine,
      warn: (sentence) => void warnings.push(sentence),
      error: noLine,
    },
    counts: new LabelledCounts(),
  });
  const changeRegistry = (bornMs: number) => {
    registry.bornMs = bornMs;
    for (const listener of listeners) listener();
  };
  return { task, clock, jumpWallClock, sent, warnings, changeRegistry };
}

test("should tell peers of a limit at once and of its confirmations seldom", () => {
  const { task, clock, sent } = createFixture();
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  expect(sent).toEqual([{ limits: [[SERVER, 2, 0]] }]);
  for (let count = 0; count < 90; count++) {
    clock.now += 10;
    task.noteAnswer(SERVER, LIMITED, ANSWERED);
  }
  expect(sent.length).toEqual(1);
  clock.now += 200;
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  expect(sent.length).toEqual(2);
});

/** A new process of the server would start with the old one's limit and no keys. */
test("should forget the limit of a server that starts again under its id", () => {
  const { task, changeRegistry } = createFixture();
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  changeRegistry(1);
  expect(task.limitOf(SERVER)).toEqual(2);
  changeRegistry(2);
  expect(task.hasAny).toEqual(false);
  expect(task.capacityOf(SERVER)).toEqual(Number.POSITIVE_INFINITY);
});

/** State would grow with every name that a peer sends. */
test("should take no news of servers that are not known", () => {
  const { task } = createFixture();
  task.applyNews([["other" as contracts.ServerId, 2, 0]]);
  expect(task.hasAny).toEqual(false);
});

/** A VM that has just started would learn of the limit from nobody. */
test("should keep a limit and tell peers of it when an answer names a malformed one", () => {
  const { task, clock, sent, warnings } = createFixture();
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  clock.now += 1_000;
  task.noteAnswer(SERVER, { kind: "malformed", text: "many" }, ANSWERED);
  expect(task.limitOf(SERVER)).toEqual(2);
  expect(sent.length).toEqual(2);
  expect(warnings).toEqual(["Ignored a malformed request limit."]);
});

test("should take no limit from an answer that names only a malformed one", () => {
  const { task } = createFixture();
  task.noteAnswer(SERVER, { kind: "malformed", text: "many" }, ANSWERED);
  expect(task.hasAny).toEqual(false);
});

/** A server that owns nothing gets no request whose answer could end its limit. */
test("should let placement count on a server whose limit nothing confirms", () => {
  const { task, clock } = createFixture();
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  expect(task.capacityOf(SERVER)).toEqual(2);
  clock.now += 10_000;
  expect(task.capacityOf(SERVER)).toEqual(Number.POSITIVE_INFINITY);
  // The limit itself stays in force.
  expect(task.limitOf(SERVER)).toEqual(2);
});

/**
 * Guards against a limit that older word of a peer lifts, as a step of the wall
 * clock makes this VM's own observation look old.
 */
test("should keep a limit that is newer than a peer's observation when the wall clock jumps", () => {
  const { task, clock, jumpWallClock } = createFixture();
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  clock.now += 100;
  jumpWallClock(2_000);
  task.applyNews([[SERVER, null, 500]]);
  expect(task.limitOf(SERVER)).toEqual(2);
  expect(task.newsOf([SERVER])).toEqual([[SERVER, 2, 100]]);
});

/**
 * Guards against the lack of a limit, seen before a suspension of the machine,
 * that counts as newer than the limit that a peer has seen meanwhile.
 */
test("should take over a peer's limit that may be newer than what was seen here", () => {
  const { task, clock, jumpWallClock } = createFixture();
  task.noteAnswer(SERVER, LIMITED, ANSWERED);
  clock.now += 100;
  task.noteAnswer(SERVER, undefined, ANSWERED);
  expect(task.hasAny).toEqual(false);
  clock.now += 100;
  jumpWallClock(2_000);
  expect(task.newsOf([SERVER])).toEqual([[SERVER, null, 2_100]]);
  task.applyNews([[SERVER, 1, 1_000]]);
  expect(task.limitOf(SERVER)).toEqual(1);
});
