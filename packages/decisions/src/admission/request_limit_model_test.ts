/**
 * One server's limit divided over many VMs that restart and lose one another,
 * under more load than the limit allows.
 */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import * as admission from "./mod.ts";

const SERVER: admission.SlotServer = {
  service: "s" as contracts.ServiceId,
  server: "s1" as contracts.ServerId,
  bornMs: 1,
  slots: 3,
};
const URGENT = { name: "urgent", priority: 0, targetLatencyMs: 300 };
const OTHER = { name: "other", priority: 3, targetLatencyMs: 300 };
const RUN_MS = 40_000;
const STEP_MS = 5;
const WINDOW_MS = 4_000;
const WORK_MS = 60;
const TIMEOUT_MS = 800;
/** A VM that is not heard counts as lost after this time. */
const DETECTION_MS = 1_600;
/** A VM that has just started grants nothing. */
const STARTUP_MS = 2_000;

interface Faults {
  readonly restarts?: boolean;
  /** Splits the VMs into two groups for some seconds, again and again. */
  readonly partitions?: boolean;
}

class ModelVm {
  readonly index: number;
  readonly vm: contracts.VmId;
  readonly #model: Model;
  coordinator: admission.SlotCoordinator;
  startedMs = -STARTUP_MS;
  downUntilMs = 0;
  group = 0;
  /** When this VM last heard each other one. */
  readonly heardMs: number[];

  constructor(index: number, count: number, model: Model) {
    this.index = index;
    this.vm = `vm${index}` as contracts.VmId;
    this.#model = model;
    this.heardMs = new Array<number>(count).fill(0);
    this.coordinator = this.#createCoordinator();
  }

  restart(nowMs: number, downMs: number): void {
    this.downUntilMs = nowMs + downMs;
    this.startedMs = this.downUntilMs;
    this.coordinator = this.#createCoordinator();
  }

  hears(other: ModelVm): boolean {
    return other === this ||
      this.#model.nowMs - this.heardMs[other.index]! < DETECTION_MS;
  }

  #createCoordinator(): admission.SlotCoordinator {
    const model = this.#model;
    return new admission.SlotCoordinator({
      zone: "z1" as contracts.ZoneId,
      random: { next: () => 0.5 },
      onDecision: (decision) => model.decide(this, decision),
      rateLimitsOf: () =>
        new admission.ServerRateLimit({
          namedRateOf: () => this.#ratePerSecond(),
        }),
    });
  }

  #ratePerSecond(): number {
    const { nowMs, vms, limitPerSecond } = this.#model;
    if (nowMs - this.startedMs < STARTUP_MS) return 0;
    const live = vms.filter((other) => this.hears(other));
    return admission.requestsBesideControl(limitPerSecond, 0) *
      admission.coordinatorShare({
        isFirst: live[0] === this,
        liveCount: live.length,
        knownCount: vms.length,
      });
  }
}

class Model {
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #faults: Faults;
  readonly limitPerSecond: number;
  readonly vms: ModelVm[] = [];
  nowMs = 0;
  #nextId = 1;
  #isSplit = false;
  readonly #routes = new Map<number, admission.PrioritizedRoute>();
  readonly #running: { endMs: number; at: ModelVm; vm: ModelVm; id: number }[] =
    [];
  readonly startsMs: number[] = [];
  readonly served = { urgent: 0, other: 0 };
  readonly asked = { urgent: 0, other: 0 };
  readonly refusals: admission.Refusal[] = [];

  constructor(
    seed: number,
    { vmCount, limitPerSecond, faults }: {
      readonly vmCount: number;
      readonly limitPerSecond: number;
      readonly faults: Faults;
    },
  ) {
    this.#random = xoroshiro128plus(seed);
    this.#faults = faults;
    this.limitPerSecond = limitPerSecond;
    for (let index = 0; index < vmCount; index++) {
      this.vms.push(new ModelVm(index, vmCount, this));
    }
  }

  run(loadPerSecond: number): void {
    for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) {
      this.#injectFaults();
      this.#exchangeStatuses();
      this.#endRequests();
      for (const vm of this.vms) {
        if (vm.downUntilMs > this.nowMs) continue;
        vm.coordinator.sweep(this.nowMs);
      }
      if (this.#chance(loadPerSecond * STEP_MS / 1_000)) this.#request();
    }
  }

  decide(at: ModelVm, { vm, id, kind, refusal }: admission.SlotDecision): void {
    if (kind === "queued") return;
    const route = this.#routes.get(id);
    if (route === undefined) return;
    this.#routes.delete(id);
    if (kind === "refused") return void this.refusals.push(refusal!);
    this.startsMs.push(this.nowMs);
    this.served[route === URGENT ? "urgent" : "other"]++;
    const sender = this.vms.find((known) => known.vm === vm)!;
    this.#running.push({ endMs: this.nowMs + WORK_MS, at, vm: sender, id });
  }

