import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { MonotonicClock } from "../utils/clock.ts";
import {
  AdminFixture,
  costShare,
  OBJECTS,
  SERVER,
  SILENT_LOG,
} from "./admin_fixture_test_support.ts";
import * as administration from "./mod.ts";

// Somebody without a token tries paths and methods. Any difference between
// two answers would tell what there is to attack.
test("should tell a wrong token nothing", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  const tries: readonly (readonly [method: string, path: string])[] = [
    ["GET", "/v1/objects/service/availability"],
    ["GET", "/v1/objects/service/nothing"],
    ["GET", "/nothing"],
    ["PUT", "/v1/objects/place/plateau"],
    ["POST", "/v1/publish"],
    ["DELETE", "/v1/drains/availability-1"],
  ];
  const answers = await Promise.all(
    tries.map(([method, path]) => desk.call(method, path, { as: "nobody" })),
  );
  expect(answers[0]!.status).toEqual(401);
  for (const answer of answers) expect(answer).toEqual(answers[0]!);
});

interface RightCase {
  readonly as: string;
  readonly method: string;
  readonly path: string;
  readonly body?: object;
  readonly status: number;
}

const RIGHT_CASES: readonly RightCase[] = [
  { as: "reader", method: "GET", path: "objects", status: 200 },
  { as: "reader", method: "PUT", path: "objects/place/plateau", status: 403 },
  { as: "reader", method: "POST", path: "publish", status: 403 },
  { as: "reader", method: "PUT", path: `drains/${SERVER}`, status: 403 },
  { as: "blas", method: "PUT", path: `drains/${SERVER}`, status: 403 },
  { as: "ana", method: "PUT", path: `drains/${SERVER}`, status: 200 },
  { as: "root", method: "PUT", path: "drains/unknown", status: 404 },
  {
    as: "blas",
    method: "PUT",
    path: "objects/service/availability",
    body: OBJECTS["service/availability"]!,
    status: 403,
  },
  {
    as: "ana",
    method: "PUT",
    path: "objects/place/plateau",
    body: OBJECTS["place/plateau"]!,
    status: 403,
  },
  {
    as: "blas",
    method: "PUT",
    path: "objects/cost-share/split",
    body: costShare(50, 50),
    status: 200,
  },
];

for (const { as, method, path, body, status } of RIGHT_CASES) {
  test(`should answer ${status} to ${as} for ${method} ${path}`, async (t) => {
    const desk = await AdminFixture.open(t);
    await desk.createObjects();
    await desk.publish();
    const isObject = path.startsWith("objects/");
    const ifMatch = isObject
      ? await desk.etagOf(path.slice("objects/".length))
      : undefined;
    const answer = await desk.call(method, `/v1/${path}`, {
      as,
      body,
      ifMatch,
    });
    expect(answer.status).toEqual(status);
  });
}

// Two partners open the same cost split and both save.
test("should name the newer version to the slower of two editors", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  const path = "/v1/objects/cost-share/split";
  const ifMatch = await desk.etagOf("cost-share/split");
  const answers = await Promise.all([
    desk.call("PUT", path, { as: "ana", body: costShare(55, 45), ifMatch }),
    desk.call("PUT", path, { as: "blas", body: costShare(50, 50), ifMatch }),
  ]);
  const [won, lost] = answers.sort((a, b) => a.status - b.status);
  expect([won!.status, lost!.status]).toEqual([200, 412]);
  const version = won!.etag.replaceAll('"', "");
  expect(lost!.body.error.message.includes(version)).toEqual(true);
  expect(lost!.body.error.current.version).toEqual(version);
});

test("should ask for the version of every change", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  const path = "/v1/objects/cost-share/split";
  const edited = await desk.call("PUT", path, { body: costShare(50, 50) });
  const deleted = await desk.call("DELETE", path);
  const published = await desk.call("POST", "/v1/publish");
  expect([edited.status, deleted.status, published.status])
    .toEqual([428, 428, 428]);
});

test("should publish a whole set and refuse a half-made one", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  expect((await desk.publish()).body.revision).toEqual(1);
  expect(desk.config.revision).toEqual(1);
  const ifMatch = await desk.etagOf("cost-share/split");
  const path = "/v1/objects/cost-share/split";
  await desk.call("PUT", path, { body: costShare(50, 40), ifMatch });
  const refused = await desk.publish();
  expect(refused.status).toEqual(422);
  expect(refused.body.error.findings[0].kind).toEqual("shares-sum");
  expect(desk.config.revision).toEqual(1);
});

test("should not publish another partner's change", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  await desk.publish();
  const path = "/v1/objects/partner/kayfa";
  const ifMatch = await desk.etagOf("partner/kayfa");
  const body = { requestsPerSecond: 1, burstRequests: 1 };
  await desk.call("PUT", path, { as: "ana", body, ifMatch });
  const refused = await desk.publish("blas");
  expect(refused.status).toEqual(403);
  expect(refused.body.error.objects).toEqual(["partner/kayfa"]);
});

test("should drain a server and return it", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  await desk.publish();
  const path = `/v1/drains/${SERVER}`;
  await desk.call("PUT", path, { body: { reason: "disk" } });
  const drained = await desk.call("GET", "/v1/servers");
  expect(drained.body.servers[0].drain.reason).toEqual("disk");
  await desk.call("DELETE", path);
  expect(desk.config.drains()).toEqual([]);
});

test("should keep an audit line of each change", async (t) => {
  const desk = await AdminFixture.open(t);
  await desk.createObjects();
  await desk.publish("blas");
  await desk.publish();
  await desk.audit.flush();
  const { lines } = (await desk.call("GET", "/v1/audit")).body;
  const newest = lines.slice(0, 2)
    .map((line: administration.AuditLine) => `${line.operator} ${line.result}`);
  expect(newest.sort()).toEqual(["blas refused", "root done"]);
  expect(lines.length).toEqual(Object.keys(OBJECTS).length + 2);
});

// Entry VMs are replaced under new names all the time; audit lines without a
// bound would fill the platform's store.
test("should bound the journal and share its slots", async (t) => {
  const desk = await AdminFixture.open(t);
  for (let vm = 0; vm < 40; vm++) {
    const journal = new administration.MoveJournal({
      vm: `entry-${vm}` as contracts.VmId,
      store: desk.store,
      clock: new MonotonicClock(),
      log: SILENT_LOG,
      linesPerSlot: 3,
      flushIntervalMs: 1000,
      callTimeoutMs: 100,
    });
    const step = { slice: "0-1", step: "settle", from: [], to: SERVER };
    const steps = Array.from({ length: 5 }, () => ({ ...step, reason: "r" }));
    journal.noteSteps({
      service: "availability" as contracts.ServiceId,
      revision: 1,
      steps: steps as never,
    });
    await journal.flush();
  }
  const slots = [...desk.store.objects.values()];
  expect(slots.length <= 16).toEqual(true);
  for (const { value } of slots) expect(JSON.parse(value).length).toEqual(3);
});
