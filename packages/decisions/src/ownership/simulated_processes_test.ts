/**
 * Servers, voters and faults of the simulated cluster. Servers follow their
 * contract; voters run the decision classes under test. `keeper` in a fault is
 * the index of a voter.
 */
import * as contracts from "@guavatide/contracts";
import * as ownership from "./mod.ts";

export const SETTINGS = ownership.DEFAULT_OWNERSHIP_SETTINGS;
export const SERVICE = "availability" as contracts.ServiceId;
export const VOTERS = 3;
export const SERVERS = 3;
export const SLICES = 3;
export const STEP_MS = 10;
export const END_MS = 9_000;
export const VOTER_POLL_MS = 150;

export type Fault =
  | { kind: "move"; atMs: number; keeper: number; slice: number; to: number }
  | { kind: "restart-keeper"; atMs: number; keeper: number }
  | { kind: "pause-keeper"; atMs: number; keeper: number; forMs: number }
  | { kind: "restart-server"; atMs: number; server: number }
  | { kind: "pause-server"; atMs: number; server: number; forMs: number }
  | { kind: "cut-store"; atMs: number; keeper: number; forMs: number }
  | { kind: "lose-store-replies"; atMs: number; forMs: number }
  | { kind: "cut-peers"; atMs: number; keeper: number; forMs: number }
  | {
    kind: "cut-server";
    atMs: number;
    keeper: number;
    server: number;
    forMs: number;
  }
  | { kind: "slow"; atMs: number; forMs: number; delayMs: number }
  | { kind: "split"; atMs: number; forMs: number; side: number[] }
  | { kind: "timings"; atMs: number; keeper: number }
  | { kind: "keepers"; atMs: number; keeper: number; set: number };

/** Replaces classes and rules, to show that the safeguard is needed. */
export interface Overrides {
  trackerClass?: typeof ownership.AssignmentTracker;
  schedulerClass?: typeof ownership.LeaseCommandScheduler;
  controllerClass?: typeof ownership.AssignmentController;
  isLeaseFromArrival?: boolean;
  isConfirmedFromReply?: boolean;
  /** Each voter acts on its own settings, whatever the assignment lists. */
  isOwnTimings?: boolean;
}

export interface Scenario {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly overrides?: Overrides;
  /** Number of voters; 3 when left out. */
  readonly voters?: number;
  /** Lease duration in each voter's settings; the default when left out. */
  readonly leasesMs?: readonly number[];
}

export class SeededRandom implements contracts.RandomSource {
  #state: number;
  constructor(seed: number) {
    this.#state = seed >>> 0;
  }
  next(): number {
    this.#state = (Math.imul(this.#state, 1664525) + 1013904223) >>> 0;
    return this.#state / 2 ** 32;
  }
}

/** A clock with its own start and rate. */
export class SkewedClock {
  constructor(readonly startMs: number, readonly rate: number) {}
  at(trueMs: number): number {
    return this.startMs + trueMs * this.rate;
  }
}

/** A server that checks fences, as its contract describes it. */
export class SimulatedServer {
  readonly id: contracts.ServerId;
  readonly clock: SkewedClock;
  readonly #overrides: Overrides;
  #epoch = 1;
  #revision = 0;
  #leases: { slice: contracts.LeasedSlice; leaseEndMs: number }[] = [];
  pausedUntilMs = 0;

  constructor(index: number, clock: SkewedClock, overrides: Overrides) {
    this.id = `server-${index}` as contracts.ServerId;
    this.clock = clock;
    this.#overrides = overrides;
  }

  restart(): void {
    this.#epoch++;
    this.#revision = 0;
    this.#leases = [];
  }

  owns(hash: number, trueMs: number): boolean {
    const nowMs = this.clock.at(trueMs);
    return this.#leases.some(({ slice, leaseEndMs }) =>
      slice.fromHash <= hash && hash < slice.toHash && nowMs < leaseEndMs
    );
  }

  receive(
    command: contracts.LeaseCommand,
    trueMs: number,
  ): contracts.LeaseCommandReply {
    const nowMs = this.clock.at(trueMs);
    const isStale = command.revision < this.#revision;
    const isStamped = command.stampInstance === `run-${this.#epoch}`;
    if (!isStale) this.#apply(command, isStamped, nowMs);
    return {
      instance: `run-${this.#epoch}`,
      stampMs: nowMs,
      revision: this.#revision,
      accepted: !isStale && isStamped,
      releasing: [],
      draining: false,
      checksFences: true,
    };
  }

  #apply(
    command: contracts.LeaseCommand,
    isStamped: boolean,
    nowMs: number,
  ): void {
    this.#revision = command.revision;
    const earlierEndMs = new Map(
      this.#leases.map((lease) => [lease.slice.slice, lease.leaseEndMs]),
    );
    const startMs = this.#overrides.isLeaseFromArrival
      ? nowMs
      : command.stampMs ?? 0;
    const endMs = isStamped ? startMs + command.leaseMs : 0;
    this.#leases = command.slices.map((slice) => ({
      slice,
      leaseEndMs: Math.max(endMs, earlierEndMs.get(slice.slice) ?? 0),
    }));
  }
}

/**
 * An entry VM that votes: the decision classes under test and its connections.
 */
export class SimulatedVoter {
  readonly vm: contracts.VmId;
  readonly clock: SkewedClock;
  readonly settings: ownership.OwnershipSettings;
  readonly #overrides: Overrides;
  epoch = 0;
  tracker!: ownership.AssignmentTracker;
  scheduler!: ownership.LeaseCommandScheduler;
  controller!: ownership.AssignmentController;
  nextPollMs = 0;
  nextReadMs = 0;
  pausedUntilMs = 0;
  cutFromPeersUntilMs = 0;
  cutFromStoreUntilMs = 0;
  readonly cutFromServersUntilMs = new Map<contracts.ServerId, number>();

  constructor(index: number, clock: SkewedClock, scenario: Scenario) {
    this.vm = vmId(index);
    this.clock = clock;
    this.#overrides = scenario.overrides ?? {};
    const leaseMs = scenario.leasesMs?.[index] ?? SETTINGS.leaseMs;
    this.settings = { ...SETTINGS, leaseMs };
    this.restart();
  }

  /** Timings of the lease commands that this voter sends. */
  get timings(): contracts.LeaseTimings {
    return this.#overrides.isOwnTimings ? this.settings : this.tracker.timings;
  }

  get incarnation(): contracts.Incarnation {
    return `run-${this.epoch}` as contracts.Incarnation;
  }

  restart(): void {
    this.epoch++;
    const TrackerClass = this.#overrides.trackerClass ??
      ownership.AssignmentTracker;
    const SchedulerClass = this.#overrides.schedulerClass ??
      ownership.LeaseCommandScheduler;
    const ControllerClass = this.#overrides.controllerClass ??
      ownership.AssignmentController;
    this.tracker = new TrackerClass(this.vm, SERVICE, this.settings);
    this.scheduler = new SchedulerClass(this.settings);
    const { vm, incarnation } = this;
    const identity = { service: SERVICE, vm, incarnation };
    this.controller = new ControllerClass(identity, this.settings);
  }
}

export function vmId(index: number): contracts.VmId {
  return `entry-${index}` as contracts.VmId;
}

/**
 * Set 0 contains all voters; 1 to 3 leave one out, 4 contains the first only.
 */
export function voterSet(set: number, count: number): contracts.Voter[] {
  const all = Array.from({ length: count }, (_, i) => ({ vm: vmId(i) }));
  if (set === 4) return all.slice(0, 1);
  return set === 0 ? all : all.filter((_, index) => index !== set - 1);
}
