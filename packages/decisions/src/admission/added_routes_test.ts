import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as admission from "./mod.ts";
import { registeredServer } from "./registered_server_test_support.ts";

const SERVERS = 8;
/** Above the target latency: the servers are overloaded or slow. */
const WORK_MS = 700;
const TARGET_MS = 500;
const TIMEOUT_MS = 4_000;
/** Twice what the servers can do. */
const ARRIVAL_INTERVAL_MS = WORK_MS / SERVERS / 2;
/** One request in so many is on a route that was added later. */
const ADDED_INTERVAL = 25;
const REVIEW_INTERVAL_MS = 25;
const DURATION_MS = 60_000;
/** The added routes are requested from then on. */
const ADDED_AT_MS = 20_000;

function route(name: string): contracts.Route {
  return {
    name,
    host: "scans.example",
    pathPrefix: "/",
    isIdempotent: true,
    attemptLimit: 2,
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: TARGET_MS,
    priority: 1,
    targets: [],
  };
}

/** One queue and its servers, in simulated time. */
class Simulation {
  readonly served = { first: 0, added: 0 };
  readonly arrived = { first: 0, added: 0 };
  readonly #times = new admission.ServiceTimes();
  readonly #queue: admission.ServiceQueue;
  readonly #events: { atMs: number; run: () => void }[] = [];
  /** When each server has ended all that it was sent. */
  readonly #freeAtMs = new Map<contracts.ServerId, number>();
  #nowMs = 0;

  constructor() {
    this.#queue = new admission.ServiceQueue({
      zone: "z1" as contracts.ZoneId,
      times: this.#times,
      random: { next: () => 0.5 },
      shares: {
        isActive: true,
        refusesLate: true,
        leftRatio: () => 0.1,
        queuePerSecond: () => SERVERS * 1_000 / WORK_MS,
      },
    });
    this.#queue.setServers(
      Array.from(
        { length: SERVERS },
        (_, index) => registeredServer(`s${index}`),
      ),
    );
  }

  run(): void {
    let count = 0;
    for (let atMs = 0; atMs < DURATION_MS; atMs += ARRIVAL_INTERVAL_MS) {
      const isAdded = atMs >= ADDED_AT_MS && count++ % ADDED_INTERVAL === 0;
      this.#at(atMs, () => this.#arrive(isAdded ? "added" : "first", count));
    }
    for (let atMs = 0; atMs < DURATION_MS; atMs += REVIEW_INTERVAL_MS) {
      this.#at(atMs, () => this.#queue.refuseExpired(this.#nowMs));
    }
    while (this.#events.length > 0) {
      this.#events.sort((a, b) => a.atMs - b.atMs);
      const { atMs, run } = this.#events.shift()!;
      this.#nowMs = atMs;
      run();
    }
  }

  #at(atMs: number, run: () => void): void {
    this.#events.push({ atMs, run });
  }

  #arrive(kind: "first" | "added", count: number): void {
    const isCounted = this.#nowMs >= ADDED_AT_MS;
    if (isCounted) this.arrived[kind]++;
    const request: admission.WaitingRequest = {
      // Each added route gets a few requests only.
      route: route(kind === "first" ? "first" : `added-${count}`),
      key: undefined,
      bodyBytes: 0,
      standing: undefined,
      targetMs: this.#nowMs + TARGET_MS,
      answerByMs: this.#nowMs + TIMEOUT_MS,
      tried: new Set(),
      placed: ({ load }) => {
        const { server } = load.entry;
        const end = load.startRequest(this.#nowMs);
        const freeAtMs = this.#freeAtMs.get(server) ?? 0;
        const endMs = Math.max(this.#nowMs, freeAtMs) + WORK_MS;
        this.#freeAtMs.set(server, endMs);
        this.#at(endMs, () => {
          end({ kind: "answered", isFailure: false }, this.#nowMs);
          this.#times.record(request.route, server, WORK_MS, this.#nowMs);
          if (isCounted) this.served[kind]++;
          this.#queue.dispatch(this.#nowMs);
        });
      },
      refused: () => {},
    };
    this.#queue.add(request, this.#nowMs);
  }
}

/**
 * Guards against refusals of routes without measurements, which were expected
 * to be answered in time where the others of their service are served late.
 */
test("should serve added routes as often as the first ones of their service", () => {
  const simulation = new Simulation();
  simulation.run();
  const { served, arrived } = simulation;
  const first = served.first / arrived.first;
  const added = served.added / arrived.added;
  expect(first).toBeGreaterThan(0.25);
  expect(added).toBeGreaterThan(first / 4);
});
