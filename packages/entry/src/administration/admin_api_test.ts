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

// Guards against enumeration without a token: responses that differ by path or
// method would reveal which objects and routes exist.
test("should give every request with an unknown token the same response", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  const requests: readonly (readonly [method: string, path: string])[] = [
    ["GET", "/v1/objects/service/availability"],
    ["GET", "/v1/objects/service/nothing"],
    ["GET", "/nothing"],
    ["PUT", "/v1/objects/place/plateau"],
    ["POST", "/v1/publish"],
    ["DELETE", "/v1/drains/availability-1"],
  ];
  const responses = await Promise.all(
    requests.map(([method, path]) =>
      fixture.call(method, path, { as: "nobody" })
    ),
  );
  expect(responses[0]!.status).toEqual(401);
  for (const response of responses) expect(response).toEqual(responses[0]!);
});

interface AuthorizationCase {
  readonly as: string;
  readonly method: string;
  readonly path: string;
  readonly body?: object;
  readonly status: number;
}

const AUTHORIZATION_CASES: readonly AuthorizationCase[] = [
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

for (const { as, method, path, body, status } of AUTHORIZATION_CASES) {
  test(`should answer ${status} to ${as} for ${method} ${path}`, async (t) => {
    const fixture = await AdminFixture.open(t);
    await fixture.createObjects();
    await fixture.publish();
    const isObject = path.startsWith("objects/");
    const ifMatch = isObject
      ? await fixture.etagOf(path.slice("objects/".length))
      : undefined;
    const response = await fixture.call(method, `/v1/${path}`, {
      as,
      body,
      ifMatch,
    });
    expect(response.status).toEqual(status);
  });
}

// Guards against lost updates: two operators read the same cost share and both
// replace it.
test("should refuse the second of two concurrent edits with the newer version", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  const path = "/v1/objects/cost-share/split";
  const ifMatch = await fixture.etagOf("cost-share/split");
  const responses = await Promise.all([
    fixture.call("PUT", path, { as: "ana", body: costShare(55, 45), ifMatch }),
    fixture.call("PUT", path, { as: "blas", body: costShare(50, 50), ifMatch }),
  ]);
  const [accepted, refused] = responses.sort((a, b) => a.status - b.status);
  expect([accepted!.status, refused!.status]).toEqual([200, 412]);
  const version = accepted!.etag.replaceAll('"', "");
  expect(refused!.body.error.message.includes(version)).toEqual(true);
  expect(refused!.body.error.current.version).toEqual(version);
});

test("should require the expected version of every change", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  const path = "/v1/objects/cost-share/split";
  const edited = await fixture.call("PUT", path, { body: costShare(50, 50) });
  const deleted = await fixture.call("DELETE", path);
  const published = await fixture.call("POST", "/v1/publish");
  expect([edited.status, deleted.status, published.status])
    .toEqual([428, 428, 428]);
});

test("should publish a valid set and refuse an inconsistent one", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  expect((await fixture.publish()).body.revision).toEqual(1);
  expect(fixture.config.revision).toEqual(1);
  const ifMatch = await fixture.etagOf("cost-share/split");
  const path = "/v1/objects/cost-share/split";
  await fixture.call("PUT", path, { body: costShare(50, 40), ifMatch });
  const refused = await fixture.publish();
  expect(refused.status).toEqual(422);
  expect(refused.body.error.findings[0].kind).toEqual("shares-sum");
  expect(fixture.config.revision).toEqual(1);
});

test("should not publish another partner's change", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  await fixture.publish();
  const path = "/v1/objects/partner/kayfa";
  const ifMatch = await fixture.etagOf("partner/kayfa");
  const body = { requestsPerSecond: 1, burstRequests: 1 };
  await fixture.call("PUT", path, { as: "ana", body, ifMatch });
  const refused = await fixture.publish("blas");
  expect(refused.status).toEqual(403);
  expect(refused.body.error.objects).toEqual(["partner/kayfa"]);
});

test("should drain a server and return it to service", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  await fixture.publish();
  const path = `/v1/drains/${SERVER}`;
  await fixture.call("PUT", path, { body: { reason: "disk" } });
  const drained = await fixture.call("GET", "/v1/servers");
  expect(drained.body.servers[0].drain.reason).toEqual("disk");
  await fixture.call("DELETE", path);
  expect(fixture.config.drains()).toEqual([]);
});

test("should record an audit line for each change", async (t) => {
  const fixture = await AdminFixture.open(t);
  await fixture.createObjects();
  await fixture.publish("blas");
  await fixture.publish();
  await fixture.audit.flush();
  const { lines } = (await fixture.call("GET", "/v1/audit")).body;
  const newest = lines.slice(0, 2)
    .map((line: administration.AuditLine) => `${line.operator} ${line.result}`);
  expect(newest.sort()).toEqual(["blas refused", "root done"]);
  expect(lines.length).toEqual(Object.keys(OBJECTS).length + 2);
});

// Guards against unbounded growth: entry VMs are replaced under new names all
// the time, so a journal object for each VM would fill the platform's store.
test("should limit the number of journal slots and the lines in each", async (t) => {
  const fixture = await AdminFixture.open(t);
  for (let vm = 0; vm < 40; vm++) {
    const journal = new administration.MoveJournal({
      vm: `entry-${vm}` as contracts.VmId,
      store: fixture.store,
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
  const slots = [...fixture.store.objects.values()];
  expect(slots.length <= 16).toEqual(true);
  for (const { value } of slots) expect(JSON.parse(value).length).toEqual(3);
});
