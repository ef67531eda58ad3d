import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { MonotonicClock } from "../utils/clock.ts";
import { FakeStore, type Fault } from "./fake_store_test.ts";
import * as configuration from "./mod.ts";

const SPLIT = { kind: "cost-share", name: "split" } as const;
const PLACE = object({ kind: "place", name: "plateau", region: "dakar" });
const PARTNERS = ["kayfa", "bitacora"].map((name) =>
  object({ kind: "partner", name, requestsPerSecond: 10, burstRequests: 5 })
);
const SERVICE = object({
  kind: "service",
  name: "availability",
  partner: "kayfa",
  places: ["plateau"],
  keyed: true,
  slotsPerServer: 3,
  connectionsPerServer: 110,
  idempotentMethods: ["GET"],
  timeoutMs: 2000,
  queueRequests: 64,
  imbalanceWeight: 1,
  churnWeight: 1,
});
const WHOLE = [PLACE, ...PARTNERS, SERVICE, split(60, 40)];

function object(fields: object): contracts.ConfigObject {
  return fields as contracts.ConfigObject;
}

function split(kayfa: number, bitacora: number): contracts.ConfigObject {
  return object({
    ...SPLIT,
    service: "availability",
    shares: [
      { partner: "kayfa", percent: kayfa },
      { partner: "bitacora", percent: bitacora },
    ],
  });
}

class StorageFixture {
  readonly store = new FakeStore();
  readonly drafts: configuration.DraftStore;
  readonly reader: configuration.ConfigReader;
  readonly publisher: configuration.Publisher;

  constructor(valueLimitBytes = 1_000_000) {
    const shared = {
      store: this.store,
      clock: new MonotonicClock(),
      timeoutMs: 400,
      callTimeoutMs: 100,
      now: () => "2026-01-01T00:00:00Z",
    };
    this.drafts = new configuration.DraftStore(shared);
    this.reader = new configuration.ConfigReader(shared);
    this.publisher = new configuration.Publisher({
      ...shared,
      vm: "entry-1" as contracts.VmId,
      drafts: this.drafts,
      reader: this.reader,
      valueLimitBytes,
    });
  }

  async fill(objects: readonly contracts.ConfigObject[]): Promise<void> {
    for (const each of objects) {
      (await this.drafts.create(each, "ana"))._unsafeUnwrap();
    }
  }

  async publish(knownRevision = 0, forbidden: readonly string[] = []) {
    const { tag } = (await this.publisher.plan())._unsafeUnwrap();
    return await this.publisher.publish({
      operator: "ana",
      tag,
      knownRevision,
      forbidden: () => forbidden,
    });
  }

  async edit(to: contracts.ConfigObject, version: string, operator = "ana") {
    return await this.drafts.replace(to, { operator, version });
  }
}

/** Faults of the first call that matches, later ones are well. */
function once(call: string, fault: Fault): (call: string) => Fault {
  let isDone = false;
  return (each) => {
    if (isDone || !each.startsWith(call)) return "none";
    isDone = true;
    return fault;
  };
}

// Two partners open the same cost split and both save. Without the condition
// the slower one would silently undo the other's agreed percentages.
test("should let one of two racing editors win and tell the other", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  const { version } = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
  const results = await Promise.all([
    desk.edit(split(55, 45), version, "ana"),
    desk.edit(split(50, 50), version, "blas"),
  ]);
  const lost = results.filter((each) => each.isErr());
  expect(lost.length).toEqual(1);
  const error = lost[0]!._unsafeUnwrapErr();
  const now = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
  expect(error.kind).toEqual("conflict");
  expect(error.message.includes(now.lastEdit.operator)).toEqual(true);
  expect(error.message.includes(now.version)).toEqual(true);
});

interface LostReplyCase {
  readonly name: string;
  readonly call: string;
  readonly run: (desk: StorageFixture) => Promise<{ isOk(): boolean }>;
}

const LOST_REPLIES: readonly LostReplyCase[] = [
  {
    name: "creation",
    call: "put drafts/",
    run: (desk) => desk.drafts.create(object({ ...PLACE, name: "yoff" }), "a"),
  },
  {
    name: "edit",
    call: "put drafts/",
    run: async (desk) => {
      const { version } = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
      return await desk.edit(split(50, 50), version);
    },
  },
  {
    name: "deletion",
    call: "delete drafts/",
    run: async (desk) => {
      const { version } = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
      return await desk.drafts.remove(SPLIT, version);
    },
  },
  {
    name: "publish",
    call: "put config/current",
    run: (desk) => desk.publish(),
  },
];

for (const { name, call, run } of LOST_REPLIES) {
  for (const fault of ["lost-reply", "down"] as const) {
    // The store's reply is lost, or the call never reached it. An operator
    // told of a failure would repeat what is there, or take it for undone.
    test(`should finish one ${name} after "${fault}"`, async () => {
      const desk = new StorageFixture();
      await desk.fill(WHOLE);
      desk.store.fault = once(call, fault);
      expect((await run(desk)).isOk()).toEqual(true);
    });
  }
}

// The reply of a publish is lost, and before it is read back another operator
// publishes on top. Told of a conflict, the first would publish twice.
test("should know its publish under a later one", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  desk.store.fault = once("put config/current", "lost-reply");
  desk.store.afterWrite = (name) => {
    if (name !== configuration.CURRENT_NAME) return;
    const stored = desk.store.objects.get(name)!;
    const current = JSON.parse(stored.value);
    const later = { ...current.history[0], revision: 2, nonce: "other" };
    current.history.push(later);
    const value = JSON.stringify(current);
    desk.store.objects.set(name, { ...stored, version: "later", value });
  };
  const published = await desk.publish();
  expect(published._unsafeUnwrap().revision).toEqual(1);
});

