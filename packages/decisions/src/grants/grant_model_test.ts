/**
 * Model test of ownership by grants: random interleavings with faults of entry
 * VMs, servers, messages and the store. No key may ever have two holders.
 */
import type * as contracts from "@guavatide/contracts";
import { KEY_COUNT } from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import * as clocks from "../clocks/mod.ts";
import * as grants from "./mod.ts";

const STEP_MS = 10;
const RUN_MS = 14_000;
/** Voters that were silent for 10 s count as removed by then. */
const LONG_RUN_MS = 24_000;
const TIMINGS = grants.DEFAULT_GRANT_TIMINGS;
const LONG_LEASE_MS = 2_600;
/** Leases of the first server, which limits its calls in a part of the run. */
const SPARING_LEASE_MS = 5_000;
const SPARING_FROM_MS = RUN_MS / 8;
const SPARING_UNTIL_MS = RUN_MS / 2;
const STATUS_MS = 200;
const QUARTER = KEY_COUNT / 4;
const SAMPLE_KEYS = [0, 1, 2, 3].map((index) => index * QUARTER + 7);
const SLOW_CLOCK = 1.02;
/** A step of a wall clock. */
const WALL_STEP_MS = 2_000;
/** Time between two changes of voters. */
const VOTER_CHANGE_MS = 1_300;

/** Safeguards to disable, so that the model must fail, and lasting faults. */
interface Faults {
  readonly noConfirmationTtl?: boolean;
  readonly noLeaseWait?: boolean;
  readonly noQuorum?: boolean;
  readonly forgetsUnanswered?: boolean;
  /** Voters report no grants of ranges in handover. */
  readonly reportsNoHandovers?: boolean;
  /** A server's longer leases are granted without the map saying so. */
  readonly hidesServerLease?: boolean;
  /** A fault: the first VM alone reaches the store, and it reaches no peer. */
  readonly isolateFirst?: boolean;
  /**
   * A fault: the last VM reaches the servers, but neither a peer nor the store.
   */
  readonly isolateLast?: boolean;
  /** A fault: servers start again under their ids, and register late. */
  readonly restartServers?: boolean;
  /** A fourth VM; three of them are voters, in turn. */
  readonly changeVoters?: boolean;
  /** A fault: the first VM does not reach the first server. */
  readonly cutFirstFromServer?: boolean;
  /** Servers refuse grants with older fences than that of a release. */
  readonly releasesTellFence?: boolean;
  /** A fault: wall clocks of VMs step forward, and back a moment later. */
  readonly stepWallClocks?: boolean;
  /** A fault: VMs are suspended, which their monotonic clocks don't count. */
  readonly suspendVms?: boolean;
  /** Each forward jump of a wall clock counts as time that has passed. */
  readonly countsJumpsAsTime?: boolean;
}

/** The earlier of two times; undefined for none. */
function earliest<Time extends number | undefined>(
  a: Time,
  b: number | undefined,
): number | Time {
  return a === undefined ? b as Time : Math.min(a, b ?? a);
}

class ModelServer {
  owner: contracts.RangeOwner;
  /** Indexed like SAMPLE_KEYS, as is `heldUntilMs`. */
  readonly fences = SAMPLE_KEYS.map(() => 0);
  readonly heldUntilMs = SAMPLE_KEYS.map(() => 0);
  unresponsiveUntilMs = 0;

  constructor(name: string) {
    this.owner = { server: name as contracts.ServerId, bornMs: 1 };
  }

  grant(
    range: contracts.RangeState,
    { arrivedMs, holdMs }: { arrivedMs: number; holdMs: number },
  ): boolean {
    const held = indexesOf(range);
    if (held.some((index) => this.fences[index]! > range.fence)) return false;
    for (const index of held) {
      this.fences[index] = range.fence;
      this.heldUntilMs[index] = arrivedMs + holdMs * SLOW_CLOCK;
    }
    return true;
  }

  /** Without `fence`, the release does not keep older grants from its keys. */
  release(range: contracts.KeyRange, fence = 0): void {
    for (const index of indexesOf(range)) {
      this.heldUntilMs[index] = 0;
      this.fences[index] = Math.max(this.fences[index]!, fence);
    }
  }

  /** Starts again under its id, at its address: it knows nothing of before. */
  restart(): void {
    this.owner = { ...this.owner, bornMs: this.owner.bornMs + 1 };
    this.fences.fill(0);
    this.heldUntilMs.fill(0);
    this.unresponsiveUntilMs = 0;
  }
}

function indexesOf({ fromKey, toKey }: contracts.KeyRange): number[] {
  return SAMPLE_KEYS.flatMap((key, index) =>
    fromKey <= key && key <= toKey ? [index] : []
  );
}

