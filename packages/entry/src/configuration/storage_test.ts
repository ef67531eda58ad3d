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
const VALID_SET = [PLACE, ...PARTNERS, SERVICE, split(60, 40)];

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

/** Injects the fault into the first matching call only. */
function once(call: string, fault: Fault): (call: string) => Fault {
  let isDone = false;
  return (each) => {
    if (isDone || !each.startsWith(call)) return "none";
    isDone = true;
    return fault;
  };
}

// Two partners open the same cost split and both save. Without the condition on
// the version, the later one would silently overwrite the other's percentages.
test("should accept one of two concurrent edits and report a conflict", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  const { version } = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
  const results = await Promise.all([
    fixture.edit(split(55, 45), version, "ana"),
    fixture.edit(split(50, 50), version, "blas"),
  ]);
  const failed = results.filter((each) => each.isErr());
  expect(failed.length).toEqual(1);
  const error = failed[0]!._unsafeUnwrapErr();
  const now = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
  expect(error.kind).toEqual("conflict");
  expect(error.message.includes(now.lastEdit.operator)).toEqual(true);
  expect(error.message.includes(now.version)).toEqual(true);
});

interface LostReplyCase {
  readonly name: string;
  readonly call: string;
  readonly run: (fixture: StorageFixture) => Promise<{ isOk(): boolean }>;
}

const LOST_REPLIES: readonly LostReplyCase[] = [
  {
    name: "creation",
    call: "put drafts/",
    run: (fixture) =>
      fixture.drafts.create(object({ ...PLACE, name: "yoff" }), "a"),
  },
  {
    name: "edit",
    call: "put drafts/",
    run: async (fixture) => {
      const { version } = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
      return await fixture.edit(split(50, 50), version);
    },
  },
  {
    name: "deletion",
    call: "delete drafts/",
    run: async (fixture) => {
      const { version } = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
      return await fixture.drafts.remove(SPLIT, version);
    },
  },
  {
    name: "publish",
    call: "put config/current",
    run: (fixture) => fixture.publish(),
  },
];

for (const { name, call, run } of LOST_REPLIES) {
  for (const fault of ["lost-reply", "down"] as const) {
    // The store's reply is lost, or the call never reached the store. If a
    // failure were reported, the operator would repeat a change that is already
    // stored, or believe that it isn't.
    test(`should complete the ${name} after "${fault}"`, async () => {
      const fixture = new StorageFixture();
      await fixture.fill(VALID_SET);
      fixture.store.fault = once(call, fault);
      expect((await run(fixture)).isOk()).toEqual(true);
    });
  }
}

// The reply to a publish is lost, and another operator publishes before it is
// read back. If a conflict were reported, the first operator would publish the
// same change again.
test("should recognize its own publish below a later one", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  fixture.store.fault = once("put config/current", "lost-reply");
  fixture.store.afterWrite = (name) => {
    if (name !== configuration.CURRENT_NAME) return;
    const stored = fixture.store.objects.get(name)!;
    const current = JSON.parse(stored.value);
    const later = { ...current.history[0], revision: 2, nonce: "other" };
    current.history.push(later);
    const value = JSON.stringify(current);
    fixture.store.objects.set(name, { ...stored, version: "later", value });
  };
  const published = await fixture.publish();
  expect(published._unsafeUnwrap().revision).toEqual(1);
});

// The store becomes unavailable during a publish and doesn't recover. The
// operator must not be told that nothing was published.
test("should report an unknown outcome when the store stays down", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  let isDown = false;
  fixture.store.fault = (call) => {
    if (isDown) return "down";
    isDown = call === "put config/current";
    return isDown ? "lost-reply" : "none";
  };
  const published = await fixture.publish();
  expect(published._unsafeUnwrapErr().kind).toEqual("unknown");
});

// Two operators publish at the same time. If both succeeded, one of them would
// believe in a configuration that isn't in force.
test("should accept one of two concurrent publishes", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  const results = await Promise.all([fixture.publish(), fixture.publish()]);
  const kinds = results.map((each) =>
    each.match(() => "published", (error) => error.kind)
  );
  expect(kinds.sort()).toEqual(["conflict", "published"]);
});

