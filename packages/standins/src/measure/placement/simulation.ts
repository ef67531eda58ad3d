/**
 * Simulates one placement strategy over a trace and sums up what users notice.
 * Handovers follow the ownership rules for every strategy: a planned handover
 * leaves its keys unserved for a short gap, and the keys of a failed server
 * wait until its lease has expired.
 */
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as trace from "./trace.ts";
import type { PlacementStrategy, TraceServer } from "./strategies.ts";

const STEP_S = 0.5;
const SAMPLE_INTERVAL_S = 5;
/** Earlier samples are left out: the planner has to learn the load first. */
const WARM_UP_S = 300;
const SLOW_SPEED = 0.4;
/** Round-trip time of a lease command to a server. */
const LEASE_COMMAND_MS = 3;
/** Round-trip time of a store write. */
const STORE_WRITE_MS = 5;

/** Result of one simulation. */
export interface SimulationResult {
  readonly way: string;
  /** Highest utilisation of a server over the mean: mean of samples. */
  readonly imbalanceMean: number;
  readonly imbalanceP99: number;
  /** Coefficient of variation of utilisation: mean of samples. */
  readonly variationMean: number;
  /** Fraction of all load that exceeded the capacity of its server. */
  readonly overloadShare: number;
  readonly serverEvents: number;
  readonly hours: number;
  readonly keys: number;
  /** Keys that changed owner. */
  readonly keysMoved: number;
  /** Of those, keys whose server had failed or was leaving. */
  readonly keysMovedOffServers: number;
  readonly unavailableKeySeconds: number;
  /** Fraction of all requests that arrived while their key was unserved. */
  readonly unservedRequestShare: number;
}

/** Delays that the ownership rules cause, in milliseconds. */
export function ownershipWaits(workMs: number): {
  readonly detectMs: number;
  readonly lossWaitMs: number;
  readonly plannedGapMs: number;
  readonly renewMs: number;
} {
  const settings = ownership.DEFAULT_OWNERSHIP_SETTINGS;
  return {
    detectMs: settings.detectMs + settings.renewMs,
    lossWaitMs: ownership.leaseExpiryWaitMs(settings) + 2 * STORE_WRITE_MS +
      LEASE_COMMAND_MS,
    plannedGapMs: 2 * LEASE_COMMAND_MS + STORE_WRITE_MS + workMs,
    renewMs: settings.renewMs,
  };
}

interface ServerState {
  state: "live" | "leaving" | "lost" | "away";
  speed: number;
  sinceS: number;
}

/** Simulates one strategy on one trace. */
export class Simulation {
  readonly #deployment: trace.Deployment;
  readonly #options: trace.TraceOptions;
  readonly #load: trace.KeyLoad;
  readonly #changes: readonly trace.ServerChange[];
  readonly #strategy: PlacementStrategy;
  readonly #random: trace.SeededRandom;
  readonly #waits: ReturnType<typeof ownershipWaits>;
  readonly #servers = new Map<number, ServerState>();
  readonly #owner: Int32Array;
  readonly #target: Int32Array;
  /** When a failed server's key may go to its next owner; 0 if not waiting. */
  readonly #readyAtS: Float64Array;
  #waitingKeys = 0;
  readonly #imbalances: number[] = [];
  readonly #variations: number[] = [];
  #overload = 0;
  #sampledLoad = 0;
  #moved = 0;
  #movedOffServers = 0;
  #unservedKeySeconds = 0;
  #unservedRequests = 0;
  #nextSampleS = WARM_UP_S;
  #nextChange = 0;

  constructor(options: {
    readonly deployment: trace.Deployment;
    readonly trace: trace.TraceOptions;
    readonly hasher: ownership.KeyHasher;
    makeStrategy(load: trace.KeyLoad): PlacementStrategy;
  }) {
    this.#deployment = options.deployment;
    this.#options = options.trace;
    const rate = requestsPerSecond(options.deployment, options.trace);
    this.#load = new trace.KeyLoad(options.trace, options.hasher, rate);
    this.#changes = trace.drawServerChanges(options.deployment, options.trace);
    this.#strategy = options.makeStrategy(this.#load);
    this.#random = new trace.SeededRandom(options.trace.seed + 7);
    this.#waits = ownershipWaits(options.deployment.workMs);
    this.#owner = new Int32Array(options.trace.keys).fill(-1);
    this.#target = new Int32Array(options.trace.keys).fill(-1);
    this.#readyAtS = new Float64Array(options.trace.keys);
    for (let i = 0; i < options.deployment.servers; i++) {
      this.#servers.set(i, { state: "live", speed: 1, sinceS: -3600 });
    }
  }