interface SentGrant extends contracts.KeyRange {
  readonly server: contracts.ServerId;
  isInFlight: boolean;
  endMs: number;
  unansweredMs: number | undefined;
  /** Longest lifetime of the lease of the last call, from its end on. */
  lifetimeMs: number;
  /** When the leases of calls that have ended expire at the latest. */
  leaseEndMs: number;
  unansweredLeaseEndMs: number | undefined;
}

/** The later of two times; undefined for none. */
function latest<Time extends number | undefined>(
  a: Time,
  b: number | undefined,
): number | Time {
  return a === undefined ? b as Time : Math.max(a, b ?? a);
}

/** The clocks of a VM, in a run whose time is `modelMs`. */
class ModelClock implements contracts.BoundedClock {
  readonly #modelMs: () => number;
  readonly #faults: Faults;
  readonly #jumps: clocks.WallClockJumps;
  #suspendedMs = 0;
  #suspendedAtMs: number | undefined;
  #forwardMs = 0;
  wallStepMs = 0;

  constructor(modelMs: () => number, faults: Faults) {
    this.#modelMs = modelMs;
    this.#faults = faults;
    this.#jumps = new clocks.WallClockJumps(this.#read());
  }

  get isSuspended(): boolean {
    return this.#suspendedAtMs !== undefined;
  }

  suspend(): void {
    this.#suspendedAtMs = this.#modelMs();
  }

  resume(): void {
    this.#suspendedMs += this.#modelMs() - this.#suspendedAtMs!;
    this.#suspendedAtMs = undefined;
  }

  nowMs(): number {
    return this.#read().monotonicMs + this.#forwardMs;
  }

  maxElapsedMs(sinceMs: number): number {
    if (this.#faults.countsJumpsAsTime) return this.nowMs() - sinceMs;
    return this.#jumps.maxElapsedMs(sinceMs, this.#observe());
  }

  latestTimeMs(ageMs: number): number {
    if (this.#faults.countsJumpsAsTime) return this.nowMs() - ageMs;
    return this.#jumps.latestTimeMs(ageMs, this.#observe());
  }

  /** Whether the wall clock has jumped forward since the last call. */
  takeForwardJump(): boolean {
    this.#observe();
    const forward = this.#jumps.takeJumpsMs().filter((jumpMs) => jumpMs > 0);
    if (this.#faults.countsJumpsAsTime) {
      for (const jumpMs of forward) this.#forwardMs += jumpMs;
    }
    return forward.length > 0;
  }

  #observe(): number {
    const reading = this.#read();
    this.#jumps.observe(reading);
    return reading.monotonicMs;
  }

  #read(): clocks.ClockReading {
    const modelMs = this.#modelMs();
    const monotonicMs = (this.#suspendedAtMs ?? modelMs) - this.#suspendedMs;
    return { monotonicMs, wallMs: modelMs + this.wallStepMs };
  }
}

/** What a voter tells of its grants: ages and times left, on its own clock. */
interface ModelStatus {
  readonly revision: number;
  readonly hasReadMap: boolean;
  readonly lifeMs: number;
  readonly ages: ReadonlyMap<contracts.ServerId, number>;
  readonly unansweredAges: ReadonlyMap<contracts.ServerId, number>;
  readonly handovers: readonly {
    readonly server: contracts.ServerId;
    readonly revision: number;
    readonly ageMs: number;
    readonly leftMs: number;
    readonly unansweredLeftMs: number | undefined;
  }[];
}

/** Its times are those of its clock. */
class ModelVm {
  readonly vm: contracts.VmId;
  readonly clock: ModelClock;
  reports = new grants.VoterReports();
  controller: grants.HandoverController;
  map: contracts.RangeMap | undefined;
  hasReadMap = false;
  startedMs = 0;
  /** Time of the model. */
  pausedUntilMs = 0;
  /** Whether messages that arrive while it is suspended are kept for it. */
  buffersMessages = false;
  hasStore = true;
  hasPeers = true;
  statusMs = 0;
  readMs = 0;
  /** Send time of the last status received from each peer. */
  readonly echoes = new Map<contracts.VmId, number>();
  /** When the last status of each peer arrived. */
  readonly heardMs = new Map<contracts.VmId, number>();
  /** Last grant calls by range and fence. */
  readonly sent = new Map<string, SentGrant>();
  readonly renewedMs = new Map<string, number>();
  /** The latest run of each server that this VM knows. */
  readonly bornMs = new Map<contracts.ServerId, number>();

