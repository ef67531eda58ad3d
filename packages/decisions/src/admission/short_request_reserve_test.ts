/** Short urgent work beside long work at one server that owns their keys. */
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
/** From a coordinator's word to the server, and back from a request's end. */
const ONE_WAY_MS = 4;

interface Workload {
  readonly route: admission.PrioritizedRoute;
  readonly workMs: number;
  readonly perSecond: number;
  readonly timeoutMs: number;
}

const SHORT: Workload = {
  route: { name: "short", priority: 1, targetLatencyMs: 150 },
  workMs: 40,
  perSecond: 7,
  timeoutMs: 1_000,
};
const LONG: Workload = {
  route: { name: "long", priority: 2, targetLatencyMs: 800 },
  workMs: 250,
  perSecond: 3,
  timeoutMs: 2_500,
};

interface Sent {
  readonly id: number;
  readonly kind: Workload;
  readonly sentMs: number;
}

/** What callers got of one kind. */
interface Outcome {
  asked: number;
  inTime: number;
  served: number;
}

/** Plays two kinds of load on a server with two slots and its coordinator. */
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

  run(kinds: readonly Workload[], loadRatio: number): void {
    for (; this.#nowMs < RUN_MS; this.#nowMs += STEP_MS) {
      for (const kind of kinds) {
        const chance = kind.perSecond * loadRatio * STEP_MS / 1_000;
        if (this.#next() < chance) this.#ask(kind);
      }
      for (const due of this.#due.splice(0)) {
        if (due.atMs <= this.#nowMs) due.run();
        else this.#due.push(due);
      }
      if (this.#nowMs % SWEEP_MS === 0) this.#coordinator.sweep(this.#nowMs);
    }
  }

  #ask(kind: Workload): void {
    const id = this.#nextId++;
    const nowMs = this.#nowMs;
    this.#requests.set(id, { id, kind, sentMs: nowMs });
    this.#outcome(kind).asked++;
    this.#coordinator.request({
      service: "s" as contracts.ServiceId,
      server: "s1" as contracts.ServerId,
      bornMs: 1,
      slots: 2,
      id,
      vm: VM,
      route: kind.route,
      targetMs: nowMs + kind.route.targetLatencyMs,
      answerByMs: nowMs + kind.timeoutMs,
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
      // Exponential times: a few requests take several times the mean.
      const workMs = -request.kind.workMs * Math.log(1 - this.#next());
      this.#after(workMs, () => this.#end(request, workMs));
    }
  }

  #end({ id, kind, sentMs }: Sent, tookMs: number): void {
    this.#running--;
    const outcome = this.#outcome(kind);
    const isInTime = this.#nowMs - sentMs <= kind.route.targetLatencyMs;
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
    const created = { asked: 0, inTime: 0, served: 0 };
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

/** Guards against short urgent requests that wait for long ones to end. */
test("should answer most short urgent requests in time beside long ones", () => {
  const play = new Simulation();
  play.run([SHORT, LONG], 1.2);
  const short = play.outcomes.get("short")!;
  const long = play.outcomes.get("long")!;
  expect(short.inTime / short.asked >= 0.85).toEqual(true);
  expect(long.served / long.asked >= 0.6).toEqual(true);
});

/** Guards against a slot that stays empty for work that does not come. */
test("should give long requests all slots while nothing shorter comes", () => {
  const play = new Simulation();
  play.run([{ ...LONG, perSecond: 6 }], 1);
  const long = play.outcomes.get("long")!;
  expect(long.served / long.asked >= 0.9).toEqual(true);
});

/** Guards against an overloaded server that answers each request just too late. */
test("should answer half in time at a fifth more load than a server carries", () => {
  const play = new Simulation();
  play.run([{ ...SHORT, perSecond: 60 }], 1);
  const short = play.outcomes.get("short")!;
  expect(short.served / short.asked >= 0.6).toEqual(true);
  expect(short.inTime / short.asked >= 0.5).toEqual(true);
});
