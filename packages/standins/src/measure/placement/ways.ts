/** The ways of placement that are compared. */
import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";

/** A server at some moment of the trace. */
export interface TraceServer {
  readonly index: number;
  /** `live` serves; `leaving` still serves; `lost` was found to be lost. */
  readonly state: "live" | "leaving" | "lost";
  readonly zone: number;
  readonly liveForMs: number;
}

/** Server of each key, by index; -1 when there is none. */
export type Owners = Int32Array;

/**
 * A way of placement. It learns of a loss when that is detected, and of any
 * other change at once.
 */
export interface PlacementWay {
  readonly name: string;
  /** Intended owners when they changed, otherwise undefined. */
  update(servers: readonly TraceServer[], nowMs: number): Owners | undefined;
  /** A request was forwarded. Only the planner listens. */
  record?(key: number, entryVm: number): void;
  /** Mean work time of a server as measured. */
  recordWork?(server: number, workMs: number): void;
}

/** Owner by `hash mod n` over the live servers. */
export class StaticHash implements PlacementWay {
  readonly name = "static hash";
  readonly #hashes: Float64Array;
  #last = "";

  constructor(hashes: Float64Array) {
    this.#hashes = hashes;
  }

  update(servers: readonly TraceServer[]): Owners | undefined {
    const live = liveOf(servers);
    if (live.join() === this.#last) return undefined;
    this.#last = live.join();
    return Int32Array.from(
      this.#hashes,
      (hash) => live[hash % live.length] ?? -1,
    );
  }
}

/** Points of each server on the ring. */
const RING_POINTS = 128;

/** Consistent hashing: a ring with many points for each server. */
export class HashRing implements PlacementWay {
  readonly name = `hash ring, ${RING_POINTS} points`;
  readonly #hashes: Float64Array;
  readonly #hasher: ownership.KeyHasher;
  #last = "";

  constructor(hashes: Float64Array, hasher: ownership.KeyHasher) {
    this.#hashes = hashes;
    this.#hasher = hasher;
  }

  update(servers: readonly TraceServer[]): Owners | undefined {
    const live = liveOf(servers);
    if (live.join() === this.#last) return undefined;
    this.#last = live.join();
    const ring = live.flatMap((server) =>
      Array.from({ length: RING_POINTS }, (_, point) => ({
        server,
        hash: this.#hasher.hash(`server-${server}-${point}`),
      }))
    ).sort((a, b) => a.hash - b.hash);
    let next = 0;
    return Int32Array.from(this.#hashes, (hash) => {
      while (next < ring.length && ring[next]!.hash < hash) next++;
      return ring[next % ring.length]?.server ?? -1;
    });
  }
}

/** Options of {@link PlannerWay}. */
export interface PlannerWayOptions {
  readonly name: string;
  readonly hashes: Float64Array;
  readonly settings: placement.PlacementSettings;
  readonly entryVms: number;
  /** How long a lost server's slices wait from detection to the next owner. */
  readonly lossWaitMs: number;
}

/** As the entry process does. */
const PLAN_EVERY_MS = 1000;
const REPORT_EVERY_MS = 1000;
const SERVICE = "service" as contracts.ServiceId;

/** The planner with the load reports that it would get from entry VMs. */
export class PlannerWay implements PlacementWay {
  readonly name: string;
  readonly #options: PlannerWayOptions;
  readonly #planner: placement.Planner;
  readonly #book = new placement.LoadAggregator(10 * REPORT_EVERY_MS);
  readonly #trackers: placement.LoadTracker[];
  #slices: contracts.Slice[] = [];
  #sliceOfKey: contracts.Slice[] = [];
  /** First hash of each slice on its way, and when it may be given on. */
  readonly #settleAtMs = new Map<number, number>();
  #nextPlanMs = 0;
  #nextReportMs = 0;
  #states = "";
  #planTimesMs: number[] = [];

  constructor(options: PlannerWayOptions) {
    this.name = options.name;
    this.#options = options;
    this.#planner = new placement.Planner(options.settings);
    this.#trackers = Array.from(
      { length: options.entryVms },
      () => new placement.LoadTracker(placement.DEFAULT_LOAD_TRACKER),
    );
  }

  get sliceCount(): number {
    return this.#slices.length;
  }

  get planTimesMs(): readonly number[] {
    return this.#planTimesMs;
  }

  record(key: number, entryVm: number): void {
    const slice = this.#sliceOfKey[key];
    if (slice === undefined) return;
    const keyHash = this.#options.hashes[key]!;
    const { fromHash, toHash } = slice;
    this.#trackers[entryVm]!.record({ fromHash, toHash, keyHash });
  }

  recordWork(server: number, workMs: number): void {
    for (const tracker of this.#trackers) {
      tracker.recordServiceTime(nameOf(server), workMs);
    }
  }