  constructor(vm: string, clock: ModelClock) {
    this.vm = vm as contracts.VmId;
    this.clock = clock;
    this.controller = this.#newController();
  }

  #newController(): grants.HandoverController {
    const service = "s" as contracts.ServiceId;
    return new grants.HandoverController(service, this.reports, TIMINGS);
  }

  restart(): void {
    this.reports = new grants.VoterReports();
    this.controller = this.#newController();
    this.map = undefined;
    this.hasReadMap = false;
    this.startedMs = this.clock.nowMs();
    this.echoes.clear();
    this.sent.clear();
    this.renewedMs.clear();
  }

  adopt(map: contracts.RangeMap): void {
    if (map.revision <= (this.map?.revision ?? 0)) return;
    this.map = map;
    this.controller.noteNewerRevision(map.revision);
  }
}

/** One run with all its VMs, servers and the store. */
class Model {
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #faults: Faults;
  readonly servers = ["a", "b", "c"].map((name) => new ModelServer(name));
  readonly vms: readonly ModelVm[];
  #events: { readonly atMs: number; readonly run: () => void }[] = [];
  #stored: grants.StoredRangeMap | undefined;
  #version = 0;
  nowMs = 0;
  moves = 0;
  /** Handovers that ended with the old owner. */
  abandoned = 0;
  violations = 0;

  constructor(seed: number, faults: Faults) {
    this.#random = xoroshiro128plus(seed);
    this.#faults = faults;
    this.vms = ["k1", "k2", "k3", ...faults.changeVoters ? ["k4"] : []]
      .map((vm) => {
        const clock = new ModelClock(() => this.nowMs, faults);
        return new ModelVm(vm, clock);
      });
  }

  /** VMs that are to vote; one after the other is left out. */
  #voters(): contracts.VmId[] {
    const vms = this.vms.map(({ vm }) => vm);
    if (!this.#faults.changeVoters) return vms;
    const omitted = Math.floor(this.nowMs / VOTER_CHANGE_MS) % vms.length;
    return vms.filter((_, index) => index !== omitted);
  }

  run(untilMs = RUN_MS): void {
    for (; this.nowMs < untilMs; this.nowMs += STEP_MS) {
      this.#injectFaults();
      const due = this.#events.filter(({ atMs }) => atMs <= this.nowMs);
      this.#events = this.#events.filter(({ atMs }) => atMs > this.nowMs);
      for (const { run } of due) run();
      for (const vm of this.vms) this.#runVm(vm);
      this.#check();
    }
  }

  #chance(probability: number): boolean {
    return uniformFloat64(this.#random) < probability;
  }

  #between(low: number, high: number): number {
    return low + uniformFloat64(this.#random) * (high - low);
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#between(0, items.length))]!;
  }

