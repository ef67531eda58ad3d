/** Random orders of requests, releases and failures of VMs at one server. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as fc from "fast-check";
import { test } from "node:test";
import * as admission from "./mod.ts";

const SERVER: admission.SlotServer = {
  service: "keyed" as contracts.ServiceId,
  server: "s1" as contracts.ServerId,
  bornMs: 1,
  slots: 3,
};
const ROUTE = { name: "r", priority: 1, targetLatencyMs: 300 };
const VM_COUNT = 3;
const SWEEP_INTERVAL_MS = 100;
const REPORT_INTERVAL_MS = 500;
/** A silent VM counts as failed after this time, at the next sweep. */
const FAILURE_MS = 2_000 + SWEEP_INTERVAL_MS;
/** One request may be granted beyond the slots, to follow at once. */
const PREFETCHED = 1;

type Step =
  | { readonly kind: "request" | "release" | "fail"; readonly vm: number }
  | { readonly kind: "wait"; readonly timeMs: number };

interface ModelVm {
  readonly vm: contracts.VmId;
  readonly held: Set<number>;
  readonly pending: Set<number>;
  isAlive: boolean;
  nextId: number;
}

class Model {
  nowMs = 10_000;
  #sweptMs = 10_000;
  #reportedMs = 10_000;
  readonly vms: readonly ModelVm[] = Array.from(
    { length: VM_COUNT },
    (_, index) => ({
      vm: `vm${index}` as contracts.VmId,
      held: new Set<number>(),
      pending: new Set<number>(),
      isAlive: true,
      nextId: 0,
    }),
  );
  readonly #coordinator = new admission.SlotCoordinator({
    zone: "z1" as contracts.ZoneId,
    random: { next: () => 0.5 },
    onDecision: ({ vm, id, kind }) => {
      const model = this.vms.find((known) => known.vm === vm)!;
      if (!model.isAlive || !model.pending.has(id) || kind === "queued") return;
      model.pending.delete(id);
      if (kind === "given") model.held.add(id);
    },
  });

  apply(step: Step): void {
    if (step.kind === "wait") return this.wait(step.timeMs);
    const vm = this.vms[step.vm]!;
    if (!vm.isAlive) return;
    if (step.kind === "request") return this.request(vm);
    if (step.kind === "release") return this.#release(vm, [...vm.held][0]);
    vm.isAlive = false;
  }

  request(vm: ModelVm): void {
    const id = vm.nextId++;
    vm.pending.add(id);
    this.#coordinator.request({
      ...SERVER,
      id,
      vm: vm.vm,
      route: ROUTE,
      targetMs: this.nowMs + 300,
      answerByMs: this.nowMs + 10_000,
    }, this.nowMs);
  }

  wait(timeMs: number): void {
    const endMs = this.nowMs + timeMs;
    while (this.nowMs < endMs) {
      this.nowMs = Math.min(endMs, this.nowMs + SWEEP_INTERVAL_MS);
      if (this.nowMs - this.#reportedMs >= REPORT_INTERVAL_MS) this.#report();
      if (this.nowMs - this.#sweptMs < SWEEP_INTERVAL_MS) continue;
      this.#sweptMs = this.nowMs;
      this.#coordinator.sweep(this.nowMs);
    }
  }

  /** All living VMs give back what they have. */
  releaseAll(): void {
    for (const vm of this.vms) {
      if (!vm.isAlive) continue;
      for (const id of [...vm.pending, ...vm.held]) this.#release(vm, id);
    }
  }

  get heldCount(): number {
    return this.vms.filter(({ isAlive }) => isAlive)
      .reduce((sum, { held }) => sum + held.size, 0);
  }

  #release(vm: ModelVm, id: number | undefined): void {
    if (id === undefined) return;
    vm.held.delete(id);
    vm.pending.delete(id);
    this.#coordinator.release(vm.vm, id, { nowMs: this.nowMs });
  }

  #report(): void {
    this.#reportedMs = this.nowMs;
    for (const { vm, held, isAlive } of this.vms) {
      if (!isAlive) continue;
      const slots = [...held].map((id) => ({ ...SERVER, id, route: ROUTE }));
      this.#coordinator.reconcileHeld(vm, slots, this.nowMs);
    }
  }
}

const vmIndex = fc.integer({ min: 0, max: VM_COUNT - 1 });
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: step("request") },
    { weight: 3, arbitrary: step("release") },
    { weight: 1, arbitrary: step("fail") },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("wait" as const),
        timeMs: fc.integer({ min: 1, max: 2_500 }),
      }),
    },
  ),
  { minLength: 20, maxLength: 80 },
);

function step(kind: "request" | "release" | "fail"): fc.Arbitrary<Step> {
  return fc.record({ kind: fc.constant(kind), vm: vmIndex });
}

/** A failed VM's own queued requests got its slots, and kept them for ever. */
test("should free all slots that no living VM holds and never grant too many", () => {
  fc.assert(
    fc.property(steps, (plan) => {
      const model = new Model();
      for (const step of plan) {
        model.apply(step);
        expect(model.heldCount <= SERVER.slots + PREFETCHED).toEqual(true);
      }
      // One VM always lives to see whether the slots are free.
      model.vms[0]!.isAlive ||= model.vms.every(({ isAlive }) => !isAlive);
      model.wait(FAILURE_MS);
      model.releaseAll();
      model.wait(REPORT_INTERVAL_MS + SWEEP_INTERVAL_MS);
      const living = model.vms.find(({ isAlive }) => isAlive)!;
      living.held.clear();
      const capacity = SERVER.slots + PREFETCHED;
      for (let slot = 0; slot < capacity; slot++) model.request(living);
      expect(living.held.size).toEqual(capacity);
    }),
    { seed: 41, numRuns: 2_000 },
  );
});