  update(servers: readonly TraceServer[], nowMs: number): Owners | undefined {
    if (this.#slices.length === 0) return this.#start(servers);
    this.#report(servers, nowMs);
    const isSettled = this.#settle(nowMs);
    const changes = this.#plan(servers, nowMs);
    if (changes.length === 0 && !isSettled) return undefined;
    this.#apply(changes, nowMs);
    return this.#owners();
  }

  #start(servers: readonly TraceServer[]): Owners {
    const live = liveOf(servers).map(nameOf);
    const count = this.#planner.initialSliceCount(live.length);
    this.#slices = ownership.equalSlices(live, count, { fence: 1 });
    return this.#owners();
  }

  #report(servers: readonly TraceServer[], nowMs: number): void {
    if (nowMs < this.#nextReportMs) return;
    this.#nextReportMs = nowMs + REPORT_EVERY_MS;
    const known = new Set(servers.map(({ index }) => nameOf(index)));
    this.#trackers.forEach((tracker, index) => {
      tracker.keepOnly(known);
      const vm = `vm-${index}` as contracts.VmId;
      const incarnation = `vm-${index}-1` as contracts.Incarnation;
      const sender = { vm, incarnation, service: SERVICE };
      this.#book.record(tracker.report(sender, nowMs), nowMs);
    });
  }

  #plan(
    servers: readonly TraceServer[],
    nowMs: number,
  ): readonly ownership.ChangeRequest[] {
    const states = servers.map(({ index, state }) => `${index}${state}`).join();
    const isNews = states !== this.#states;
    this.#states = states;
    const isDue = nowMs >= this.#nextPlanMs;
    if (!isNews && !isDue) return [];
    const input = this.#input(servers, nowMs);
    const startMs = performance.now();
    const plan = isDue
      ? this.#planner.plan(input)
      : this.#planner.planEvacuations(input);
    this.#planTimesMs.push(performance.now() - startMs);
    if (isDue) this.#nextPlanMs = nowMs + PLAN_EVERY_MS;
    return plan.changes;
  }

  #input(
    servers: readonly TraceServer[],
    nowMs: number,
  ): placement.PlacementInput {
    const speeds = this.#book.speeds(nowMs);
    return {
      nowMs,
      slices: this.#slices,
      servers: servers.map(({ index, state, zone, liveForMs }) => ({
        server: nameOf(index),
        zone: `zone-${zone}` as contracts.ZoneId,
        state,
        capacity: 1,
        speed: speeds.get(nameOf(index)),
        liveForMs,
      })),
      load: this.#book.estimate(this.#slices, nowMs),
    };
  }

  /** A move off a lost server waits as vacating; any other is over at once. */
  #apply(
    changes: readonly ownership.ChangeRequest[],
    nowMs: number,
  ): void {
    const before = new Map(this.#slices.map((s) => [s.fromHash, s]));
    const after = placement.applyChanges(this.#slices, changes);
    const moved = new Set(
      changes.filter(({ kind }) => kind === "move").map(({ slice }) => slice),
    );
    this.#slices = after.map((slice) => {
      const old = before.get(slice.fromHash);
      const isMoved = moved.has(contracts.sliceIdOf(slice));
      if (!isMoved || old === undefined) return slice;
      const isLoss = this.#states.includes(`${indexOf(old.server)}lost`);
      if (old.state === "owned" && !isLoss) return slice;
      const settleAtMs = this.#settleAtMs.get(slice.fromHash) ??
        nowMs + this.#options.lossWaitMs;
      this.#settleAtMs.set(slice.fromHash, settleAtMs);
      const from = old.state === "owned" ? [old.server] : old.from;
      return { ...slice, state: "vacating" as const, from };
    });
  }

  #settle(nowMs: number): boolean {
    let isChanged = false;
    this.#slices = this.#slices.map((slice) => {
      const atMs = this.#settleAtMs.get(slice.fromHash);
      if (slice.state !== "vacating" || atMs === undefined) return slice;
      if (nowMs < atMs) return slice;
      this.#settleAtMs.delete(slice.fromHash);
      isChanged = true;
      return { ...slice, state: "owned" as const, from: [] };
    });
    return isChanged;
  }

  /** The owner, or the next one of a slice on its way. */
  #owners(): Owners {
    const { hashes } = this.#options;
    const owners = new Int32Array(hashes.length);
    let index = 0;
    for (let key = 0; key < hashes.length; key++) {
      while (this.#slices[index]!.toHash <= hashes[key]!) index++;
      const slice = this.#slices[index]!;
      this.#sliceOfKey[key] = slice;
      owners[key] = indexOf(slice.server);
    }
    return owners;
  }
}

function liveOf(servers: readonly TraceServer[]): number[] {
  return servers.filter(({ state }) => state === "live")
    .map(({ index }) => index);
}

function nameOf(index: number): contracts.ServerId {
  return `s${index}` as contracts.ServerId;
}

function indexOf(server: contracts.ServerId): number {
  return Number(server.slice(1));
}