  mostInWindow(): number {
    let most = 0;
    let start = 0;
    for (const [end, atMs] of this.startsMs.entries()) {
      while (this.startsMs[start]! < atMs - WINDOW_MS) start++;
      most = Math.max(most, end - start + 1);
    }
    return most;
  }

  #chance(probability: number): boolean {
    return uniformFloat64(this.#random) < probability;
  }

  #pick(): ModelVm {
    return this
      .vms[Math.floor(uniformFloat64(this.#random) * this.vms.length)]!;
  }

  #injectFaults(): void {
    const { restarts, partitions } = this.#faults;
    if (restarts && this.#chance(STEP_MS / 1_500)) {
      // The first VMs coordinate, so their restarts matter.
      const vm = this.#chance(0.5) ? this.vms[0]! : this.#pick();
      if (vm.downUntilMs < this.nowMs) vm.restart(this.nowMs, 800);
    }
    if (partitions && this.#chance(STEP_MS / 3_000)) {
      this.#isSplit = !this.#isSplit;
      for (const vm of this.vms) {
        vm.group = this.#isSplit && this.#chance(0.5) ? 1 : 0;
      }
    }
  }

  #canReach(from: ModelVm, to: ModelVm): boolean {
    return from.group === to.group && to.downUntilMs <= this.nowMs;
  }

  #exchangeStatuses(): void {
    if (this.nowMs % 200 !== 0) return;
    for (const vm of this.vms) {
      for (const other of this.vms) {
        if (this.#canReach(vm, other)) vm.heardMs[other.index] = this.nowMs;
      }
    }
  }

  #request(): void {
    const vm = this.#pick();
    if (vm.downUntilMs > this.nowMs) return;
    const route = this.#chance(0.3) ? URGENT : OTHER;
    this.asked[route === URGENT ? "urgent" : "other"]++;
    // A coordinator that gives no answer is left for the next one.
    const coordinator = this.vms.find((other) =>
      vm.hears(other) && this.#canReach(vm, other)
    );
    if (coordinator === undefined) return;
    const id = this.#nextId++;
    this.#routes.set(id, route);
    coordinator.coordinator.request({
      ...SERVER,
      id,
      vm: vm.vm,
      route,
      targetMs: this.nowMs + route.targetLatencyMs,
      answerByMs: this.nowMs + TIMEOUT_MS,
    }, this.nowMs);
  }

  #endRequests(): void {
    const ended = this.#running.filter(({ endMs }) => endMs <= this.nowMs);
    for (const run of ended) {
      this.#running.splice(this.#running.indexOf(run), 1);
      run.at.coordinator.release(run.vm.vm, run.id, {
        tookMs: WORK_MS,
        nowMs: this.nowMs,
      });
    }
  }
}

const SEEDS = [1, 2, 3];

for (const vmCount of [5, 61]) {
  for (const limitPerSecond of [0, 0.5, 1.3, 3.5, 20]) {
    const run = (seed: number, faults: Faults) => {
      const model = new Model(seed, { vmCount, limitPerSecond, faults });
      model.run(6 * limitPerSecond + 10);
      return model;
    };
    const allowed = 1.5 * limitPerSecond * WINDOW_MS / 1_000 + 5;
    const name = `${limitPerSecond} a second over ${vmCount} VMs`;

    test(`should use 80 % of a limit of ${name}, urgent requests first`, () => {
      const { startsMs, served, asked } = run(1, {});
      expect(startsMs.length / (RUN_MS / 1_000))
        .toBeGreaterThanOrEqual(0.8 * limitPerSecond);
      const isShort = limitPerSecond < 1;
      const ratio = (served.urgent / asked.urgent) /
        Math.max(0.01, served.other / asked.other);
      if (!isShort) expect(ratio).toBeGreaterThan(2);
    });

    for (
      const [trouble, faults] of [
        ["while VMs restart", { restarts: true }],
        ["while VMs can't reach one another", { partitions: true }],
        ["while VMs restart and can't reach one another", {
          restarts: true,
          partitions: true,
        }],
      ] as const
    ) {
      /** Guards against coordinators that each grant the whole limit. */
      test(`should keep within a limit of ${name} ${trouble}`, () => {
        for (const seed of SEEDS) {
          expect(run(seed, faults).mostInWindow())
            .toBeLessThanOrEqual(allowed);
        }
      });
    }
  }
}

/** Guards against callers that come back long before the server takes more. */
test("should ask callers to come back when a low limit allows the next request", () => {
  const model = new Model(1, { vmCount: 5, limitPerSecond: 0.5, faults: {} });
  model.run(10);
  const waitsMs = model.refusals.map(({ retryAfterMs }) => retryAfterMs);
  expect(model.refusals.every(({ reason }) => reason === "limited"))
    .toEqual(true);
  expect(Math.max(...waitsMs)).toBeGreaterThan(1_000);
  expect(Math.max(...waitsMs)).toBeLessThanOrEqual(10_000);
});
