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
  election: ReaderElection;
  startedAtMs: number;
  isUp: boolean;
  hasStore: boolean;
  attempts: number;
  /** When the attempt in progress ends. */
  attemptEndsAtMs: number | undefined;
}

/** VMs that review every 100 ms and receive readers' reports 200 ms late. */
class Model {
  readonly vms: ModelVm[];
  nowMs = 0;
  storeFailedAtMs = Number.NEGATIVE_INFINITY;
  /** How long the store takes to answer. */
  storeMs = 0;
  /** How many times a VM became a reader. */
  becameReader = 0;
  /** Whether a report from one VM to another is lost. */
  isLost: (from: contracts.VmId, to: contracts.VmId) => boolean = () => false;

  constructor(count: number) {
    this.vms = Array.from({ length: count }, (_, index) => {
      const vm = `vm${String(index).padStart(3, "0")}` as contracts.VmId;
      return {
        vm,
        election: new ReaderElection(vm),
        startedAtMs: 0,
        isUp: true,
        hasStore: true,
        attempts: 0,
        attemptEndsAtMs: undefined,
      };
    });
  }

  get readers(): string[] {
    return this.vms.filter((it) => it.isUp && it.election.isReader)
      .map(({ vm }) => vm);
  }

  restart(vm: ModelVm): void {
    Object.assign(vm, {
      election: new ReaderElection(vm.vm),
      startedAtMs: this.nowMs,
      isUp: true,
      hasStore: true,
      attemptEndsAtMs: undefined,
    });
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += REVIEW_MS;
      this.#deliverReports();
      for (const vm of this.vms) if (vm.isUp) this.#review(vm);
    }
  }

  /** Runs until a reader reaches the store. Returns the time it took. */
  timeUntilReader(limitMs: number): number {
    const startMs = this.nowMs;
    while (this.nowMs - startMs < limitMs) {
      const isRead = this.vms.some((it) =>
        it.isUp && it.hasStore && it.election.isReader
      );
      if (isRead) break;
      this.run(REVIEW_MS);
    }
    return this.nowMs - startMs;
  }

  #deliverReports(): void {
    const receivedAtMs = this.nowMs - 200;
    for (const from of this.vms) {
      if (!from.isUp || !from.election.isReader || !from.hasStore) continue;
      for (const to of this.vms) {
        if (to === from || this.isLost(from.vm, to.vm)) continue;
        to.election.noteReader({
          vm: from.vm,
          receivedAtMs,
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
      // Lost VMs stay in the ranking, as their loss is detected late.
      ranking: this.vms.map((it) => it.vm),
      isSeed: false,
    };
    if (vm.attemptEndsAtMs === undefined) {
      if (vm.election.review(view) !== "try") return;
      vm.attempts++;
      vm.attemptEndsAtMs = this.nowMs + this.storeMs;
    }
    if (this.nowMs < vm.attemptEndsAtMs) return;
    vm.attemptEndsAtMs = undefined;
    vm.election.noteAttempt(vm.hasStore, view);
    if (vm.election.isReader) this.becameReader++;
  }
}

test("should have the first two VMs of the ranking read and no other", () => {
  const model = new Model(200);
  model.run(10_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against every VM reading when all start at the same time. */
test("should have few VMs try the store when all start at once", () => {
  const model = new Model(200);
  model.run(10_000);
  const attempts = model.vms.reduce((sum, vm) => sum + vm.attempts, 0);
  expect(attempts <= 8).toEqual(true);
});

/** Guards against a reader for each VM whose attempt overlapped the first. */
test("should have few VMs read when all start at once and the store is slow", () => {
  const model = new Model(200);
  model.storeMs = 700;
  model.run(10_000);
  expect(model.becameReader).toEqual(2);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against changes that nobody reads after the loss of the readers. */
test("should read again within 2 s of the loss of both readers", () => {
  const model = new Model(200);
  model.run(5_000);
  for (const vm of model.vms.slice(0, 6)) vm.isUp = false;
  expect(model.timeUntilReader(5_000) <= 2_000).toEqual(true);
  model.run(3_000);
  expect(model.readers.length <= 3).toEqual(true);
});

/** Guards against a thundering herd at an unavailable store. */
test("should have few VMs try an unavailable store", () => {
  const model = new Model(200);
  model.run(5_000);
  const before = model.vms.reduce((sum, vm) => sum + vm.attempts, 0);
  for (const vm of model.vms) vm.hasStore = false;
  model.run(5_000);
  const attempts = model.vms.reduce((sum, vm) => sum + vm.attempts, 0) - before;
  expect(attempts <= 50).toEqual(true);
  expect(model.readers).toEqual(["vm000", "vm001"]);
  for (const vm of model.vms) vm.hasStore = true;
  model.run(4_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against readers that the store refuses while it serves others. */
test("should replace readers that can't reach the store while others can", () => {
  const model = new Model(50);
  model.run(5_000);
  for (const vm of model.vms.slice(0, 2)) vm.hasStore = false;
  expect(model.timeUntilReader(5_000) <= 2_000).toEqual(true);
  model.run(2_000);
  expect(model.readers).toEqual(["vm002", "vm003"]);
  for (const vm of model.vms) vm.hasStore = true;
  model.run(6_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

/** Guards against a partition without a reader, which would miss changes. */
test("should read on each side of a network partition", () => {
  const model = new Model(40);
  model.run(5_000);
  model.isLost = (from, to) => (from < "vm020") !== (to < "vm020");
  model.run(5_000);
  expect(model.readers.some((vm) => vm >= "vm020")).toEqual(true);
  model.isLost = () => false;
  model.run(5_000);
  expect(model.readers).toEqual(["vm000", "vm001"]);
});

test("should keep its readers while a fifth of their reports is lost", () => {
  const model = new Model(60);
  let count = 0;
  model.isLost = () => count++ % 5 === 0;
  model.run(8_000);
  const before = model.vms.reduce((sum, vm) => sum + vm.attempts, 0);
  model.run(20_000);
  const attempts = model.vms.reduce((sum, vm) => sum + vm.attempts, 0) - before;
  expect(attempts).toEqual(0);
});

test("should rank the VM with the most cores of each availability zone first", () => {
  const candidates = [["a1", "a", 1], ["a2", "a", 4], ["b1", "b", 2]]
    .map(([vm, zone, processorCores]) =>
      ({ vm, zone, processorCores }) as ReaderCandidate
    );
  const order = rankReaders(candidates, (vms) => vms);
  expect(order.map(String)).toEqual(["a2", "b1", "a1"]);
});

test("should compute how long the store has been healthy from readers' reports", () => {
  const election = new ReaderElection("vm1" as contracts.VmId);
  expect(election.storeHealthyMs(0)).toEqual(0);
  const reader = "vm2" as contracts.VmId;
  election.noteReader({ vm: reader, receivedAtMs: 1_000, storeCalmMs: 400 });
  expect(election.storeHealthyMs(1_500)).toEqual(900);
  expect(election.storeHealthyMs(2_500)).toEqual(0);
});
