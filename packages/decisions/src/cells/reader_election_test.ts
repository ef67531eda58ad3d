import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import {
  rankReaders,
  type ReaderCandidate,
  ReaderElection,
  type ReaderView,
} from "./reader_election.ts";

const REVIEW_MS = 100;

interface ModelVm {
  readonly vm: contracts.VmId;
  duty: ReaderElection;
  startedAtMs: number;
  isUp: boolean;
  hasStore: boolean;
  tries: number;
  /** When the attempt under way ends. */
  triedAtMs: number | undefined;
}

/** VMs that review their duty each 100 ms and hear readers' words 200 ms late. */
class Model {
  readonly vms: ModelVm[];
  nowMs = 0;
  storeFailedAtMs = Number.NEGATIVE_INFINITY;
  /** How long the store takes to answer. */
  storeMs = 0;
  /** VMs that became readers, again and again too. */
  begun = 0;
  /** Whether a word from one VM to another is lost. */
  isLost: (from: contracts.VmId, to: contracts.VmId) => boolean = () => false;

  constructor(count: number) {
    this.vms = Array.from({ length: count }, (_, index) => {
      const vm = `vm${String(index).padStart(3, "0")}` as contracts.VmId;
      return {
        vm,
        duty: new ReaderElection(vm),
        startedAtMs: 0,
        isUp: true,
        hasStore: true,
        tries: 0,
        triedAtMs: undefined,
      };
    });
  }

  get readers(): string[] {
    return this.vms.filter((it) => it.isUp && it.duty.isReader)
      .map(({ vm }) => vm);
  }

  restart(vm: ModelVm): void {
    Object.assign(vm, {
      duty: new ReaderElection(vm.vm),
      startedAtMs: this.nowMs,
      isUp: true,
      hasStore: true,
      triedAtMs: undefined,
    });
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += REVIEW_MS;
      this.#tell();
      for (const vm of this.vms) if (vm.isUp) this.#review(vm);
    }
  }

  /** First moment at which a reader that reaches the store is there. */
  untilRead(limitMs: number): number {
    const startMs = this.nowMs;
    while (this.nowMs - startMs < limitMs) {
      const isRead = this.vms.some((it) =>
        it.isUp && it.hasStore && it.duty.isReader
      );
      if (isRead) break;
      this.run(REVIEW_MS);
    }
    return this.nowMs - startMs;
  }

  #tell(): void {
    const heardAtMs = this.nowMs - 200;
    for (const from of this.vms) {
      if (!from.isUp || !from.duty.isReader || !from.hasStore) continue;
      for (const to of this.vms) {
        if (to === from || this.isLost(from.vm, to.vm)) continue;
        to.duty.noteReader({
          vm: from.vm,
          receivedAtMs: heardAtMs,
          storeCalmMs: 5_000,
        });
      }
    }
  }

  #review(vm: ModelVm): void {
    const view: ReaderView = {
      nowMs: this.nowMs,
      uptimeMs: this.nowMs - vm.startedAtMs,
      hasStore: vm.hasStore,
      // Lost VMs stay in the order: their loss is known late.
      ranking: this.vms.map((it) => it.vm),
      isSeed: false,
    };
    if (vm.triedAtMs === undefined) {
      if (vm.duty.review(view) !== "try") return;
      vm.tries++;
      vm.triedAtMs = this.nowMs + this.storeMs;
    }
    if (this.nowMs < vm.triedAtMs) return;
    vm.triedAtMs = undefined;
    vm.duty.noteAttempt(vm.hasStore, view);
    if (vm.duty.isReader) this.begun++;
  }
}

test("should have the first two of the order read and no other", () => {
  const model = new Model(200);
  model.run(10_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against every VM reading when all start at the same moment. */
test("should have few VMs try the store when all start at once", () => {
  const model = new Model(200);
  model.run(10_000);
  const tries = model.vms.reduce((sum, vm) => sum + vm.tries, 0);
  expect(tries <= 8).toEqual(true);
});

/** Guards against a reader for each VM that tried while the first ones did. */
test("should have few VMs read when all start at once and the store is slow", () => {
  const model = new Model(200);
  model.storeMs = 700;
  model.run(10_000);
  expect(model.begun).toEqual(2);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against changes that nobody reads after readers are lost. */
test("should read again within 2 s of the loss of both readers", () => {
  const model = new Model(200);
  model.run(5_000);
  for (const vm of model.vms.slice(0, 6)) vm.isUp = false;
  expect(model.untilRead(5_000) <= 2_000).toEqual(true);
  model.run(3_000);
  expect(model.readers.length <= 3).toEqual(true);
});

/** Guards against a herd of callers at a store that is away. */
test("should have few VMs try a store that is away", () => {
  const model = new Model(200);
  model.run(5_000);
  const before = model.vms.reduce((sum, vm) => sum + vm.tries, 0);
  for (const vm of model.vms) vm.hasStore = false;
  model.run(5_000);
  const tries = model.vms.reduce((sum, vm) => sum + vm.tries, 0) - before;
  expect(tries <= 50).toEqual(true);
  expect(model.readers).toEqual(["vm000", "vm001"]);
  for (const vm of model.vms) vm.hasStore = true;
  model.run(4_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against readers that the store turns away while it serves others. */
test("should replace readers that alone do not reach the store", () => {
  const model = new Model(50);
  model.run(5_000);
  for (const vm of model.vms.slice(0, 2)) vm.hasStore = false;
  expect(model.untilRead(5_000) <= 2_000).toEqual(true);
  model.run(2_000);
  expect(model.readers).toEqual(["vm002", "vm003"]);
  for (const vm of model.vms) vm.hasStore = true;
  model.run(6_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against a group that hears no reader and so learns no change. */
test("should read in each of two groups that do not hear one another", () => {
  const model = new Model(40);
  model.run(5_000);
  model.isLost = (from, to) => (from < "vm020") !== (to < "vm020");
  model.run(5_000);
  expect(model.readers.some((vm) => vm >= "vm020")).toEqual(true);
  model.isLost = () => false;
  model.run(5_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

test("should keep its readers while a fifth of their words is lost", () => {
  const model = new Model(60);
  let count = 0;
  model.isLost = () => count++ % 5 === 0;
  model.run(8_000);
  const before = model.vms.reduce((sum, vm) => sum + vm.tries, 0);
  model.run(20_000);
  const tries = model.vms.reduce((sum, vm) => sum + vm.tries, 0) - before;
  expect(tries).toEqual(0);
});

test("should order the strongest of each availability zone first", () => {
  const candidates = [["a1", "a", 1], ["a2", "a", 4], ["b1", "b", 2]]
    .map(([vm, zone, processorCores]) =>
      ({ vm, zone, processorCores }) as ReaderCandidate
    );
  const order = rankReaders(candidates, (vms) => vms);
  expect(order.map(String)).toEqual(["a2", "b1", "a1"]);
});

test("should count the time since the store failed from readers' words", () => {
  const duty = new ReaderElection("vm1" as contracts.VmId);
  expect(duty.storeHealthyMs(0)).toEqual(0);
  const reader = "vm2" as contracts.VmId;
  duty.noteReader({ vm: reader, receivedAtMs: 1_000, storeCalmMs: 400 });
  expect(duty.storeHealthyMs(1_500)).toEqual(900);
  expect(duty.storeHealthyMs(2_500)).toEqual(0);
});
