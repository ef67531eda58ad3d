/** The placement strategies that are compared. */
import * as contracts from "@guavatide/contracts";
import * as ownership from "@guavatide/decisions/ownership/mod";
import * as placement from "@guavatide/decisions/placement/mod";

/** State of a server at one moment of the trace. */
export interface TraceServer {
  readonly index: number;
  /** `leaving` servers still serve; `lost` means a detected failure. */
  readonly state: "live" | "leaving" | "lost";
  readonly zone: number;
  readonly liveForMs: number;
}

/** Index of each key's server; -1 if it has none. */
export type Owners = Int32Array;

/**
 * A placement strategy. It sees a server failure once that is detected, and
 * any other change at once.
 */
export interface PlacementStrategy {
  readonly name: string;
  /** Returns the desired owners if they changed, otherwise undefined. */
  update(servers: readonly TraceServer[], nowMs: number): Owners | undefined;
  /** Records a forwarded request; only the planner uses it. */
  record?(key: number, entryVm: number): void;
  /** Records the measured mean work time of a server. */
  recordWork?(server: number, workMs: number): void;
}

/** Chooses the owner by `hash mod n` over the live servers. */
export class StaticHash implements PlacementStrategy {
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

/** Virtual nodes of each server on the ring. */
const RING_POINTS = 128;

/** Consistent hashing on a ring with virtual nodes. */
export class HashRing implements PlacementStrategy {
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

/** Options of {@link PlannerStrategy}. */
export interface PlannerStrategyOptions {
  readonly name: string;
  readonly hashes: Float64Array;
  readonly settings: placement.PlacementSettings;
  readonly entryVms: number;
  /** Time from the detection of a failure until the slices' next owner. */
  readonly lossWaitMs: number;
}

/** The same interval as in the entry process. */
const PLAN_INTERVAL_MS = 1000;
const REPORT_INTERVAL_MS = 1000;
const SERVICE = "service" as contracts.ServiceId;

/** The planner, fed with the load reports that entry VMs would send. */
export class PlannerStrategy implements PlacementStrategy {
  readonly name: string;
  readonly #options: PlannerStrategyOptions;
  readonly #planner: placement.Planner;
  readonly #aggregator = new placement.LoadAggregator(10 * REPORT_INTERVAL_MS);
  readonly #trackers: placement.LoadTracker[];
  #slices: contracts.Slice[] = [];
  #sliceOfKey: contracts.Slice[] = [];
  /** End of the handover for each vacating slice, by its first hash. */
  readonly #handoverEndsAtMs = new Map<number, number>();
  #nextPlanMs = 0;
  #nextReportMs = 0;
  #states = "";
  #planTimesMs: number[] = [];

  constructor(options: PlannerStrategyOptions) {
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
    const isFinished = this.#finishHandovers(nowMs);
    const changes = this.#plan(servers, nowMs);
    if (changes.length === 0 && !isFinished) return undefined;
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
    this.#nextReportMs = nowMs + REPORT_INTERVAL_MS;
    const known = new Set(servers.map(({ index }) => nameOf(index)));
    this.#trackers.forEach((tracker, index) => {
      tracker.keepOnly(known);
      const vm = `vm-${index}` as contracts.VmId;
      const incarnation = `vm-${index}-1` as contracts.Incarnation;
      const sender = { vm, incarnation, service: SERVICE };
      this.#aggregator.record(tracker.report(sender, nowMs), nowMs);
    });
  }

  #plan(
    servers: readonly TraceServer[],
    nowMs: number,
  ): readonly ownership.ChangeRequest[] {
    const states = servers.map(({ index, state }) => `${index}${state}`).join();
    const isServerChange = states !== this.#states;
    this.#states = states;
    const isDue = nowMs >= this.#nextPlanMs;
    if (!isServerChange && !isDue) return [];
    const input = this.#input(servers, nowMs);
    const startMs = performance.now();
    const plan = isDue
      ? this.#planner.plan(input)
      : this.#planner.planEvacuations(input);
    this.#planTimesMs.push(performance.now() - startMs);
    if (isDue) this.#nextPlanMs = nowMs + PLAN_INTERVAL_MS;
    return plan.changes;
  }

  #input(
    servers: readonly TraceServer[],
    nowMs: number,
  ): placement.PlacementInput {
    const speeds = this.#aggregator.speeds(nowMs);
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
      load: this.#aggregator.estimate(this.#slices, nowMs),
    };
  }

  /**
   * Slices of a failed server stay vacating until its lease has expired; any
   * other move completes at once.
   */
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
      const handoverEndsAtMs = this.#handoverEndsAtMs.get(slice.fromHash) ??
        nowMs + this.#options.lossWaitMs;
      this.#handoverEndsAtMs.set(slice.fromHash, handoverEndsAtMs);
      const from = old.state === "owned" ? [old.server] : old.from;
      return { ...slice, state: "vacating" as const, from };
    });
  }

  #finishHandovers(nowMs: number): boolean {
    let isChanged = false;
    this.#slices = this.#slices.map((slice) => {
      const atMs = this.#handoverEndsAtMs.get(slice.fromHash);
      if (slice.state !== "vacating" || atMs === undefined) return slice;
      if (nowMs < atMs) return slice;
      this.#handoverEndsAtMs.delete(slice.fromHash);
      isChanged = true;
      return { ...slice, state: "owned" as const, from: [] };
    });
    return isChanged;
  }

  /** The owner of each key, or the next one while its slice is vacating. */
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
