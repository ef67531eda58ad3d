import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { PeerRegistry } from "./peer_registry.ts";
import type { PeerHello } from "./peer_messages.ts";

const SELF = {
  vm: "vm0" as contracts.VmId,
  zone: "z1" as contracts.ZoneId,
  processorCores: 1,
};
const VMS = 14;

/** A registry that has received hellos of 13 peers. */
class Fixture {
  nowMs = 0;
  readonly registry = new PeerRegistry({
    self: SELF,
    clock: { nowMs: () => this.nowMs },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    voters: () => new Set(),
  });
  #sequence = 0;

  constructor() {
    for (let index = 1; index < VMS; index++) this.receiveHello(index);
  }

  receiveHello(
    index: number,
    { isLeaving = false, linkMbps }: {
      readonly isLeaving?: boolean;
      readonly linkMbps?: number;
    } = {},
  ): void {
    const hello: PeerHello = {
      vm: `vm${index}` as contracts.VmId,
      incarnation: "r1" as contracts.Incarnation,
      host: "10.0.0.1",
      port: 1,
      zone: `z${1 + index % 2}` as contracts.ZoneId,
      processorCores: 1,
      linkMbps,
      sequence: this.#sequence++,
      standsMs: 800,
      hasStore: true,
      isLeaving,
      maps: {},
    };
    this.registry.noteHello(hello, undefined);
  }

  /** Advances the clock while VMs for which `isUp` holds send hellos. */
  advance(ms: number, isUp: (index: number) => boolean): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += 200) {
      for (let index = 1; index < VMS; index++) {
        if (isUp(index)) this.receiveHello(index);
      }
      this.registry.expire();
    }
  }
}

/** Guards against new cells each time that a busy VM misses heartbeats. */
test("should keep the cells while a VM misses heartbeats for a moment", () => {
  const fixture = new Fixture();
  const { cellPlan } = fixture.registry;
  expect(cellPlan.isSingle).toEqual(false);
  fixture.advance(2_000, (index) => index > 2);
  expect(fixture.registry.live.length).toEqual(VMS - 3);
  expect(fixture.registry.cellPlan === cellPlan).toEqual(true);
  fixture.advance(1_000, () => true);
  expect(fixture.registry.cellPlan === cellPlan).toEqual(true);
  fixture.advance(7_000, (index) => index > 2);
  expect(fixture.registry.cellPlan.isSingle).toEqual(true);
});

test("should remove a VM that announces its leave from the cells at once", () => {
  const fixture = new Fixture();
  fixture.receiveHello(1, { isLeaving: true });
  fixture.receiveHello(2, { isLeaving: true });
  expect(fixture.registry.cellPlan.isSingle).toEqual(true);
});

test("should list the VMs of an availability zone that are up", () => {
  const fixture = new Fixture();
  expect(fixture.registry.liveVmsIn("z1" as contracts.ZoneId).map(String))
    .toEqual(["vm0", "vm10", "vm12", "vm2", "vm4", "vm6", "vm8"]);
  fixture.receiveHello(2, { isLeaving: true });
  fixture.advance(2_000, (index) => index > 4);
  expect(fixture.registry.liveVmsIn("z1" as contracts.ZoneId).map(String))
    .toEqual(["vm0", "vm10", "vm12", "vm6", "vm8"]);
});

/**
 * Guards against a lost VM that other cells take for up until its hello
 * expires.
 */
test("should accept a cell's report that a VM has failed", () => {
  const fixture = new Fixture();
  const report = {
    vm: "vm3" as contracts.VmId,
    incarnation: "r1" as contracts.Incarnation,
    sequence: 2,
  };
  // The last message that the cell received is older than the last one here.
  fixture.registry.noteFailure({ ...report, sequence: 1 });
  expect(fixture.registry.expire().length).toEqual(0);
  fixture.registry.noteFailure(report);
  expect(fixture.registry.expire().map(({ vm }) => String(vm))).toEqual([
    "vm3",
  ]);
  fixture.receiveHello(3);
  expect(fixture.registry.live.some(({ vm }) => vm === report.vm)).toEqual(
    true,
  );
});

/**
 * Guards against a VM that takes over the share of one that is only
 * partitioned.
 */
test("should keep a lost VM known, and remove it after a minute", () => {
  const fixture = new Fixture();
  const lost = "vm2" as contracts.VmId;
  expect(fixture.registry.knownVmsIn(SELF.zone).includes(lost)).toEqual(true);
  fixture.advance(5_000, (index) => index !== 2);
  expect(fixture.registry.liveVmsIn(SELF.zone).includes(lost)).toEqual(false);
  expect(fixture.registry.knownVmsIn(SELF.zone).includes(lost)).toEqual(true);
  expect(fixture.registry.knownVmsIn(undefined).length).toEqual(VMS);
  fixture.advance(60_000, (index) => index !== 2);
  expect(fixture.registry.knownVmsIn(SELF.zone).includes(lost)).toEqual(false);
  expect(fixture.registry.knownVmsIn(undefined).length).toEqual(VMS - 1);
});

/** Rankings are kept as long as the weights are the same map. */
test("should keep the weights for roles until one changes", () => {
  const fixture = new Fixture();
  const weights = fixture.registry.roleWeights;
  expect(weights.size).toEqual(VMS);
  fixture.receiveHello(1, { isLeaving: true });
  expect(fixture.registry.roleWeights === weights).toEqual(true);
  fixture.receiveHello(VMS, { linkMbps: 4 });
  const changed = fixture.registry.roleWeights;
  expect(changed.get(`vm${VMS}` as contracts.VmId)).toEqual(0.5);
});
