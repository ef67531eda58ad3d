/**
 * Servers, keepers and faults of the model world. Servers follow their
 * contract; keepers hold the decision classes under test.
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

/** Rules that a test switches off to show that they are needed. */
export interface Overrides {
  trackerClass?: typeof ownership.AssignmentTracker;
  schedulerClass?: typeof ownership.LeaseCommandScheduler;
  controllerClass?: typeof ownership.AssignmentController;
  isLeaseFromArrival?: boolean;
  isConfirmedFromReply?: boolean;
  /** Each keeper acts on its own settings, whatever the assignment lists. */
  isOwnTimings?: boolean;
}

export interface Scenario {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly overrides?: Overrides;
  /** Keepers; 3 when left out. */
  readonly voters?: number;
  /** Leases in the settings of each keeper; the default when left out. */
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

/** A clock of its own rate and start. */
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
  readonly #rules: Overrides;
  #run = 1;
  #revision = 0;
  #held: { slice: contracts.LeasedSlice; leaseEndMs: number }[] = [];
  pausedUntilMs = 0;

  constructor(index: number, clock: SkewedClock, rules: Overrides) {
    this.id = `server-${index}` as contracts.ServerId;
    this.clock = clock;
    this.#rules = rules;
  }

  restart(): void {
    this.#run++;
    this.#revision = 0;
    this.#held = [];
  }

  owns(hash: number, trueMs: number): boolean {
    const nowMs = this.clock.at(trueMs);
    return this.#held.some(({ slice, leaseEndMs }) =>
      slice.fromHash <= hash && hash < slice.toHash && nowMs < leaseEndMs
    );
  }

  receive(
    order: contracts.LeaseCommand,
    trueMs: number,
  ): contracts.LeaseCommandReply {
    const nowMs = this.clock.at(trueMs);
    const isStale = order.revision < this.#revision;
    const isStamped = order.stampInstance === `run-${this.#run}`;
    if (!isStale) this.#apply(order, isStamped, nowMs);
    return {
      instance: `run-${this.#run}`,
      stampMs: nowMs,
      revision: this.#revision,
      accepted: !isStale && isStamped,
      releasing: [],
      draining: false,
      checksFences: true,
    };
  }

  #apply(
    order: contracts.LeaseCommand,
    isStamped: boolean,
    nowMs: number,
  ): void {
    this.#revision = order.revision;
    const before = new Map(
      this.#held.map((held) => [held.slice.slice, held.leaseEndMs]),
    );
    const fromMs = this.#rules.isLeaseFromArrival ? nowMs : order.stampMs ?? 0;
    const endMs = isStamped ? fromMs + order.leaseMs : 0;
    this.#held = order.slices.map((slice) => ({
      slice,
      leaseEndMs: Math.max(endMs, before.get(slice.slice) ?? 0),
    }));
  }
}

/** The decision classes of one entry VM. */
export class SimulatedVoter {
  readonly vm: contracts.VmId;
  readonly clock: SkewedClock;
  readonly settings: ownership.OwnershipSettings;
  readonly #rules: Overrides;
  epoch = 0;
  book!: ownership.AssignmentTracker;
  orders!: ownership.LeaseCommandScheduler;
  mover!: ownership.AssignmentController;
  nextPollMs = 0;
  nextReadMs = 0;
  pausedUntilMs = 0;
  cutFromPeersUntilMs = 0;
  cutFromStoreUntilMs = 0;
  readonly cutFromServersUntilMs = new Map<contracts.ServerId, number>();

  constructor(index: number, clock: SkewedClock, scenario: Scenario) {
    this.vm = vmId(index);
    this.clock = clock;
    this.#rules = scenario.overrides ?? {};
    const leaseMs = scenario.leasesMs?.[index] ?? SETTINGS.leaseMs;
    this.settings = { ...SETTINGS, leaseMs };
    this.restart();
  }

  /** Timings of the orders that this keeper sends. */
  get timings(): contracts.LeaseTimings {
    return this.#rules.isOwnTimings ? this.settings : this.book.timings;
  }

  get incarnation(): contracts.Incarnation {
    return `run-${this.epoch}` as contracts.Incarnation;
  }

  restart(): void {
    this.epoch++;
    const Book = this.#rules.trackerClass ?? ownership.AssignmentTracker;
    const Orders = this.#rules.schedulerClass ??
      ownership.LeaseCommandScheduler;
    const Mover = this.#rules.controllerClass ?? ownership.AssignmentController;
    this.book = new Book(this.vm, SERVICE, this.settings);
    this.orders = new Orders(this.settings);
    const { vm, incarnation } = this;
    const identity = { service: SERVICE, vm, incarnation };
    this.mover = new Mover(identity, this.settings);
  }
}

export function vmId(index: number): contracts.VmId {
  return `entry-${index}` as contracts.VmId;
}

/** Set 0 names all keepers; 1 to 3 leave one out, 4 names the first. */
export function voterSet(set: number, count: number): contracts.Voter[] {
  const all = Array.from({ length: count }, (_, i) => ({ vm: vmId(i) }));
  if (set === 4) return all.slice(0, 1);
  return set === 0 ? all : all.filter((_, index) => index !== set - 1);
}
