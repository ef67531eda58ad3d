import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { ServerRegistry } from "./server_registry.ts";
import { ZoneEvacuations } from "./zone_evacuations.ts";

const SERVICE = "s" as contracts.ServiceId;
const PREFIX = "servers/";
const ZONE = "z" as contracts.ZoneId;
const EVACUATION = `evacuations/${ZONE}`;
/** This VM learns of changes as soon as they are made. */
const AT_ONCE = { ageMs: 0 };
const SILENT = { debug() {}, info() {}, warn() {}, error() {} };

class Fixture {
  nowMs = 0;
  storeCalmMs = 60_000;
  changes = 0;
  /** Remaining warm-up time in the next entry. */
  warmUpLeftMs = 0;
  /** Whether the next entry says that its server drains. */
  isDraining = false;
  readonly clock = { nowMs: () => this.nowMs };
  readonly evacuations = new ZoneEvacuations({
    adapter: {
      decodeEvacuation: (name) =>
        neverthrow.ok(name.slice("evacuations/".length) as contracts.ZoneId),
    },
    zones: new Set([ZONE]),
    clock: this.clock,
    log: SILENT,
  });
  readonly registry = new ServerRegistry({
    adapter: {
      prefixes: {
        servers: PREFIX,
        config: "config/",
        configObject: "x",
        evacuations: "evacuations/",
        poisonRequests: "poisonrequests/",
      },
      decodeServer: (name) =>
        neverthrow.ok({
          service: SERVICE,
          server: name.slice(PREFIX.length) as contracts.ServerId,
          bornMs: 1,
          slots: 3,
          zone: ZONE,
          host: "10.0.0.1",
          port: 1,
          isDraining: this.isDraining,
          warmUpLeftMs: this.warmUpLeftMs,
        }),
    },
    storeCalmMs: () => this.storeCalmMs,
    evacuations: this.evacuations,
    evacuationGraceMs: 2_500,
    drainBoundMs: 2_500,
    coldStartOf: () => ({ warmUpMs: 3_000, requestsPerSecond: 5 }),
    clock: this.clock,
    log: SILENT,
  });

  constructor() {
    this.registry.onChange(() => this.changes++);
  }

  get staying(): string[] {
    return this.registry.staying(SERVICE).map(({ server }) => server);
  }
}

function objectOf(server: string): contracts.StoredObject {
  return { name: `${PREFIX}${server}`, version: "1", value: "{}" };
}

/** Guards against repeated work when hundreds of servers start together. */
test("should notify listeners once for a batch of changes", () => {
  const fixture = new Fixture();
  fixture.registry.applyChanges(
    ["a", "b", "c"].map((server) => ({
      name: `${PREFIX}${server}`,
      object: objectOf(server),
    })),
    AT_ONCE,
  );
  expect(fixture.changes).toEqual(1);
  expect(fixture.staying).toEqual(["a", "b", "c"]);
});

/** Guards against dropping servers whose entries expired in a store outage. */
test("should keep a server whose entry expired until the store is stable", () => {
  const fixture = new Fixture();
  fixture.registry.applyList([objectOf("a"), objectOf("b")], AT_ONCE);
  fixture.storeCalmMs = 0;
  fixture.registry.applyChanges([{ name: `${PREFIX}a` }], AT_ONCE);
  fixture.registry.tick();
  expect(fixture.staying).toEqual(["a", "b"]);
  fixture.storeCalmMs = 3_000;
  fixture.registry.tick();
  expect(fixture.staying).toEqual(["b"]);
});

/** Guards against requests to a server that drained before the VM started. */
test("should give no grace to a server that is draining in the first list", () => {
  const fixture = new Fixture();
  fixture.isDraining = true;
  fixture.registry.applyList([objectOf("a")], { ageMs: undefined });
  expect(fixture.registry.servers(SERVICE)).toEqual([]);
});

/** Guards against a grace that begins when a VM learns of a drain. */
test("should end the grace of a drain in time, however late it is learned of", () => {
  const graceMs = (ageMs: number | undefined) => {
    const fixture = new Fixture();
    fixture.registry.applyList([objectOf("a")], AT_ONCE);
    fixture.isDraining = true;
    const change = { name: `${PREFIX}a`, object: objectOf("a") };
    fixture.registry.applyChanges([change], { ageMs });
    const owner = { server: "a" as contracts.ServerId, bornMs: 1 };
    while (fixture.registry.mayReceive(owner)) fixture.nowMs += 100;
    expect(fixture.registry.servers(SERVICE)).toEqual([]);
    return fixture.nowMs;
  };
  expect(graceMs(0)).toEqual(1_200);
  expect(graceMs(1_000)).toEqual(500);
  expect(graceMs(1_800)).toEqual(0);
  expect(graceMs(undefined)).toEqual(0);
});

/** Guards against the same for an evacuation that a VM learns of late. */
test("should end the grace of an evacuation in time, however late it is learned of", () => {
  const fixture = new Fixture();
  fixture.registry.applyList([objectOf("a")], AT_ONCE);
  const evacuation = { name: EVACUATION, version: "2", value: "{}" };
  fixture.evacuations.applyList([evacuation], { ageMs: 2_000 });
  expect(fixture.registry.servers(SERVICE).length).toEqual(1);
  fixture.nowMs = 500;
  expect(fixture.registry.servers(SERVICE)).toEqual([]);
});

