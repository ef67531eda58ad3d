/** Short requests of a high priority beside long ones at one server. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import * as admission from "./mod.ts";

const VM = "vm" as contracts.VmId;
const STEP_MS = 1;
const RUN_MS = 120_000;
const SWEEP_MS = 25;
/** Delay from a coordinator's grant to the server, and from there back. */
const ONE_WAY_MS = 4;

interface Workload {
  readonly route: admission.PrioritizedRoute;
  readonly serviceMs: number;
  readonly perSecond: number;
  readonly timeoutMs: number;
}

const SHORT: Workload = {
  route: { name: "short", priority: 1, targetLatencyMs: 150 },
  serviceMs: 40,
  perSecond: 7,
  timeoutMs: 1_000,
};
const LONG: Workload = {
  route: { name: "long", priority: 2, targetLatencyMs: 800 },
  serviceMs: 250,
  perSecond: 3,
  timeoutMs: 2_500,
};

interface Sent {
  readonly id: number;
  readonly workload: Workload;
  readonly sentMs: number;
}

/** Number of requests of one workload, by result. */
interface Outcome {
  requested: number;
  inTime: number;
  served: number;
}

/** Simulates workloads on a server with two slots and its coordinator. */
class Simulation {
  readonly #random = xoroshiro128plus(1);
  readonly #coordinator: admission.SlotCoordinator;
  readonly #requests = new Map<number, Sent>();
  readonly #due: { readonly atMs: number; run(): void }[] = [];
  readonly #queue: Sent[] = [];
  readonly outcomes = new Map<string, Outcome>();
  #running = 0;
  #nowMs = 0;
  #nextId = 1;

  constructor() {
    this.#coordinator = new admission.SlotCoordinator({
      zone: "z1" as contracts.ZoneId,
      random: { next: () => this.#next() },
      onDecision: ({ id, kind }) => {
        if (kind === "given") this.#after(ONE_WAY_MS, () => this.#arrive(id));
      },
    });
  }

  run(workloads: readonly Workload[], loadRatio: number): void {
    for (; this.#nowMs < RUN_MS; this.#nowMs += STEP_MS) {
      for (const workload of workloads) {
        const probability = workload.perSecond * loadRatio * STEP_MS / 1_000;
        if (this.#next() < probability) this.#request(workload);
      }
      for (const due of this.#due.splice(0)) {
        if (due.atMs <= this.#nowMs) due.run();
        else this.#due.push(due);
      }
      if (this.#nowMs % SWEEP_MS === 0) this.#coordinator.sweep(this.#nowMs);
    }
  }

  #request(workload: Workload): void {
    const id = this.#nextId++;
    const nowMs = this.#nowMs;
    this.#requests.set(id, { id, workload, sentMs: nowMs });
    this.#outcome(workload).requested++;
    this.#coordinator.request({
      service: "s" as contracts.ServiceId,
      server: "s1" as contracts.ServerId,
      bornMs: 1,
      slots: 2,
      id,
      vm: VM,
      route: workload.route,
      targetMs: nowMs + workload.route.targetLatencyMs,
      answerByMs: nowMs + workload.timeoutMs,
    }, nowMs);
  }

  #arrive(id: number): void {
    this.#queue.push(this.#requests.get(id)!);
    this.#start();
  }

  #start(): void {
    while (this.#running < 2 && this.#queue.length > 0) {
      const request = this.#queue.shift()!;
      this.#running++;
      // Exponentially distributed: a few requests take several times the mean.
      const serviceMs = -request.workload.serviceMs *
        Math.log(1 - this.#next());
      this.#after(serviceMs, () => this.#end(request, serviceMs));
    }
  }

  #end({ id, workload, sentMs }: Sent, tookMs: number): void {
    this.#running--;
    const outcome = this.#outcome(workload);
    const isInTime = this.#nowMs - sentMs <= workload.route.targetLatencyMs;
    if (isInTime) outcome.inTime++;
    outcome.served++;
    this.#after(ONE_WAY_MS, () => {
      this.#coordinator.release(VM, id, { tookMs, nowMs: this.#nowMs });
    });
    this.#start();
  }

  #outcome({ route }: Workload): Outcome {
    const found = this.outcomes.get(route.name);
    if (found !== undefined) return found;
    const created = { requested: 0, inTime: 0, served: 0 };
    this.outcomes.set(route.name, created);
    return created;
  }

  #after(timeMs: number, run: () => void): void {
    this.#due.push({ atMs: this.#nowMs + timeMs, run });
  }

  #next(): number {
    return uniformFloat64(this.#random);
  }
}

/** Guards against short urgent requests that queue behind long ones. */
test("should answer most short urgent requests in time beside long ones", () => {
  const simulation = new Simulation();
  simulation.run([SHORT, LONG], 1.2);
  const short = simulation.outcomes.get("short")!;
  const long = simulation.outcomes.get("long")!;
  expect(short.inTime / short.requested >= 0.85).toEqual(true);
  expect(long.served / long.requested >= 0.6).toEqual(true);
});

/** Guards against a slot that stays reserved for requests that never arrive. */
test("should let long requests use all slots without short requests", () => {
  const simulation = new Simulation();
  simulation.run([{ ...LONG, perSecond: 6 }], 1);
  const long = simulation.outcomes.get("long")!;
  expect(long.served / long.requested >= 0.9).toEqual(true);
});

/**
 * Guards against an overloaded server that answers each request just too late.
 */
test("should answer half of the requests in time at 120% load", () => {
  const simulation = new Simulation();
  simulation.run([{ ...SHORT, perSecond: 60 }], 1);
  const short = simulation.outcomes.get("short")!;
  expect(short.served / short.requested >= 0.6).toEqual(true);
  expect(short.inTime / short.requested >= 0.5).toEqual(true);
});
