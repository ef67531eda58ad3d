import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { PeerRegistry } from "./peer_registry.ts";
import type { PeerHello } from "./peer_messages.ts";

const SELF = { vm: "vm0" as contracts.VmId, zone: "z1" as contracts.ZoneId };
const VMS = 14;

/** A book that has heard thirteen peers. */
class Fixture {
  nowMs = 0;
  readonly book = new PeerRegistry({
    self: SELF,
    clock: { nowMs: () => this.nowMs },
    log: { debug() {}, info() {}, warn() {}, error() {} },
    voters: () => new Set(),
  });
  #sequence = 0;

  constructor() {
    for (let index = 1; index < VMS; index++) this.hear(index);
  }

  hear(index: number, isLeaving = false): void {
    const hello: PeerHello = {
      vm: `vm${index}` as contracts.VmId,
      incarnation: "r1" as contracts.Incarnation,
      host: "10.0.0.1",
      port: 1,
      zone: `z${1 + index % 2}` as contracts.ZoneId,
      processorCores: 1,
      sequence: this.#sequence++,
      standsMs: 800,
      hasStore: true,
      isLeaving,
      maps: {},
    };
    this.book.noteHello(hello, undefined);
  }

  /** Lets time pass while the VMs named are heard. */
  pass(ms: number, isHeard: (index: number) => boolean): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += 200) {
      for (let index = 1; index < VMS; index++) {
        if (isHeard(index)) this.hear(index);
      }
      this.book.expire();
    }
  }
}

/** Guards against cells drawn anew each time that busy VMs miss a heartbeat. */
test("should keep the cells while a VM is lost for a moment", () => {
  const fixture = new Fixture();
  const { cellPlan: plan } = fixture.book;
  expect(plan.isSingle).toEqual(false);
  fixture.pass(2_000, (index) => index > 2);
  expect(fixture.book.live.length).toEqual(VMS - 3);
  expect(fixture.book.cellPlan === plan).toEqual(true);
  fixture.pass(1_000, () => true);
  expect(fixture.book.cellPlan === plan).toEqual(true);
  fixture.pass(7_000, (index) => index > 2);
  expect(fixture.book.cellPlan.isSingle).toEqual(true);
});

test("should draw cells at once without a VM that says it leaves", () => {
  const fixture = new Fixture();
  fixture.hear(1, true);
  fixture.hear(2, true);
  expect(fixture.book.cellPlan.isSingle).toEqual(true);
});

test("should name the VMs of an availability zone that are up", () => {
  const fixture = new Fixture();
  expect(fixture.book.liveVmsIn("z1" as contracts.ZoneId).map(String))
    .toEqual(["vm0", "vm10", "vm12", "vm2", "vm4", "vm6", "vm8"]);
  fixture.hear(2, true);
  fixture.pass(2_000, (index) => index > 4);
  expect(fixture.book.liveVmsIn("z1" as contracts.ZoneId).map(String))
    .toEqual(["vm0", "vm10", "vm12", "vm6", "vm8"]);
});

/** Guards against a lost VM that other cells count on until its hello expires. */
test("should take a cell's word that it has lost a VM", () => {
  const fixture = new Fixture();
  const loss = {
    vm: "vm3" as contracts.VmId,
    incarnation: "r1" as contracts.Incarnation,
    sequence: 2,
  };
  // The cell has heard it last before this VM did.
  fixture.book.noteFailure({ ...loss, sequence: 1 });
  expect(fixture.book.expire().length).toEqual(0);
  fixture.book.noteFailure(loss);
  expect(fixture.book.expire().map(({ vm }) => String(vm))).toEqual(["vm3"]);
  fixture.hear(3);
  expect(fixture.book.live.some(({ vm }) => vm === loss.vm)).toEqual(true);
});

/** Guards against a VM that takes the place of one that is only cut off. */
test("should go on naming a lost VM, and forget it after a minute", () => {
  const fixture = new Fixture();
  const lost = "vm2" as contracts.VmId;
  expect(fixture.book.knownVmsIn(SELF.zone).includes(lost)).toEqual(true);
  fixture.pass(5_000, (index) => index !== 2);
  expect(fixture.book.liveVmsIn(SELF.zone).includes(lost)).toEqual(false);
  expect(fixture.book.knownVmsIn(SELF.zone).includes(lost)).toEqual(true);
  expect(fixture.book.knownVmsIn(undefined).length).toEqual(VMS);
  fixture.pass(60_000, (index) => index !== 2);
  expect(fixture.book.knownVmsIn(SELF.zone).includes(lost)).toEqual(false);
  expect(fixture.book.knownVmsIn(undefined).length).toEqual(VMS - 1);
});
