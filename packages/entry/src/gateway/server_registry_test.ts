import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as neverthrow from "neverthrow";
import { test } from "node:test";
import { ServerRegistry } from "./server_registry.ts";

const SERVICE = "s" as contracts.ServiceId;
const PREFIX = "servers/";

class Fixture {
  nowMs = 0;
  storeCalmMs = 60_000;
  changes = 0;
  readonly registry = new ServerRegistry({
    adapter: {
      prefixes: { servers: PREFIX, config: "config/", configObject: "x" },
      decodeServer: (name) =>
        neverthrow.ok({
          service: SERVICE,
          server: name.slice(PREFIX.length) as contracts.ServerId,
          bornMs: 1,
          slots: 3,
          zone: "z" as contracts.ZoneId,
          host: "10.0.0.1",
          port: 1,
          isDraining: false,
          warmUpLeftMs: 0,
        }),
    },
    storeCalmMs: () => this.storeCalmMs,
    clock: { nowMs: () => this.nowMs },
    log: { debug() {}, info() {}, warn() {}, error() {} },
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

/** Guards against work for each of hundreds of servers that start together. */
test("should tell its listeners once of changes that came together", () => {
  const fixture = new Fixture();
  fixture.registry.takeChanges(["a", "b", "c"].map((server) => ({
    name: `${PREFIX}${server}`,
    object: objectOf(server),
  })));
  expect(fixture.changes).toEqual(1);
  expect(fixture.staying).toEqual(["a", "b", "c"]);
});

/** Guards against servers taken for gone whose entry lapsed with the store away. */
test("should keep a server whose entry lapsed until the store is calm", () => {
  const fixture = new Fixture();
  fixture.registry.takeList([objectOf("a"), objectOf("b")]);
  fixture.storeCalmMs = 0;
  fixture.registry.takeChanges([{ name: `${PREFIX}a` }]);
  fixture.registry.tick();
  expect(fixture.staying).toEqual(["a", "b"]);
  fixture.storeCalmMs = 3_000;
  fixture.registry.tick();
  expect(fixture.staying).toEqual(["b"]);
});
