import { expect } from "earl";
import { test } from "node:test";
import { type BackloggedRequest, RequestBacklog } from "./request_backlog.ts";

interface TestRequest extends BackloggedRequest {
  readonly name: string;
}

/** Time for one request in tests of refusals. */
const SLOW_REQUEST_MS = 20;

function request(name: string, isFirst = false, readMs = 0): TestRequest {
  return { name, isFirst, readMs };
}

/** A backlog in which each request takes {@link SLOW_REQUEST_MS}. */
function slowBacklog(): {
  readonly backlog: RequestBacklog<TestRequest>;
  readonly nowMs: number;
} {
  const backlog = new RequestBacklog<TestRequest>();
  let nowMs = 0;
  for (let index = 0; index < 100; index++) backlog.add(request("old"), nowMs);
  while (backlog.length > 1) backlog.next(nowMs += SLOW_REQUEST_MS);
  return { backlog, nowMs };
}

/** Callers of new connections can't tell a busy VM from a dead one. */
test("should begin two first requests of connections for each further one", () => {
  const backlog = new RequestBacklog<TestRequest>();
  for (let index = 0; index < 4; index++) {
    backlog.add(request("kept"), 0);
    backlog.add(request("new", true), 0);
  }
  const begun = Array.from(
    { length: 6 },
    () => backlog.next(0)!.request.name,
  );
  expect(begun).toEqual(["new", "new", "kept", "new", "new", "kept"]);
});

/** Without refusals, each request would wait until its caller has left. */
test("should refuse requests that would wait for too long, beside begun ones", () => {
  const { backlog, nowMs } = slowBacklog();
  for (let index = 0; index < 30; index++) {
    backlog.add(request("kept", false, nowMs), nowMs);
  }
  const kinds = Array.from({ length: 6 }, () => backlog.next(nowMs)!.kind);
  expect(kinds.filter((kind) => kind === "refuse").length).toEqual(3);
  let begun = kinds.length - 3;
  while (backlog.length > 0) {
    if (backlog.next(nowMs)!.kind === "begin") begun++;
  }
  expect(begun < 15).toEqual(true);
});

/** Guards against refusals after one stall, when the VM has time for all. */
test("should refuse nothing of a burst after a calm time", () => {
  const { backlog, nowMs } = slowBacklog();
  backlog.next(nowMs);
  const laterMs = nowMs + 5_000;
  for (let index = 0; index < 30; index++) {
    backlog.add(request("kept", false, laterMs), laterMs);
  }
  while (backlog.length > 0) {
    expect(backlog.next(laterMs)!.kind).toEqual("begin");
  }
});

test("should tell how long the oldest request has waited", () => {
  const backlog = new RequestBacklog<TestRequest>();
  expect(backlog.waitMs(500)).toEqual(0);
  backlog.add(request("kept", false, 100), 100);
  backlog.add(request("new", true, 300), 300);
  expect(backlog.waitMs(500)).toEqual(400);
});