/** Guards against new requests to a zone that the operator evacuates. */
test("should grant no keys and soon send no requests to an evacuated zone", () => {
  const fixture = new Fixture();
  fixture.registry.applyList([objectOf("a")], AT_ONCE);
  fixture.evacuations.applyChanges([{
    name: EVACUATION,
    object: { name: EVACUATION, version: "2", value: "{}" },
  }], AT_ONCE);
  expect(fixture.staying).toEqual([]);
  expect(fixture.registry.servers(SERVICE).map((it) => it.isDraining))
    .toEqual([true]);
  fixture.nowMs = 2_500;
  fixture.registry.tick();
  expect(fixture.registry.servers(SERVICE)).toEqual([]);
  expect(fixture.changes).toEqual(3);
});

/** Guards against full load on servers that became cold while evacuated. */
test("should treat servers as cold when their zone's evacuation ends", () => {
  const fixture = new Fixture();
  fixture.registry.applyList([objectOf("a")], AT_ONCE);
  fixture.evacuations.applyList([
    { name: EVACUATION, version: "2", value: "{}" },
  ], AT_ONCE);
  fixture.nowMs = 8_000;
  fixture.evacuations.applyChanges([{ name: EVACUATION }], AT_ONCE);
  expect(fixture.staying).toEqual(["a"]);
  const server = "a" as contracts.ServerId;
  expect(fixture.registry.coldUntilMs(server)).toEqual(11_000);
});

/** Guards against full load on a server that reports that it is cold. */
test("should count the warm-up time from the server's last entry", () => {
  const fixture = new Fixture();
  fixture.registry.applyList([objectOf("a")], AT_ONCE);
  const server = "a" as contracts.ServerId;
  expect(fixture.registry.coldUntilMs(server) <= fixture.nowMs).toEqual(true);
  fixture.nowMs = 1_000;
  fixture.warmUpLeftMs = 2_200;
  fixture.registry.applyChanges([{
    name: `${PREFIX}a`,
    object: objectOf("a"),
  }], AT_ONCE);
  expect(fixture.registry.coldUntilMs(server)).toEqual(3_200);
});

/** Guards against an evacuation object with a mistyped zone. */
test("should ignore the evacuation of an unknown zone", () => {
  const fixture = new Fixture();
  fixture.evacuations.applyList([
    { name: "evacuations/nowhere", version: "2", value: "{}" },
  ], AT_ONCE);
  expect(fixture.evacuations.zones).toEqual([]);
});

/** Guards against notifications at each tick after one server was removed. */
test("should notify listeners once that a server gets no more requests", () => {
  const fixture = new Fixture();
  fixture.registry.applyList([objectOf("a"), objectOf("b")], AT_ONCE);
  fixture.registry.applyChanges([{ name: `${PREFIX}a` }], AT_ONCE);
  expect(fixture.changes).toEqual(2);
  for (; fixture.nowMs < 59_000; fixture.nowMs += 200) fixture.registry.tick();
  expect(fixture.changes).toEqual(3);
  expect(fixture.registry.ids().size).toEqual(2);
  fixture.nowMs = 60_200;
  fixture.registry.tick();
  expect(fixture.changes).toEqual(4);
  expect(fixture.registry.ids().size).toEqual(1);
});

/** A registration that is written again must not bring back what leaves. */
test("should drain a server that says it leaves, whatever is registered", () => {
  const fixture = new Fixture();
  const { registry } = fixture;
  const leaving = { server: "s1" as contracts.ServerId, bornMs: 1 };
  registry.applyList([objectOf("s1"), objectOf("s2")], AT_ONCE);
  expect(registry.noteLeaving({ ...leaving, bornMs: 0 })).toEqual(false);
  expect(registry.noteLeaving(leaving)).toEqual(true);
  expect(registry.noteLeaving(leaving)).toEqual(false);
  expect(fixture.staying).toEqual(["s2"]);
  for (fixture.nowMs = 0; fixture.nowMs < 120_000; fixture.nowMs += 1_000) {
    const name = `${PREFIX}s1`;
    registry.applyChanges([{ name, object: objectOf("s1") }], AT_ONCE);
    registry.tick();
  }
  expect(fixture.staying).toEqual(["s2"]);
  expect(registry.leaving()).toEqual([leaving]);
});

/** Servers that have left must not be kept for ever. */
test("should forget a server that said it leaves once its entry is gone", () => {
  const fixture = new Fixture();
  const { registry } = fixture;
  const leaving = { server: "s1" as contracts.ServerId, bornMs: 1 };
  registry.applyList([objectOf("s1")], AT_ONCE);
  registry.noteLeaving(leaving);
  registry.applyList([], AT_ONCE);
  expect(registry.leaving()).toEqual([]);
  fixture.nowMs = 61_000;
  registry.tick();
  expect(registry.ids().size).toEqual(0);
});