  #after(delayMs: number, run: () => void): void {
    this.#events.push({ atMs: this.nowMs + delayMs, run });
  }

  #check(): void {
    for (const index of SAMPLE_KEYS.keys()) {
      const holders = this.servers.filter((server) =>
        server.heldUntilMs[index]! > this.nowMs
      );
      if (holders.length > 1) this.violations++;
    }
  }

  #injectFaults(): void {
    if (this.nowMs < 1_500) return;
    if (this.#faults.isolateFirst) {
      const [first, ...others] = this.vms;
      first!.hasPeers = false;
      for (const other of others) other.hasStore = false;
      return;
    }
    if (this.#faults.isolateLast) {
      const last = this.vms.at(-1)!;
      last.hasPeers = false;
      last.hasStore = false;
      return;
    }
    const vm = this.#pick(this.vms);
    const isAwake = !vm.clock.isSuspended;
    if (this.#chance(0.002) && isAwake) vm.restart();
    if (this.#chance(0.002) && isAwake) {
      vm.pausedUntilMs = this.nowMs + this.#between(500, 3_000);
    }
    if (this.#faults.stepWallClocks && this.#chance(0.01)) {
      vm.clock.wallStepMs += WALL_STEP_MS;
      this.#after(400, () => vm.clock.wallStepMs -= WALL_STEP_MS);
    }
    if (this.#faults.suspendVms && this.#chance(0.004) && isAwake) {
      this.#suspend(vm);
    }
    if (this.#chance(0.003)) vm.hasStore = !vm.hasStore;
    if (this.#chance(0.003)) vm.hasPeers = !vm.hasPeers;
    if (this.#chance(0.002)) {
      const server = this.#pick(this.servers);
      server.unresponsiveUntilMs = this.nowMs + this.#between(500, 4_000);
    }
    if (this.#faults.restartServers && this.#chance(0.002)) {
      this.#restartServer(this.#pick(this.servers));
    }
  }

  /** Suspends a VM, also for longer than handovers wait for a silent voter. */
  #suspend(vm: ModelVm): void {
    vm.clock.suspend();
    vm.buffersMessages = this.#chance(0.5);
    vm.pausedUntilMs = this.nowMs + this.#between(500, 6_000);
  }

  /** Each VM learns of the new run in its own time. */
  #restartServer(server: ModelServer): void {
    server.restart();
    const { bornMs } = server.owner;
    const registeredMs = this.#between(0, 1_500);
    for (const vm of this.vms) {
      const isLate = this.#chance(0.2);
      const delayMs = this.#between(0, isLate ? 2_000 : 100);
      this.#after(registeredMs + delayMs, () => {
        const known = vm.bornMs.get(server.owner.server) ?? 1;
        vm.bornMs.set(server.owner.server, Math.max(known, bornMs));
      });
    }
  }

  #runVm(vm: ModelVm): void {
    if (vm.pausedUntilMs > this.nowMs) return;
    if (vm.pausedUntilMs > 0) this.#resume(vm);
    if (vm.clock.takeForwardJump()) this.#dropConfirmations(vm);
    this.#noteOwnReport(vm);
    if (vm.clock.nowMs() - vm.statusMs >= STATUS_MS) this.#sendStatus(vm);
    if (!vm.hasReadMap) this.#read(vm);
    this.#renew(vm);
    if (this.#isLeader(vm)) this.#controlHandovers(vm);
  }

  #isLeader(vm: ModelVm): boolean {
    return vm.hasStore &&
      this.vms.every((other) =>
        other === vm || !other.hasStore || !other.hasPeers ||
        !vm.hasPeers || vm.vm < other.vm
      );
  }

  /** Timers that are due when a machine resumes run first. */
  #deliverAfterResume(vm: ModelVm, receive: () => void): void {
    if (!vm.clock.isSuspended || !vm.buffersMessages) return;
    const pauseLeftMs = vm.pausedUntilMs - this.nowMs;
    this.#after(pauseLeftMs + this.#between(1, 3) * STEP_MS, receive);
  }

  #resume(vm: ModelVm): void {
    vm.pausedUntilMs = 0;
    if (vm.clock.isSuspended) return vm.clock.resume();
    this.#dropConfirmations(vm);
  }

  #dropConfirmations(vm: ModelVm): void {
    vm.reports.clearConfirmations();
    vm.controller.requireRead();
    vm.hasReadMap = false;
  }

  #statusOf(vm: ModelVm): ModelStatus {
    const nowMs = vm.clock.nowMs();
    const ages = new Map<contracts.ServerId, number>();
    const unansweredAges = new Map<contracts.ServerId, number>();
    const handovers = new Map<string, ModelStatus["handovers"][number]>();
    for (const grant of vm.sent.values()) {
      const { server } = grant;
      const ageMs = grant.isInFlight ? 0 : nowMs - grant.endMs;
      const unansweredMs = this.#faults.forgetsUnanswered
        ? undefined
        : grant.isInFlight
        ? nowMs
        : grant.unansweredMs;
      ages.set(server, earliest(ageMs, ages.get(server))!);
      if (unansweredMs !== undefined) {
        const unansweredAgeMs = nowMs - unansweredMs;
        const otherMs = unansweredAges.get(server);
        unansweredAges.set(server, earliest(unansweredAgeMs, otherMs)!);
      }
      const inFlightLeaseEndMs = grant.isInFlight
        ? nowMs + TIMINGS.grantTimeoutMs + grant.lifetimeMs
        : undefined;
      const unansweredLeaseEndMs = this.#faults.forgetsUnanswered
        ? undefined
        : latest(inFlightLeaseEndMs, grant.unansweredLeaseEndMs);
      const unansweredLeftMs = unansweredLeaseEndMs === undefined
        ? undefined
        : unansweredLeaseEndMs - nowMs;
      const leftMs = latest(grant.leaseEndMs, inFlightLeaseEndMs) - nowMs;
      for (const range of vm.map?.ranges ?? []) {
        const { vacating } = range;
        if (vacating?.server !== server) continue;
        if (!grants.overlaps(grant, range)) continue;
        const { revision } = vacating;
        const name = `${server}/${revision}`;
        const other = handovers.get(name);
        handovers.set(name, {
          server,
          revision,
          ageMs: earliest(ageMs, other?.ageMs)!,
          leftMs: latest(leftMs, other?.leftMs),
          unansweredLeftMs: latest(unansweredLeftMs, other?.unansweredLeftMs),
        });
      }
    }
    return {
      revision: vm.map?.revision ?? 0,
      hasReadMap: vm.hasReadMap,
      lifeMs: nowMs - vm.startedMs,
      ages,
      unansweredAges,
      handovers: this.#faults.reportsNoHandovers ? [] : [...handovers.values()],
    };
  }

  /** Converts a status to times of the clock of the VM that receives it. */
  #noteStatus(
    { clock, reports }: ModelVm,
    vm: contracts.VmId,
    status: ModelStatus,
    { requestedAtMs, timeMs }: {
      readonly requestedAtMs: number;
      readonly timeMs: (ageMs: number) => number;
    },
  ): void {
    const nowMs = clock.nowMs();
    const timesOf = (ages: ReadonlyMap<contracts.ServerId, number>) =>
      new Map([...ages].map(([server, ageMs]) => [server, timeMs(ageMs)]));
    reports.noteReport({
      vm,
      revision: status.revision,
      hasReadMap: status.hasReadMap,
      requestedAtMs,
      receivedAtMs: nowMs,
      startedAtMs: nowMs - status.lifeMs,
      lastGrantMs: timesOf(status.ages),
      lastUnansweredMs: timesOf(status.unansweredAges),
      handovers: status.handovers.map((it) => ({
        server: it.server,
        revision: it.revision,
        lastGrantMs: timeMs(it.ageMs),
        leaseEndMs: nowMs + it.leftMs,
        unansweredLeaseEndMs: it.unansweredLeftMs === undefined
          ? undefined
          : nowMs + it.unansweredLeftMs,
      })),
    });
  }

  #noteOwnReport(vm: ModelVm): void {
    const nowMs = vm.clock.nowMs();
    const timeMs = (ageMs: number) => nowMs - ageMs;
    const options = { requestedAtMs: nowMs, timeMs };
    this.#noteStatus(vm, vm.vm, this.#statusOf(vm), options);
  }

  #sendStatus(vm: ModelVm): void {
    vm.statusMs = vm.clock.nowMs();
    const sentAtMs = vm.statusMs;
    for (const other of this.vms) {
      const isLost = !vm.hasPeers || !other.hasPeers || this.#chance(0.1);
      if (other === vm || isLost) continue;
      const echoMs = vm.echoes.get(other.vm) ?? Number.NEGATIVE_INFINITY;
      const status = this.#statusOf(vm);
      const receiverStartedMs = other.startedMs;
      const receive = () => {
        if (other.startedMs !== receiverStartedMs) return;
        if (other.pausedUntilMs > this.nowMs) {
          return this.#deliverAfterResume(other, receive);
        }
        other.echoes.set(vm.vm, sentAtMs);
        other.heardMs.set(vm.vm, other.clock.nowMs());
        const requestedAtMs = echoMs >= other.startedMs ? echoMs : -Infinity;
        const timeMs = (ageMs: number) => other.clock.latestTimeMs(ageMs);
        this.#noteStatus(other, vm.vm, status, { requestedAtMs, timeMs });
      };
      this.#after(this.#between(1, 40), receive);
    }
  }

  #read(vm: ModelVm): void {
    const requestedAtMs = vm.clock.nowMs();
    if (!vm.hasStore || requestedAtMs - vm.readMs < 250) return;
    vm.readMs = requestedAtMs;
    const stored = this.#stored;
    if (stored === undefined) return;
    const startedMs = vm.startedMs;
    this.#after(this.#between(5, 60), () => {
      if (vm.startedMs !== startedMs) return;
      vm.hasReadMap = true;
      vm.reports.noteRead(stored.map.revision, requestedAtMs);
      vm.adopt(stored.map);
    });
  }

  #renew(vm: ModelVm): void {
    const { map } = vm;
    if (map === undefined || !map.keeperSets.at(-1)!.includes(vm.vm)) return;
    for (const range of map.ranges) {
      if (range.vacating !== undefined) continue;
      const { server, bornMs } = range.owner;
      const isBusy = [...vm.sent.values()].some((it) =>
        it.server === server && it.isInFlight
      );
      if (isBusy) continue;
      if ((vm.bornMs.get(server) ?? 1) !== bornMs) continue;
      const name = `${range.fromKey}/${range.fence}`;
      const nowMs = vm.clock.nowMs();
      const renewedMs = vm.renewedMs.get(name) ?? -Infinity;
      if (nowMs - renewedMs < TIMINGS.renewMs) continue;
      const confirmationAgeMs = vm.clock.maxElapsedMs(
        vm.reports.confirmedAtMs(map),
      );
      const isConfirmed = this.#faults.noConfirmationTtl ||
        confirmationAgeMs < TIMINGS.confirmationTtlMs;
      if (!isConfirmed) return this.#read(vm);
      vm.renewedMs.set(name, nowMs);
      this.#grant(vm, range);
    }
  }

  /**
   * One grant call: sent late, answered, lost, or applied after its timeout.
   */
  #grant(vm: ModelVm, range: contracts.RangeState): void {
    const server = this.servers.find(({ owner }) =>
      owner.server === range.owner.server
    )!;
    const { fromKey, toKey, fence } = range;
    const name = `${server.owner.server}/${fence}/${fromKey}-${toKey}`;
    const state: SentGrant = vm.sent.get(name) ?? {
      server: server.owner.server,
      fromKey,
      toKey,
      isInFlight: false,
      endMs: 0,
      unansweredMs: undefined,
      lifetimeMs: 0,
      leaseEndMs: Number.NEGATIVE_INFINITY,
      unansweredLeaseEndMs: undefined,
    };
    vm.sent.set(name, state);
    state.isInFlight = true;
    const isHidden = this.#faults.hidesServerLease && this.#isSparing() &&
      server === this.servers[0];
    // A VM that knows of no limit grants leases of the usual duration.
    const longestMs = this.#chance(0.5)
      ? grants.leaseDurationMs(vm.map, TIMINGS, server.owner.server)
      : grants.leaseDurationMs(vm.map, TIMINGS);
    const holdMs = isHidden ? SPARING_LEASE_MS : longestMs;
    state.lifetimeMs = grants.maxLeaseLifetimeMs(TIMINGS, longestMs);
    const end = (isAnswered: boolean) => {
      state.isInFlight = false;
      state.endMs = vm.clock.nowMs();
      const leaseEndMs = state.endMs + state.lifetimeMs;
      state.leaseEndMs = Math.max(state.leaseEndMs, leaseEndMs);
      if (isAnswered) return;
      state.unansweredMs = state.endMs;
      state.unansweredLeaseEndMs = latest(
        leaseEndMs,
        state.unansweredLeaseEndMs,
      );
    };
    const transitMs = this.#between(1, 120);
    const waitMs = this.#chance(0.3)
      ? this.#between(0, TIMINGS.grantTimeoutMs)
      : 0;
    const isLate = this.#chance(0.1);
    this.#after(waitMs, () => {
      // What was sent to a run ends with it.
      const { bornMs } = server.owner;
      const isSameRun = () => server.owner.bornMs === bornMs;
      // It is asked again whether the grant may be sent.
      if (vm.clock.isSuspended) return;
      this.#after(transitMs, () => {
        const arrived = { arrivedMs: this.nowMs, holdMs };
        if (!isSameRun() || server.unresponsiveUntilMs > this.nowMs) return;
        if (isLate) {
          const delayMs = this.#between(200, 3_000);
          return this.#after(delayMs, () => {
            if (isSameRun()) server.grant(range, arrived);
          });
        }
        server.grant(range, arrived);
        this.#after(this.#between(1, 40), () => end(true));
      });
    });
    const giveUp = () => {
      if (state.isInFlight) end(false);
    };
    this.#after(TIMINGS.grantTimeoutMs, giveUp);
  }

  #controlHandovers(vm: ModelVm): void {
    const { controller } = vm;
    const tick = this.#tick(vm);
    const nowMs = vm.clock.nowMs();
    controller.checkAcknowledgements(nowMs, tick.removedVoters);
    for (const call of controller.takeReleases(nowMs)) {
      this.#release(vm, call);
    }
    const call = controller.nextCall(tick);
    if (call === undefined) return;
    const startedMs = vm.startedMs;
    const isLost = this.#chance(0.1);
    this.#after(this.#between(2, 60), () => {
      const end = this.#store(call, vm.hasStore);
      const isSeen = !isLost && vm.startedMs === startedMs;
      if (!isSeen) {
        if (vm.startedMs === startedMs) {
          vm.controller.noteCallResult({ kind: "unsure" }, vm.clock.nowMs());
        }
        return;
      }
      vm.controller.noteCallResult(end, vm.clock.nowMs());
      if (end.kind !== "written" && end.kind !== "found") return;
      vm.hasReadMap = true;
      vm.adopt(end.stored.map);
      for (const other of this.vms) {
        const isDelivered = vm.hasPeers && other.hasPeers && !this.#chance(0.2);
        if (!isDelivered) continue;
        const otherStartedMs = other.startedMs;
        const adopt = () => {
          if (other.startedMs !== otherStartedMs) return;
          if (other.clock.isSuspended) {
            return this.#deliverAfterResume(other, adopt);
          }
          other.adopt(end.stored.map);
        };
        this.#after(this.#between(1, 40), adopt);
      }
    });
  }

  #release(
    vm: ModelVm,
    { range, oldOwner }: grants.ReleaseCall,
  ): void {
    const server = this.servers.find(({ owner }) =>
      owner.server === oldOwner.server
    )!;
    const startedMs = vm.startedMs;
    const note = (end: { readonly handover: undefined } | "failed") => {
      if (vm.startedMs !== startedMs) return;
      vm.controller.noteReleaseResult(range.fence, end, vm.clock.nowMs());
    };
    this.#after(this.#between(1, 60), () => {
      const isCut = this.#faults.cutFirstFromServer && vm === this.vms[0] &&
        server === this.servers[0];
      if (isCut || server.unresponsiveUntilMs > this.nowMs) {
        return this.#after(500, () => note("failed"));
      }
      const { releasesTellFence } = this.#faults;
      server.release(range, releasesTellFence ? range.fence : undefined);
      this.#after(this.#between(1, 100), () => note({ handover: undefined }));
    });
  }

  #isSparing(): boolean {
    return this.nowMs >= SPARING_FROM_MS && this.nowMs < SPARING_UNTIL_MS;
  }

  #tick(vm: ModelVm): grants.HandoverTick {
    const usable = new Map(
      this.servers.map(({ owner: { server } }) => {
        const bornMs = vm.bornMs.get(server) ?? 1;
        const entry = { server, bornMs, slots: 1 };
        return [server, entry as contracts.RegisteredServer];
      }),
    );
    const nowMs = vm.clock.nowMs();
    return {
      nowMs: this.#faults.noLeaseWait ? nowMs + 1e6 : nowMs,
      usable,
      voters: this.#voters(),
      removedVoters: this.#removedVoters(vm),
      plan: (map) => this.#plan(map, [...usable.values()]),
      nonce: () => String(this.#version),
      // Requests need longer leases in the second half of the run.
      leaseMs: this.nowMs < RUN_MS / 2 ? TIMINGS.holdMs : LONG_LEASE_MS,
      serverLeasesMs: new Map(
        this.#isSparing() && !this.#faults.hidesServerLease
          ? [[this.servers[0]!.owner.server, SPARING_LEASE_MS]]
          : [],
      ),
    };
  }

  #removedVoters(vm: ModelVm): Set<contracts.VmId> {
    if (this.#faults.noQuorum) return new Set(this.vms.map((it) => it.vm));
    return grants.removedVoters({
      vm: vm.vm,
      map: vm.map,
      live: [],
      weak: new Set(),
      cutOff: new Set(),
      sinceLastMessageMs: (voter) =>
        vm.clock.nowMs() - (vm.heardMs.get(voter) ?? Number.NEGATIVE_INFINITY),
      uptimeMs: vm.clock.nowMs() - vm.startedMs,
    });
  }

  #plan(
    { ranges }: contracts.RangeMap,
    usable: readonly contracts.RegisteredServer[],
  ): grants.RangeMove[] {
    const pickOwner = () => {
      const { server, bornMs } = this.#pick(usable);
      return { server, bornMs };
    };
    const owners = usable.map(({ server, bornMs }) => ({ server, bornMs }));
    const lost = ranges.filter(({ owner }) =>
      !owners.some((usableOwner) => grants.isSameOwner(usableOwner, owner))
    );
    if (lost.length > 0) {
      return lost.map(({ fromKey, toKey }) => ({
        fromKey,
        toKey,
        to: pickOwner(),
      }));
    }
    if (this.nowMs < 1_000 || !this.#chance(0.05)) return [];
    this.moves++;
    const quarter = Math.floor(this.#between(0, 4));
    return [{
      fromKey: quarter * QUARTER,
      toKey: (quarter + 1) * QUARTER - 1,
      to: pickOwner(),
    }];
  }

  #store(call: grants.MapCall, isReached: boolean): grants.MapCallResult {
    if (!isReached) return { kind: "unsure" };
    if (call.kind === "read") {
      return this.#stored === undefined
        ? { kind: "absent" }
        : { kind: "found", stored: this.#stored };
    }
    const { condition, map } = call;
    const isMet = condition.kind === "absent"
      ? this.#stored === undefined
      : condition.kind === "version" &&
        condition.version === this.#stored?.version;
    if (!isMet) return { kind: "unsure" };
    this.#version++;
    this.#stored = { map, version: String(this.#version) };
    if (call.kind === "write") this.abandoned += call.abandoned.length;
    return { kind: "written", stored: this.#stored };
  }
}

const RUNS = Number(process.env["GRANT_MODEL_RUNS"] ?? 40);
const SEED = Number(process.env["GRANT_MODEL_SEED"] ?? 1);

function runModels(
  faults: Faults,
  runs: number,
  untilMs = RUN_MS,
): { violations: number; moves: number; abandoned: number } {
  let violations = 0;
  let moves = 0;
  let abandoned = 0;
  for (let index = 0; index < runs; index++) {
    const model = new Model(SEED * 1_000 + index, faults);
    model.run(untilMs);
    violations += model.violations;
    moves += model.moves;
    abandoned += model.abandoned;
  }
  return { violations, moves, abandoned };
}

test("should never let two servers hold a key", () => {
  const { violations, moves, abandoned } = runModels({}, RUNS);
  expect(violations).toEqual(0);
  expect(moves > RUNS * 5).toEqual(true);
  expect(abandoned > 0).toEqual(true);
});

/**
 * Guards against keys given on while a new run of their owner holds them by
 * grants that were meant for the run before it.
 */
test("should never let two servers hold a key while servers restart", () => {
  const { violations, moves } = runModels({ restartServers: true }, RUNS);
  expect(violations).toEqual(0);
  expect(moves > RUNS * 5).toEqual(true);
});

/** Guards against leases that were granted by VMs that no longer vote. */
test("should never let two servers hold a key while voters change", () => {
  const { violations, moves } = runModels({ changeVoters: true }, RUNS);
  expect(violations).toEqual(0);
  expect(moves > RUNS * 5).toEqual(true);
});

/**
 * Guards against keys given on while their owner's lease runs, as a step of a
 * wall clock counts as time that has passed.
 */
test("should never let two servers hold a key while wall clocks step", () => {
  const { violations, moves } = runModels({ stepWallClocks: true }, RUNS);
  expect(violations).toEqual(0);
  expect(moves > RUNS * 5).toEqual(true);
});

/**
 * Guards against renewals by a VM that resumes from a suspension, on
 * confirmations from before it.
 */
test("should never let two servers hold a key while VMs are suspended", () => {
  const variants: readonly Faults[] = [
    { suspendVms: true },
    { suspendVms: true, cutFirstFromServer: true },
  ];
  for (const faults of variants) {
    const { violations, moves } = runModels(faults, RUNS);
    expect(violations).toEqual(0);
    expect(moves > RUNS * 5).toEqual(true);
  }
});

/** Guards against safeguards that hold for steps or suspensions alone. */
test("should never let two servers hold a key while wall clocks step and VMs are suspended", () => {
  const faults = { stepWallClocks: true, suspendVms: true };
  const { violations, moves } = runModels(faults, RUNS);
  expect(violations).toEqual(0);
  expect(moves > RUNS * 5).toEqual(true);
});

/** Guards against two holders when only the leader reaches the store. */
test("should not move keys without a reachable majority", () => {
  expect(runModels({ isolateFirst: true }, 20).violations).toEqual(0);
});

/** Guards against renewals by a voter that reaches nothing but the servers. */
test("should wait for a voter that is partitioned from its peers and the store", () => {
  expect(runModels({ isolateLast: true }, 20).violations).toEqual(0);
});

/**
 * Guards against a leader that takes a majority of voters for removed that it
 * has not heard for long, while they go on renewing at a server it can't reach.
 */
test("should never let two servers hold a key while most voters are cut off from the leader and the store", () => {
  const faults = {
    isolateFirst: true,
    cutFirstFromServer: true,
    releasesTellFence: true,
  };
  const { violations, moves } = runModels(faults, 20, LONG_RUN_MS);
  expect(violations).toEqual(0);
  expect(moves > 20 * 5).toEqual(true);
});

/**
 * Each row disables one safeguard; the model must show the failure it prevents.
 */
const DISABLED_SAFEGUARDS: readonly [string, Faults][] = [
  ["confirmations expire", { noConfirmationTtl: true, isolateLast: true }],
  ["a handover waits for the last lease", { noLeaseWait: true }],
  ["a quorum acknowledges the handover", {
    noQuorum: true,
    isolateFirst: true,
  }],
  ["unanswered grants outlast a release", { forgetsUnanswered: true }],
  ["voters report grants by handover", { reportsNoHandovers: true }],
  ["the map names a server's longer lease", { hidesServerLease: true }],
  ["leases are over by the least time that may have passed", {
    stepWallClocks: true,
    countsJumpsAsTime: true,
  }],
];

for (const [safeguard, faults] of DISABLED_SAFEGUARDS) {
  test(`should detect two holders without the safeguard that ${safeguard}`, () => {
    expect(runModels(faults, 60).violations > 0).toEqual(true);
  });
}