// The store goes away in the middle of a publish and stays away. The operator
// must not be told that nothing was published.
test("should call the fate of a publish unknown when nobody says", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  let isDown = false;
  desk.store.fault = (call) => {
    if (isDown) return "down";
    isDown = call === "put config/current";
    return isDown ? "lost-reply" : "none";
  };
  const published = await desk.publish();
  expect(published._unsafeUnwrapErr().kind).toEqual("unknown");
});

// Two operators publish at once. Both told of success, one would believe in
// force what is not.
test("should let one of two racing publishers win", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  const results = await Promise.all([desk.publish(), desk.publish()]);
  const kinds = results.map((each) =>
    each.match(() => "published", (error) => error.kind)
  );
  expect(kinds.sort()).toEqual(["conflict", "published"]);
});

// Another partner goes on editing between the check and the publish, and the
// half-made edit would reach traffic unseen.
test("should not publish drafts that changed after the check", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  const { tag } = (await desk.publisher.plan())._unsafeUnwrap();
  const { version } = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
  await desk.edit(split(50, 50), version);
  const published = await desk.publisher.publish({
    operator: "ana",
    tag,
    knownRevision: 0,
    forbidden: () => [],
  });
  expect(published._unsafeUnwrapErr().kind).toEqual("drafts-changed");
});

test("should not publish a half-made set", async () => {
  const desk = new StorageFixture();
  await desk.fill([PLACE, ...PARTNERS, SERVICE, split(60, 30)]);
  const error = (await desk.publish())._unsafeUnwrapErr();
  expect(error.kind).toEqual("findings");
  expect(desk.store.objects.has(configuration.CURRENT_NAME)).toEqual(false);
});

test("should not publish what the operator may not", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  const error = (await desk.publish(0, ["place/plateau"]))._unsafeUnwrapErr();
  expect(error.kind).toEqual("forbidden");
});

// The platform restores its store from an old copy. A revision that entry VMs
// already left behind would be accepted and never come into force.
test("should publish above every revision known to be in force", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  expect((await desk.publish(7))._unsafeUnwrap().revision).toEqual(8);
});

test("should split a set over the value limit and read it back", async () => {
  const limitBytes = 2000;
  const desk = new StorageFixture(limitBytes);
  const places = Array.from(
    { length: 40 },
    (_, index) =>
      object({ ...PLACE, name: `zone-${index}`, region: "Médina é".repeat(9) }),
  );
  await desk.fill([...WHOLE, ...places]);
  const published = (await desk.publish())._unsafeUnwrap();
  const read = (await desk.reader.readNewer(0))._unsafeUnwrap();
  expect(read?.config).toEqual(published);
  const chunks = [...desk.store.objects.values()]
    .filter((each) => each.name.startsWith(configuration.CHUNK_PREFIX));
  expect(chunks.length > 2).toEqual(true);
  expect(chunks.every((each) => each.value.length <= limitBytes))
    .toEqual(true);
});

test("should leave chunks of the last two revisions only", async () => {
  const desk = new StorageFixture(500);
  await desk.fill(WHOLE);
  for (const percent of [50, 40, 30, 20]) {
    const { version } = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
    await desk.edit(split(percent, 100 - percent), version);
    (await desk.publish())._unsafeUnwrap();
  }
  const revisions = [...desk.store.objects.keys()]
    .filter((name) => name.startsWith(configuration.CHUNK_PREFIX))
    .map((name) => name.slice(configuration.CHUNK_PREFIX.length)[0]);
  expect([...new Set(revisions)].sort()).toEqual(["3", "4"]);
});

test("should call a set with a wrong checksum unreadable", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  await desk.publish();
  const name = configuration.CURRENT_NAME;
  const stored = desk.store.objects.get(name)!;
  const value = stored.value.replace("60", "99");
  desk.store.objects.set(name, { ...stored, value });
  const read = await desk.reader.readNewer(0);
  expect(read._unsafeUnwrapErr().kind).toEqual("unreadable");
});

// A server is drained while somebody publishes, and the drain's revision
// loses the race. The operator saw no error, yet work would go on arriving.
test("should keep drains through racing and later publishes", async () => {
  const desk = new StorageFixture();
  await desk.fill(WHOLE);
  await desk.publish();
  const { version } = (await desk.drafts.get(SPLIT))._unsafeUnwrap();
  await desk.edit(split(50, 50), version);
  const server = "a-1" as contracts.ServerId;
  const drain = { operator: "ana", server, reason: "disk", knownRevision: 1 };
  const [drained] = await Promise.all([
    desk.publisher.setDrain({ ...drain, isDrained: true }),
    desk.publish(1),
  ]);
  expect(drained.isOk()).toEqual(true);
  await desk.publish(1);
  const read = (await desk.reader.readNewer(0))._unsafeUnwrap();
  expect(read?.config.drains?.map((each) => each.server)).toEqual([server]);
  expect(read?.config.objects.at(0)).toEqual(split(50, 50));
  const returned = await desk.publisher.setDrain({
    ...drain,
    isDrained: false,
  });
  expect(returned._unsafeUnwrap().drains).toEqual([]);
});