// Another partner edits a draft between the check and the publish. The
// unchecked edit must not come into force.
test("should not publish drafts that changed after the check", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  const { tag } = (await fixture.publisher.plan())._unsafeUnwrap();
  const { version } = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
  await fixture.edit(split(50, 50), version);
  const published = await fixture.publisher.publish({
    operator: "ana",
    tag,
    knownRevision: 0,
    forbidden: () => [],
  });
  expect(published._unsafeUnwrapErr().kind).toEqual("drafts-changed");
});

test("should not publish drafts that fail validation", async () => {
  const fixture = new StorageFixture();
  await fixture.fill([PLACE, ...PARTNERS, SERVICE, split(60, 30)]);
  const error = (await fixture.publish())._unsafeUnwrapErr();
  expect(error.kind).toEqual("findings");
  expect(fixture.store.objects.has(configuration.CURRENT_NAME)).toEqual(false);
});

test("should not publish objects that the operator has no rights to", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  const error = (await fixture.publish(0, ["place/plateau"]))
    ._unsafeUnwrapErr();
  expect(error.kind).toEqual("forbidden");
});

// The platform restores its store from an old backup. A publish with a revision
// that entry VMs have already passed would be accepted but never applied.
test("should publish above every revision known to be in force", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  expect((await fixture.publish(7))._unsafeUnwrap().revision).toEqual(8);
});

test("should split objects above the value limit and read them back", async () => {
  const limitBytes = 2000;
  const fixture = new StorageFixture(limitBytes);
  const places = Array.from(
    { length: 40 },
    (_, index) =>
      object({ ...PLACE, name: `zone-${index}`, region: "Médina é".repeat(9) }),
  );
  await fixture.fill([...VALID_SET, ...places]);
  const published = (await fixture.publish())._unsafeUnwrap();
  const read = (await fixture.reader.readNewer(0))._unsafeUnwrap();
  expect(read?.config).toEqual(published);
  const chunks = [...fixture.store.objects.values()]
    .filter((each) => each.name.startsWith(configuration.CHUNK_PREFIX));
  expect(chunks.length > 2).toEqual(true);
  expect(chunks.every((each) => each.value.length <= limitBytes))
    .toEqual(true);
});

test("should keep the chunks of the last two revisions only", async () => {
  const fixture = new StorageFixture(500);
  await fixture.fill(VALID_SET);
  for (const percent of [50, 40, 30, 20]) {
    const { version } = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
    await fixture.edit(split(percent, 100 - percent), version);
    (await fixture.publish())._unsafeUnwrap();
  }
  const revisions = [...fixture.store.objects.keys()]
    .filter((name) => name.startsWith(configuration.CHUNK_PREFIX))
    .map((name) => name.slice(configuration.CHUNK_PREFIX.length)[0]);
  expect([...new Set(revisions)].sort()).toEqual(["3", "4"]);
});

test("should report objects with a wrong checksum as unreadable", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  await fixture.publish();
  const name = configuration.CURRENT_NAME;
  const stored = fixture.store.objects.get(name)!;
  const value = stored.value.replace("60", "99");
  fixture.store.objects.set(name, { ...stored, value });
  const read = await fixture.reader.readNewer(0);
  expect(read._unsafeUnwrapErr().kind).toEqual("unreadable");
});

// A server is drained during a publish, and the drain's write loses the race.
// Without a retry the operator would see no error, but the server would still
// receive requests.
test("should keep drains across concurrent and later publishes", async () => {
  const fixture = new StorageFixture();
  await fixture.fill(VALID_SET);
  await fixture.publish();
  const { version } = (await fixture.drafts.get(SPLIT))._unsafeUnwrap();
  await fixture.edit(split(50, 50), version);
  const server = "a-1" as contracts.ServerId;
  const drain = { operator: "ana", server, reason: "disk", knownRevision: 1 };
  const [drained] = await Promise.all([
    fixture.publisher.setDrain({ ...drain, isDrained: true }),
    fixture.publish(1),
  ]);
  expect(drained.isOk()).toEqual(true);
  await fixture.publish(1);
  const read = (await fixture.reader.readNewer(0))._unsafeUnwrap();
  expect(read?.config.drains?.map((each) => each.server)).toEqual([server]);
  expect(read?.config.objects.at(0)).toEqual(split(50, 50));
  const returned = await fixture.publisher.setDrain({
    ...drain,
    isDrained: false,
  });
  expect(returned._unsafeUnwrap().drains).toEqual([]);
});