  run(): SimulationResult {
    const { durationS } = this.#options;
    for (let nowS = 0; nowS < durationS; nowS += STEP_S) {
      this.#load.advance(nowS);
      this.#changeServers(nowS);
      this.#send(nowS);
      const owners = this.#strategy.update(this.#view(nowS), nowS * 1000);
      if (owners !== undefined) this.#setTargets(owners, nowS);
      this.#completeExpired(nowS);
      if (nowS >= this.#nextSampleS) this.#sample(nowS);
    }
    return this.#result();
  }

  #changeServers(nowS: number): void {
    while (true) {
      const change = this.#changes[this.#nextChange];
      if (change === undefined || change.atS > nowS) return;
      this.#nextChange++;
      this.#changeServer(change, nowS);
    }
  }

  #changeServer({ server, change }: trace.ServerChange, nowS: number): void {
    const state = this.#servers.get(server) ??
      { state: "away", speed: 1, sinceS: nowS };
    this.#servers.set(server, state);
    if (change === "slow") state.speed = SLOW_SPEED;
    else if (change === "normal") state.speed = 1;
    else if (change === "back") this.#returnServer(server, state, nowS);
    else {
      state.state = change;
      state.sinceS = nowS;
    }
  }

  /**
   * Keys that the server still owns are served again after a lease renewal, or
   * once their wait is over if that is later.
   */
  #returnServer(server: number, state: ServerState, nowS: number): void {
    const isRestart = state.state === "lost";
    const lostAtS = state.sinceS;
    state.state = "live";
    state.speed = 1;
    state.sinceS = nowS;
    if (!isRestart) return;
    for (let key = 0; key < this.#owner.length; key++) {
      if (this.#owner[key] !== server) continue;
      const renewedS = nowS + this.#waits.renewMs / 1000;
      const servedS = Math.max(renewedS, this.#readyAtS[key]!);
      this.#addUnserved(key, servedS - lostAtS);
    }
  }

  #send(nowS: number): void {
    if (this.#strategy.record === undefined) return;
    const rate = requestsPerSecond(this.#deployment, this.#options);
    const requests = Math.round(rate * STEP_S);
    for (let i = 0; i < requests; i++) {
      const key = this.#load.draw(this.#random);
      this.#strategy.record(key, this.#random.below(9));
    }
    if (nowS % 1 !== 0) return;
    for (const [server, { state, speed }] of this.#servers) {
      if (state !== "live") continue;
      const noise = 0.9 + 0.2 * this.#random.next();
      const workMs = this.#deployment.workMs / speed * noise;
      this.#strategy.recordWork?.(server, workMs);
    }
  }

  #view(nowS: number): TraceServer[] {
    const view: TraceServer[] = [];
    for (const [index, { state, sinceS }] of this.#servers) {
      const sinceMs = (nowS - sinceS) * 1000;
      const isDetected = sinceMs >= this.#waits.detectMs;
      if (state === "away") continue;
      view.push({
        index,
        state: state === "lost" && !isDetected ? "live" : state,
        zone: index % this.#deployment.zones,
        liveForMs: state === "live" ? sinceMs : 0,
      });
    }
    return view;
  }

  #setTargets(owners: Int32Array, nowS: number): void {
    for (let key = 0; key < owners.length; key++) {
      const next = owners[key]!;
      if (next === this.#target[key]) continue;
      this.#target[key] = next;
      const from = this.#owner[key]!;
      const isLost = this.#servers.get(from)?.state === "lost";
      if (from === -1) this.#owner[key] = next;
      else if (isLost || this.#readyAtS[key]! > 0) {
        const readyAtS = nowS + this.#waits.lossWaitMs / 1000;
        if (this.#readyAtS[key]! > 0) continue;
        this.#readyAtS[key] = readyAtS;
        this.#waitingKeys++;
      } else if (next !== from) this.#move(key, { next, gapS: this.#gapS() });
    }
  }

  #completeExpired(nowS: number): void {
    if (this.#waitingKeys === 0) return;
    for (let key = 0; key < this.#readyAtS.length; key++) {
      const readyAtS = this.#readyAtS[key]!;
      if (readyAtS === 0 || readyAtS > nowS) continue;
      this.#readyAtS[key] = 0;
      this.#waitingKeys--;
      const next = this.#target[key]!;
      const from = this.#owner[key]!;
      if (next === from) continue;
      const { state, sinceS } = this.#servers.get(from)!;
      // The outage of a server that is back was counted when it returned.
      const isLost = state === "lost";
      const gapS = isLost ? readyAtS - sinceS : this.#gapS();
      this.#move(key, { next, gapS });
    }
  }

  #move(key: number, move: { next: number; gapS: number }): void {
    const from = this.#owner[key]!;
    this.#owner[key] = move.next;
    this.#moved++;
    if (this.#servers.get(from)?.state !== "live") this.#movedOffServers++;
    this.#addUnserved(key, move.gapS);
  }

  #addUnserved(key: number, seconds: number): void {
    this.#unservedKeySeconds += seconds;
    this.#unservedRequests += seconds * this.#load.rates[key]!;
  }

  #gapS(): number {
    return this.#waits.plannedGapMs / 1000;
  }

  #sample(nowS: number): void {
    this.#nextSampleS = nowS + SAMPLE_INTERVAL_S;
    const loads = new Map<number, number>();
    for (let key = 0; key < this.#owner.length; key++) {
      const owner = this.#owner[key]!;
      loads.set(owner, (loads.get(owner) ?? 0) + this.#load.rates[key]!);
    }
    const utilisations: number[] = [];
    let capacity = 0;
    let load = 0;
    for (const [server, { state, speed }] of this.#servers) {
      if (state !== "live") continue;
      const capacityOfServer = serverRate(this.#deployment) * speed;
      const loadOfServer = loads.get(server) ?? 0;
      capacity += capacityOfServer;
      load += loadOfServer;
      utilisations.push(loadOfServer / capacityOfServer);
      this.#overload += Math.max(0, loadOfServer - capacityOfServer);
    }
    this.#sampledLoad += load;
    const mean = load / capacity;
    this.#imbalances.push(Math.max(...utilisations) / mean);
    this.#variations.push(deviationOf(utilisations, mean) / mean);
  }

  #result(): SimulationResult {
    const events = this.#changes.filter(({ change, event }) =>
      change === "lost" || change === "leaving" || change === "slow" ||
      (event === "scale-out" && change === "back")
    );
    const rate = requestsPerSecond(this.#deployment, this.#options);
    const sorted = [...this.#imbalances].sort((a, b) => a - b);
    return {
      way: this.#strategy.name,
      imbalanceMean: meanOf(this.#imbalances),
      imbalanceP99: sorted[Math.floor(sorted.length * 0.99)]!,
      variationMean: meanOf(this.#variations),
      overloadShare: this.#overload / this.#sampledLoad,
      serverEvents: events.length,
      hours: this.#options.durationS / 3600,
      keys: this.#options.keys,
      keysMoved: this.#moved,
      keysMovedOffServers: this.#movedOffServers,
      unavailableKeySeconds: this.#unservedKeySeconds,
      unservedRequestShare: this.#unservedRequests /
        (rate * this.#options.durationS),
    };
  }
}

/** Requests a second that one server can process. */
export function serverRate(deployment: trace.Deployment): number {
  return deployment.slotsPerServer * 1000 / deployment.workMs;
}

function requestsPerSecond(
  deployment: trace.Deployment,
  { utilisation }: trace.TraceOptions,
): number {
  return serverRate(deployment) * deployment.servers * utilisation;
}

/** The arithmetic mean. */
export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function deviationOf(values: readonly number[], mean: number): number {
  const squares = values.map((value) => (value - mean) ** 2);
  return Math.sqrt(meanOf(squares));
}
