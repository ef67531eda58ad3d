/**
 * Key ownership of one keyed service on one entry VM: the range map as known
 * here, the grants that this VM renews and, while it is the leader, the
 * handovers of ranges.
 */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { KeyOwner } from "@guavatide/decisions/admission/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import { GrantSender, type HandoverGrantTimes } from "./grant_sender.ts";
import { MapPublisher } from "./map_publisher.ts";
import { MovePlanner, type MovePlannerOptions } from "./move_planner.ts";
import type {
  KeyCounts,
  RangeMapUpdate,
  VoterStatus,
} from "../peers/peer_messages.ts";
import { RangeMapFetcher } from "./range_map_fetcher.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import type { ServerBackoffTask } from "../backoffs/server_backoff_task.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** An entry VM that may be a voter or the leader, this one included. */
export interface GrantPeer {
  readonly vm: contracts.VmId;
  /** Whether it reaches the platform's store. */
  readonly hasStore: boolean;
}

/** Options of {@link ServiceGrants}. */
export interface ServiceGrantsOptions
  extends Omit<MovePlannerOptions, "keepsRanges"> {
  readonly vm: contracts.VmId;
  readonly clock: contracts.BoundedClock;
  readonly timings: grants.GrantTimings;
  readonly hasher: ownership.KeyHasher;
  readonly maps: RangeMapStore;
  readonly control: contracts.GrantControl;
  readonly registry: ServerRegistry;
  /** Entry VMs that are up, this one included. */
  readonly peers: () => readonly GrantPeer[];
  /** Weights of VMs for roles; the same map until one changes. */
  readonly roleWeights: () => grants.VmWeights;
  /** Lease duration that the service's routes need. */
  readonly desiredLeaseMs: () => number;
  /**
   * Lease duration of a server that is to get few calls; undefined for any
   * other server.
   */
  readonly sparingLeaseMs: (
    server: contracts.ServerId,
  ) => number | undefined;
  /**
   * Calls a second beside requests that a server takes; undefined for one
   * without a limit.
   */
  readonly controlCallsPerSecond: (
    server: contracts.ServerId,
  ) => number | undefined;
  /** Servers that have asked entry VMs to back off. */
  readonly backoffs: Pick<
    ServerBackoffTask,
    "hasAny" | "isBackingOff" | "mayControl" | "isCrossing"
  >;
  /** Whether any VM doesn't reach some server. */
  readonly hasUnreached: () => boolean;
  /** Whether a VM reaches a server, as far as is known. */
  readonly reaches: (
    vm: contracts.VmId,
    server: contracts.ServerId,
  ) => boolean;
  /** Whether a VM reaches any server, as far as is known. */
  readonly reachesAny: (vm: contracts.VmId) => boolean;
  /** Time since a VM's last message; infinite for an unknown VM. */
  readonly sinceLastMessageMs: (vm: contracts.VmId) => number;
  /** Fetches the map from a peer; undefined without an answer. */
  readonly fetchMap: (
    peer: contracts.VmId,
  ) => Promise<contracts.RangeMap | undefined>;
  /** Sends an update of the map to all peers. */
  readonly publish: (update: RangeMapUpdate) => void;
  /** Sends this VM's status to the other voters at once. */
  readonly notifyVoters: () => void;
  /** Owners, or whether they have accepted their ranges, have changed. */
  readonly onChange: () => void;
}

/**
 * For this long only the leader grants a new range: its grant carries the old
 * owner's handover state.
 */
const HANDOVER_LEAD_MS = 600;
/**
 * Fractions of a lease after which it is renewed at a server that has asked for
 * no calls: by the first VM while it may still send some, and otherwise.
 */
const BACKOFF_RENEWAL_RATIO = 0.5;
const LAST_RENEWAL_RATIO = 0.75;
/** Timeout of one release call: running work has to end first. */
const RELEASE_TIMEOUT_MS = 2_500;
/**
 * After this time an owner counts as ready although no acceptance was received.
 */
const ACCEPTANCE_TIMEOUT_MS = 1_500;
/**
 * A VM that has just started first learns which other VMs could be the leader.
 */
const LEADER_STARTUP_GRACE_MS = 700;

/** Key ownership of one service. */
export class ServiceGrants {
  readonly #options: ServiceGrantsOptions;
  readonly #voterReports = new grants.VoterReports();
  readonly #handoverController: grants.HandoverController;
  readonly #sender: GrantSender;
  readonly #planner: MovePlanner;
  readonly #startedAtMs: number;
  #map: contracts.RangeMap | undefined;
  /** Ranges of the map that are renewed, by owner. */
  #rangesByOwner = new Map<contracts.ServerId, contracts.RangeState[]>();
  /** Ranges in handover by their old owner. */
  #inHandover: ReadonlyMap<
    contracts.ServerId,
    readonly contracts.RangeState[]
  > = new Map();
  /**
   * Fences whose owners have not accepted their grant, as the leader reports.
   */
  #pendingFences = new Set<number>();
  #adoptedAtMs = Number.NEGATIVE_INFINITY;
  readonly #handoverAges = new grants.HandoverAges();
  #isLeader = false;
  readonly #initialMapWait = new grants.InitialMapWait();
  readonly #errors: FailureLog;
  readonly #ranking: grants.VmRanking;
  readonly #publisher: MapPublisher;
  readonly #fetcher: RangeMapFetcher;
  readonly #lostServers = new grants.LostServers();
  readonly #pacer = new grants.ReleasePacer();
  /** When this VM last sent a grant to each owner. */
  readonly #grantedAtMs = new Map<contracts.ServerId, number>();
  /** Fences that were accepted in answer to this VM's grants. */
  readonly #acceptedFences = new Set<number>();

  constructor(options: ServiceGrantsOptions) {
    this.#options = options;
    this.#errors = new FailureLog(options.log);
    this.#ranking = new grants.VmRanking(
      options.hasher,
      options.roleWeights,
    );
    this.#publisher = new MapPublisher(options);
    this.#planner = new MovePlanner({
      ...options,
      keepsRanges: (server) =>
        this.#handoverController.keepsRanges(server, options.clock.nowMs()),
    });
    this.#startedAtMs = options.clock.nowMs();
    this.#fetcher = new RangeMapFetcher({
      ...options,
      isVoterOrLeader: () => this.#isVoterOrLeader,
      knownRevision: () => this.#map?.revision ?? 0,
      onStoreMap: (map, sentAtMs) => {
        this.#voterReports.noteRead(map.revision, sentAtMs);
        this.#adoptNewer(map, "store");
      },
      onUnconfirmedMap: (map) => this.#adoptNewer(map, "peer"),
      onFirstStoreRead: options.notifyVoters,
    });
    this.#handoverController = new grants.HandoverController(
      options.service,
      this.#voterReports,
      options.timings,
    );
    this.#sender = new GrantSender({
      ...options,
      findServer: (owner) => options.registry.entry(owner),
      onAccepted: (range) => this.#noteAccepted(range),
      onFencedOff: () => this.#handoverController.requireRead(),
      onCompleted: (server) => {
        // The leader waits until no grant to the old owner is in flight.
        if (this.#inHandover.has(server)) options.notifyVoters();
      },
    });
  }

  /** Whether a range map is known. */
  get isMapKnown(): boolean {
    return this.#map !== undefined;
  }

  /** The range map as known here. */
  get map(): contracts.RangeMap | undefined {
    return this.#map;
  }

  /** Whether this VM is the leader of the service's ranges. */
  get isLeader(): boolean {
    return this.#isLeader;
  }

  /**
   * Revision known, and whether this incarnation has read the map from the
   * store.
   */
  get mapStatus(): [number, boolean] {
    return [this.#map?.revision ?? 0, this.#fetcher.hasReadMap];
  }

  /** Ages of this VM's last grants to old owners, see {@link GrantSender}. */
  get grantAgesMs(): Map<contracts.ServerId, [number, number | null]> {
    const ages = this.#sender.grantAgesMs();
    for (const server of ages.keys()) {
      if (!this.#inHandover.has(server)) ages.delete(server);
    }
    return ages;
  }

  /** This VM's last grants of ranges in handover. */
  get handoverGrantTimesMs(): HandoverGrantTimes[] {
    return this.#sender.handoverGrantTimesMs(this.#inHandover);
  }

  /** Servers that do not answer this VM's grants. */
  get unresponsiveServers(): contracts.ServerId[] {
    return this.#sender.unresponsiveServers();
  }

  /**
   * The leader, as far as this VM can tell: a voter, since it grants what it
   * hands over; any VM while no voter reaches the store.
   */
  get leaderVm(): contracts.VmId | undefined {
    const { service, peers } = this.#options;
    const reachable = peers().filter(({ hasStore }) => hasStore);
    const voters = this.#map?.keeperSets.at(-1);
    const eligible = reachable.filter(({ vm }) => voters?.includes(vm) ?? true);
    const candidates = this.#preferReaching(
      eligible.length > 0 ? eligible : reachable,
    );
    return this.#ranking.rank(service, candidates.map(({ vm }) => vm))[0];
  }

  /** The VMs that reach servers; all of them if none does. */
  #preferReaching(peers: readonly GrantPeer[]): readonly GrantPeer[] {
    const { hasUnreached, reachesAny } = this.#options;
    if (!hasUnreached()) return peers;
    const reaching = peers.filter(({ vm }) => reachesAny(vm));
    return reaching.length > 0 ? reaching : peers;
  }

  /** The owner of a key. */
  ownerOf(key: number): KeyOwner {
    const nowMs = this.#options.clock.nowMs();
    if (this.#map === undefined) {
      return { kind: "unknown", ageMs: nowMs - this.#startedAtMs };
    }
    const { ranges } = this.#map;
    const range = ranges[grants.rangeIndex(ranges, key)]!;
    if (range.vacating !== undefined || this.#isPending(range)) {
      const ageMs = this.#handoverAges.ageMs(range, nowMs);
      const holdMs = this.#grantedLeaseMs(range.vacating?.server);
      // Only the store makes a server the owner; a grant needs no store.
      const isBlocked = range.vacating !== undefined &&
        !this.#options.peers().some(({ hasStore }) => hasStore);
      return { kind: "moving", ageMs, holdMs, isBlocked };
    }
    return { kind: "owned", ...range.owner, fence: range.fence };
  }

  /**
   * Whether the owner has yet to accept; limited in time, as updates may be
   * lost.
   */
  #isPending({ fence }: contracts.RangeState): boolean {
    if (!this.#pendingFences.has(fence)) return false;
    const ageMs = this.#options.clock.nowMs() - this.#adoptedAtMs;
    return ageMs < ACCEPTANCE_TIMEOUT_MS;
  }

  /** Adds request counts by key since the last message of a peer or this VM. */
  noteKeyCounts(counts: KeyCounts): void {
    this.#planner.noteKeyCounts(counts);
  }

  /**
   * Records a voter's status. `sentAtMs` is when the message that it echoes was
   * sent, which bounds the age of the status.
   */
  noteVoterStatus(
    status: VoterStatus,
    sentAtMs: number,
    receivedAtMs: number,
  ): void {
    const { service, clock } = this.#options;
    const [revision, hasReadMap] = status.maps[service] ?? [0, false];
    const latestTimeMs = (ageMs: number) => clock.latestTimeMs(ageMs);
    this.#voterReports.noteReport({
      vm: status.vm,
      revision,
      hasReadMap,
      requestedAtMs: sentAtMs,
      receivedAtMs,
      startedAtMs: receivedAtMs - status.lifeMs,
      ...grantTimes(Object.entries(status.grantAgesMs), latestTimeMs),
      handovers: status.handoverGrantTimesMs &&
        handoverGrants(status.handoverGrantTimesMs, {
          receivedAtMs,
          latestTimeMs,
        }),
    });
    this.#lostServers.noteUnresponsive(status.vm, status.silentServers);
  }

  /** Notes the revision of the map that a peer knows. */
  notePeerRevision(revision: number, peer: contracts.VmId): void {
    this.#fetcher.notePeerRevision(revision, peer);
  }

  /** Applies the leader's update of the map. */
  applyUpdate({ map, baseRevision, pendingFences }: RangeMapUpdate): void {
    const known = this.#map?.revision ?? 0;
    if (map.revision < known) return;
    const pending = new Set(pendingFences);
    if (map.revision === known) {
      this.#pendingFences = pending;
      return this.#options.onChange();
    }
    const ranges = known < baseRevision
      ? undefined
      : grants.applyChanges(this.#map?.ranges ?? [], map.ranges);
    // The update's base revision was not received.
    if (ranges === undefined) return this.#fetcher.catchUp();
    this.#pendingFences = pending;
    this.#adopt({ ...map, ranges }, "news");
  }

  /**
   * Discards confirmations after a possible suspension of the machine: they may
   * be outdated.
   */
  noteSuspension(): void {
    this.#voterReports.clearConfirmations();
    this.#handoverController.requireRead();
    this.#fetcher.invalidate();
  }

  /** Periodic work: renewals, reads, handovers. */
  tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#noteOwnReport(nowMs);
    this.#updateLeadership(nowMs);
    this.#fetcher.tick(nowMs);
    if (this.#map !== undefined) this.#renew(this.#map, nowMs);
    if (this.#isLeader) this.#runHandovers(nowMs);
  }

  #noteOwnReport(nowMs: number): void {
    const timeMs = (ageMs: number) => nowMs - ageMs;
    this.#voterReports.noteReport({
      vm: this.#options.vm,
      revision: this.#map?.revision ?? 0,
      hasReadMap: this.#fetcher.hasReadMap,
      requestedAtMs: nowMs,
      receivedAtMs: nowMs,
      startedAtMs: this.#startedAtMs,
      ...grantTimes(this.#sender.grantAgesMs(), timeMs),
      handovers: handoverGrants(this.handoverGrantTimesMs, {
        receivedAtMs: nowMs,
        latestTimeMs: timeMs,
      }),
    });
  }

  #updateLeadership(nowMs: number): void {
    const isLeader = nowMs - this.#startedAtMs >= LEADER_STARTUP_GRACE_MS &&
      this.leaderVm === this.#options.vm;
    if (isLeader === this.#isLeader) return;
    this.#isLeader = isLeader;
    const { service, log } = this.#options;
    log.info(
      isLeader
        ? "Became the leader for a service's ranges."
        : "No longer the leader for a service's ranges.",
      {
        service,
      },
    );
    if (!isLeader) return;
    this.#planner.start(nowMs);
    this.#pacer.start(nowMs);
    this.#handoverController.requireRead();
  }

  // Reads of the map

  /**
   * Whether confirmations or handovers by this VM rely on its own reads of the
   * store.
   */
  get #isVoterOrLeader(): boolean {
    const voters = this.#map?.keeperSets.flat() ?? [];
    return this.#isLeader || voters.includes(this.#options.vm);
  }

  #adoptNewer(map: contracts.RangeMap, from: string): void {
    if (map.revision <= (this.#map?.revision ?? 0)) return;
    this.#pendingFences.clear();
    this.#adopt(map, from);
  }

  #adopt(map: contracts.RangeMap, from: string): void {
    const inHandover = grants.rangesByOldOwner(map.ranges);
    const earlierInHandover = this.#inHandover;
    this.#map = map;
    this.#inHandover = inHandover;
    this.#rangesByOwner = grants.rangesByOwner(map.ranges);
    this.#adoptedAtMs = this.#options.clock.nowMs();
    this.#publisher.noteMap(map);
    this.#handoverController.noteNewerRevision(map.revision);
    this.#sender.prune(
      map.ranges,
      grants.longestLeaseMs(map, this.#options.timings),
    );
    this.#logLastGrants(map.revision, earlierInHandover);
    const fences = new Set(map.ranges.map(({ fence }) => fence));
    const owners = new Set<string>(map.ranges.map((it) => it.owner.server));
    for (const fence of this.#acceptedFences) {
      if (!fences.has(fence)) this.#acceptedFences.delete(fence);
    }
    this.#ranking.keepOnly(owners);
    for (const server of this.#grantedAtMs.keys()) {
      if (!owners.has(server)) this.#grantedAtMs.delete(server);
    }
    this.#handoverAges.noteMap(map, this.#adoptedAtMs);
    const { service, log } = this.#options;
    log.info("Adopted a range map.", {
      service,
      revision: map.revision,
      ranges: map.ranges.length,
      moving: map.ranges.filter((it) => it.vacating !== undefined).length,
      from,
    });
    this.#options.onChange();
    this.#fetcher.noteMap();
  }

  /** Grants that were sent to old owners may still arrive. */
  #logLastGrants(
    revision: number,
    earlierInHandover: ReadonlyMap<
      contracts.ServerId,
      readonly contracts.RangeState[]
    >,
  ): void {
    const earlier = new Set(
      [...earlierInHandover].flatMap(([server, ranges]) =>
        ranges.map(({ vacating }) => `${server}/${vacating!.revision}`)
      ),
    );
    for (
      const [server, handoverRevision, ageMs, leaseLeftMs, unansweredLeftMs]
        of this.handoverGrantTimesMs
    ) {
      if (earlier.has(`${server}/${handoverRevision}`)) continue;
      this.#options.log.info("Stopped renewing ranges of a server.", {
        server,
        revision,
        handoverRevision,
        lastGrantAgeMs: ageMs,
        leaseLeftMs,
        unansweredLeaseLeftMs: unansweredLeftMs ?? undefined,
      });
    }
  }

  // Renewals

  /** Longest lease duration of grants; with a server, of those to it. */
  #leaseMs(server?: contracts.ServerId): number {
    return grants.leaseDurationMs(this.#map, this.#options.timings, server);
  }

  /**
   * Lease duration of this VM's grants to a server. The map allows long leases
   * for as long as it names the server, which may need none any more: its keys
   * would be without an owner for the rest of a long lease when it is lost.
   */
  #grantedLeaseMs(server?: contracts.ServerId): number {
    const sparingLeaseMs = server && this.#sparingLeaseMs(server);
    return sparingLeaseMs ?? this.#leaseMs();
  }

  /**
   * Interval at which a VM renews a server's grants, by its rank; undefined for
   * a rank that renews none.
   */
  #renewIntervalMs(
    server: contracts.ServerId,
    rank: number,
  ): number | undefined {
    return grants.renewIntervalMs(rank, {
      timings: this.#options.timings,
      sparingLeaseMs: this.#sparingLeaseMs(server),
    });
  }

  /** Lease of a server that needs calls spared; undefined for any other one. */
  #sparingLeaseMs(server: contracts.ServerId): number | undefined {
    const isSparing = this.#options.sparingLeaseMs(server) !== undefined;
    return isSparing ? this.#leaseMs(server) : undefined;
  }

  /** Calls a second with which all VMs renew the server's leases. */
  renewalsPerSecond(server: contracts.ServerId): number {
    return this.#rangesOf(server).length * grants.renewalsPerSecond({
      timings: this.#options.timings,
      sparingLeaseMs: this.#sparingLeaseMs(server),
    });
  }

  /** Sends due grants to servers that have no grant in flight. */
  #renew(
    map: contracts.RangeMap,
    nowMs: number,
    servers: Iterable<contracts.ServerId> = this.#rangesByOwner.keys(),
  ): void {
    const voters = map.keeperSets.at(-1)!;
    if (!voters.includes(this.#options.vm)) return;
    const liveVoters = this.#liveVms().filter((peer) => voters.includes(peer));
    const due: contracts.RangeState[] = [];
    for (const server of servers) {
      const range = this.#nextDueRange(server, liveVoters, nowMs);
      if (range !== undefined) due.push(range);
    }
    if (due.length === 0) return;
    if (!this.#isConfirmed(map)) return this.#fetcher.requestRead();
    for (const range of due) {
      const handover = this.#handoverController.handover(range.fence);
      const isStillAllowed = () => this.#isStillGranted(range);
      const request = {
        range,
        handover,
        leaseMs: this.#grantedLeaseMs(range.owner.server),
        isStillAllowed,
      };
      this.#grantedAtMs.set(range.owner.server, nowMs);
      const granting = this.#sender.send(request)
        .then(() => this.#renewNext(range.owner.server));
      this.#errors.detach("grant", granting);
    }
  }

  /** The most overdue range that this VM renews at a server. */
  #nextDueRange(
    server: contracts.ServerId,
    liveVoters: readonly contracts.VmId[],
    nowMs: number,
  ): contracts.RangeState | undefined {
    const { vm } = this.#options;
    const order = this.#renewerOrder(server, liveVoters);
    const due: grants.DueRange[] = [];
    for (const [index, range] of this.#rangesOf(server).entries()) {
      const ownRank = this.#rotated(server, order, index).indexOf(vm);
      const rank = this.#isLeader && this.#isUnaccepted(range) ? 0 : ownRank;
      const intervalMs = this.#renewIntervalMs(server, rank);
      if (intervalMs === undefined) continue;
      if (this.#isLeftToLeader(range, nowMs)) continue;
      const last = this.#sender.accepted(range);
      const overdueMs = this.#isSpaced(range)
        ? this.#spacedOverdueMs(range, intervalMs, nowMs)
        : last === undefined
        ? Number.POSITIVE_INFINITY
        : nowMs - last.sentAtMs -
          this.#intervalAfter(server, { rank, intervalMs, ...last });
      if (overdueMs < 0 || !this.#sender.canSend(range.owner)) continue;
      due.push({ range, overdueMs });
    }
    return grants.mostOverdue(due);
  }

  /**
   * Whether renewals of a range are spaced over the owner's other ranges: the
   * owner limits its calls, and would get one for each range at once from a VM
   * that has just become its renewer. Not for a grant that callers or a vote on
   * the owner wait for, nor while the last lease was a short one.
   */
  #isSpaced(range: contracts.RangeState): boolean {
    const { server } = range.owner;
    if (this.#options.controlCallsPerSecond(server) === undefined) return false;
    const leaseMs = this.#sparingLeaseMs(server);
    if (leaseMs === undefined || leaseMs <= this.#leaseMs()) return false;
    if (this.#sender.isFailing(range.owner)) return false;
    const last = this.#sender.accepted(range);
    return last === undefined
      ? !this.#pendingFences.has(range.fence)
      : last.leaseMs >= leaseMs;
  }

  /**
   * One range is renewed in each part of the interval, the one with the oldest
   * grant first; negative before the next part.
   */
  #spacedOverdueMs(
    range: contracts.RangeState,
    intervalMs: number,
    nowMs: number,
  ): number {
    const { server } = range.owner;
    const spacingMs = intervalMs / this.#rangesOf(server).length;
    const lastMs = this.#grantedAtMs.get(server) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < spacingMs) return -1;
    const accepted = this.#sender.accepted(range);
    return accepted === undefined
      ? Number.POSITIVE_INFINITY
      : nowMs - accepted.sentAtMs;
  }

  /**
   * Interval after the last grant, which may have been shorter than those of now.
   * At a server that has asked this VM to back off: at once as long as calls
   * cross its answer, then as late as its leases allow.
   */
  #intervalAfter(
    server: contracts.ServerId,
    { rank, intervalMs, leaseMs }: {
      readonly rank: number;
      readonly intervalMs: number;
      /** Duration of the last lease. */
      readonly leaseMs: number;
    },
  ): number {
    const { backoffs, vm, timings } = this.#options;
    if (!backoffs.isBackingOff(vm, server)) {
      // The first VM's calls alone keep the lease in force.
      return rank === 0
        ? Math.min(intervalMs, leaseMs * LAST_RENEWAL_RATIO)
        : intervalMs;
    }
    if (backoffs.isCrossing(server)) {
      return Math.min(intervalMs, timings.renewMs);
    }
    const ratio = rank === 0 && backoffs.mayControl(server)
      ? BACKOFF_RENEWAL_RATIO
      : LAST_RENEWAL_RATIO;
    return leaseMs * ratio;
  }

  /**
   * Voters in the order in which they renew a server's grants: those that it has
   * asked to back off come last.
   */
  #renewerOrder(
    server: contracts.ServerId,
    liveVoters: readonly contracts.VmId[],
  ): readonly contracts.VmId[] {
    const order = this.#reachingOrder(server, liveVoters);
    const { backoffs } = this.#options;
    if (!backoffs.hasAny) return order;
    // The leader needs the calls that it may still send for releases.
    const { leaderVm } = this;
    const lateness = (vm: contracts.VmId) => {
      if (!backoffs.isBackingOff(vm, server)) return 0;
      return vm === leaderVm ? 2 : 1;
    };
    return [...order].sort((a, b) => lateness(a) - lateness(b));
  }

  /**
   * The order for one of a server's ranges: VMs that it has asked to back off
   * share its ranges, as each may send few calls.
   */
  #rotated(
    server: contracts.ServerId,
    order: readonly contracts.VmId[],
    index: number,
  ): readonly contracts.VmId[] {
    const { backoffs } = this.#options;
    const [first] = order;
    const areAllLate = backoffs.hasAny && first !== undefined &&
      backoffs.isBackingOff(first, server);
    if (!areAllLate || index === 0) return order;
    const { leaderVm } = this;
    const others = order.filter((vm) => vm !== leaderVm);
    const start = index % Math.max(1, others.length);
    return [
      ...others.slice(start),
      ...others.slice(0, start),
      ...order.filter((vm) => vm === leaderVm),
    ];
  }

  #rangesOf(server: contracts.ServerId): readonly contracts.RangeState[] {
    return this.#rangesByOwner.get(server) ?? [];
  }

  /** Voters in the order of a server, those that reach it if any does. */
  #reachingOrder(
    server: contracts.ServerId,
    liveVoters: readonly contracts.VmId[],
  ): readonly contracts.VmId[] {
    const { hasUnreached, reaches } = this.#options;
    if (!hasUnreached()) return this.#ranking.rank(server, liveVoters);
    const reaching = liveVoters.filter((voter) => reaches(voter, server));
    return this.#ranking.rank(
      server,
      reaching.length > 0 ? reaching : liveVoters,
    );
  }

  #isConfirmed(map: contracts.RangeMap): boolean {
    const { clock, timings } = this.#options;
    const confirmedAtMs = this.#voterReports.confirmedAtMs(map);
    return clock.maxElapsedMs(confirmedAtMs) < timings.confirmationTtlMs;
  }

  /**
   * Whether the current map still gives the range to its owner, and is
   * confirmed.
   */
  #isStillGranted({ fromKey, toKey, fence }: contracts.RangeState): boolean {
    if (this.#map === undefined) return false;
    const { ranges } = this.#map;
    const known = ranges[grants.rangeIndex(ranges, fromKey)]!;
    const isSame = known.fence === fence && known.fromKey === fromKey &&
      known.toKey === toKey && known.vacating === undefined;
    return isSame && this.#isConfirmed(this.#map);
  }

  /** A server may have more due ranges than one tick sends. */
  #renewNext(server: contracts.ServerId): void {
    if (this.#map === undefined) return;
    this.#renew(this.#map, this.#options.clock.nowMs(), [server]);
  }

  #isUnaccepted(range: contracts.RangeState): boolean {
    return this.#sender.accepted(range) === undefined;
  }

  /**
   * Whether a range with a new fence is left to the leader, which alone has the
   * handover state: without it the keys are slow at their new owner.
   */
  #isLeftToLeader(range: contracts.RangeState, nowMs: number): boolean {
    return !this.#isLeader && this.#pendingFences.has(range.fence) &&
      nowMs - this.#adoptedAtMs < HANDOVER_LEAD_MS;
  }

  #noteAccepted(range: contracts.RangeState): void {
    this.#acceptedFences.add(range.fence);
    if (!this.#pendingFences.delete(range.fence)) return;
    this.#options.onChange();
    if (this.#isLeader) this.#publisher.publishAcceptance(this.#pendingFences);
  }

  // Handovers

  #runHandovers(nowMs: number): void {
    const tick = this.#handoverTick(nowMs);
    this.#publisher.resendIfDue(this.#pendingFences);
    this.#handoverController.checkAcknowledgements(nowMs, tick.removedVoters);
    const { backoffs } = this.#options;
    const releases = this.#handoverController.takeReleases(
      nowMs,
      (server) =>
        backoffs.mayControl(server) &&
        this.#pacer.tryTake(server, this.#controlCallBudget(server), nowMs),
    );
    for (const call of releases) this.#release(call);
    const call = this.#handoverController.nextCall(tick);
    if (call === undefined) return;
    this.#callStore(call).catch((error) => {
      this.#handoverController.noteCallResult({ kind: "unsure" }, nowMs);
      this.#options.log.error("Read or write of the range map failed.", {
        error: String(error),
      });
    });
  }

  /** Undefined for a server that does not limit its calls. */
  #controlCallBudget(
    server: contracts.ServerId,
  ): grants.ControlCallBudget | undefined {
    const allowedPerSecond = this.#options.controlCallsPerSecond(server);
    if (allowedPerSecond === undefined) return undefined;
    const renewalsPerSecond = this.renewalsPerSecond(server);
    return { allowedPerSecond, renewalsPerSecond };
  }

  async #callStore(call: grants.MapCall): Promise<void> {
    const { clock, maps, service } = this.#options;
    const sentAtMs = clock.nowMs();
    const result = call.kind === "read"
      ? await maps.read(service)
      : await maps.write(call.map, call.condition);
    this.#handoverController.noteCallResult(result, clock.nowMs());
    if (result.kind === "unsure" || result.kind === "absent") return;
    if (call.kind === "write") {
      this.#logFinished(call.finished);
      this.#logAbandoned(call.abandoned);
    }
    this.#fetcher.noteMapRead();
    const { map } = result.stored;
    this.#voterReports.noteRead(map.revision, sentAtMs);
    if (map.revision <= (this.#map?.revision ?? 0)) return;
    this.#updatePendingFences(map);
    this.#adopt(map, call.kind === "read" ? "store" : "own move");
    this.#publisher.publish(this.#pendingFences);
    // Requests for the keys wait for the first grant to the new owner.
    this.#renew(map, clock.nowMs());
  }

  #logFinished(finished: readonly grants.FinishedHandover[]): void {
    for (const { range, reason, lastLease } of finished) {
      const { fromKey, toKey, fence, owner, vacating } = range;
      this.#options.log.info("Handover finished.", {
        server: owner.server,
        fromKey,
        toKey,
        fence,
        oldOwner: vacating!.server,
        oldBornMs: vacating!.bornMs,
        reason,
        lastLeaseVm: lastLease?.vm,
        lastLeaseBasis: lastLease?.basis,
      });
    }
  }

  #logAbandoned(abandoned: readonly contracts.RangeState[]): void {
    for (const { fromKey, toKey, fence, owner, vacating } of abandoned) {
      this.#options.log.warn("Handover abandoned.", {
        server: owner.server,
        fromKey,
        toKey,
        fence,
        oldOwner: vacating!.server,
        oldBornMs: vacating!.bornMs,
        reason: "an unanswered grant outlasts the usual lease",
      });
    }
  }

  /** Marks fences that are new in the map as pending. */
  #updatePendingFences(map: contracts.RangeMap): void {
    const known = new Set(
      this.#map?.ranges.filter((it) => it.vacating === undefined)
        .map(({ fence }) => fence),
    );
    for (const { fence } of map.ranges) {
      if (!known.has(fence) && !this.#acceptedFences.has(fence)) {
        this.#pendingFences.add(fence);
      }
    }
    const listed = new Set(map.ranges.map(({ fence }) => fence));
    for (const fence of this.#pendingFences) {
      if (!listed.has(fence)) this.#pendingFences.delete(fence);
    }
  }

  /**
   * Calls the old owner with the next owner's fence: from then on it refuses
   * older grants. If the old owner has been replaced by a later run under its
   * id, that one is called: it may hold keys by grants meant for the earlier
   * run.
   */
  #release({ range, oldOwner, isFencing }: grants.ReleaseCall): void {
    const { registry, control, clock, timings, log } = this.#options;
    const server = registry.find(oldOwner.server);
    const { fromKey, toKey, fence } = range;
    if (server === undefined || server.bornMs < oldOwner.bornMs) {
      return this.#handoverController.noteReleaseResult(
        fence,
        "failed",
        clock.nowMs(),
      );
    }
    const timeoutMs = isFencing ? timings.grantTimeoutMs : RELEASE_TIMEOUT_MS;
    const call = control.release(
      server,
      { fromKey, toKey, fence },
      { timeoutMs },
    );
    const releasing = call.then(
      (result) => {
        const release = result.isOk()
          ? { handover: result.value }
          : result.error.kind === "misdirected"
          ? "misdirected"
          : "failed";
        this.#handoverController.noteReleaseResult(
          fence,
          release,
          clock.nowMs(),
        );
        // Fencing calls are repeated until the old owner answers; only the
        // answer is logged.
        if (isFencing && result.isErr()) return;
        log.info(result.isOk() ? "Range released." : "Release failed.", {
          server: oldOwner.server,
          fromKey,
          toKey,
          fence,
          isFencing,
          reason: result.isErr() ? result.error.message : undefined,
        });
      },
      (error) => {
        this.#handoverController.noteReleaseResult(
          fence,
          "failed",
          clock.nowMs(),
        );
        log.error("Release failed.", { error: String(error) });
      },
    );
    this.#errors.detach("release", releasing);
  }

  #handoverTick(nowMs: number): grants.HandoverTick {
    const { registry, service, desiredLeaseMs } = this.#options;
    this.#countLostServers(nowMs);
    const staying = registry.staying(service);
    const found = staying.filter(({ server }) =>
      !this.#lostServers.isQuarantined(server)
    );
    // If all servers are lost, all are tried: any may be back, and no other can
    // own a key.
    const usable = new Map(
      (found.length > 0 ? found : staying)
        .map((entry) => [entry.server, entry]),
    );
    const selection = this.#voterSelection(nowMs);
    const { uptimeMs } = selection;
    const isOver = this.#initialMapWait.isOver(usable.size, {
      nowMs,
      lifeMs: uptimeMs,
    });
    const mayStart = this.#map !== undefined || isOver;
    return {
      nowMs,
      usable: registry.isListed && mayStart ? usable : new Map(),
      leaseMs: desiredLeaseMs(),
      serverLeasesMs: this.#serverLeasesMs(usable),
      voters: grants.selectVoters(selection),
      removedVoters: grants.removedVoters(selection),
      plan: (map) => this.#planner.plan(map, usable, nowMs),
      nonce: () => crypto.randomUUID(),
    };
  }

  #serverLeasesMs(
    usable: ReadonlyMap<contracts.ServerId, contracts.RegisteredServer>,
  ): Map<contracts.ServerId, number> {
    const leases = new Map<contracts.ServerId, number>();
    for (const server of usable.keys()) {
      const leaseMs = this.#options.sparingLeaseMs(server);
      if (leaseMs !== undefined) leases.set(server, leaseMs);
    }
    return leases;
  }

  #countLostServers(nowMs: number): void {
    const { vm, log } = this.#options;
    this.#lostServers.noteUnresponsive(vm, this.#sender.unresponsiveServers());
    const voters = this.#map?.keeperSets.at(-1) ?? [];
    const liveVoters = this.#liveVms().filter((peer) => voters.includes(peer));
    const newlyLost = this.#lostServers.countVotes(
      nowMs,
      (server) =>
        this.#renewerOrder(server, liveVoters)
          .slice(0, grants.RENEWERS_PER_SERVER),
    );
    for (const server of newlyLost) log.warn("Server lost.", { server });
  }

  #voterSelection(nowMs: number): grants.VoterSelectionInput {
    const { vm, sinceLastMessageMs, reachesAny } = this.#options;
    const cutOff = new Set(this.#liveVms().filter((peer) => !reachesAny(peer)));
    const live = this.#voterCandidates();
    return {
      vm,
      map: this.#map,
      live,
      weak: grants.weakVms(live, this.#options.roleWeights()),
      cutOff,
      sinceLastMessageMs,
      uptimeMs: nowMs - this.#startedAtMs,
    };
  }

  /**
   * VMs in the order in which they become voters: the strongest first, since
   * voters send all renewals.
   */
  #voterCandidates(): contracts.VmId[] {
    const weights = this.#options.roleWeights();
    const weightOf = (vm: contracts.VmId) => weights.get(vm) ?? 1;
    // The sort is stable: VMs of equal weight stay in ranking order.
    return [...this.#ranking.rank("keepers", this.#liveVms())]
      .sort((a, b) => weightOf(b) - weightOf(a));
  }

  /** Entry VMs that are up, this one included. */
  #liveVms(): contracts.VmId[] {
    return this.#options.peers().map(({ vm }) => vm);
  }
}

/** Converts ages of grants to times of the local clock, the latest possible. */
function grantTimes(
  ages: Iterable<[string, [number, number | null]]>,
  latestTimeMs: (ageMs: number) => number,
): Pick<grants.VoterReport, "lastGrantMs" | "lastUnansweredMs"> {
  const lastGrantMs = new Map<contracts.ServerId, number>();
  const lastUnansweredMs = new Map<contracts.ServerId, number>();
  for (const [name, [ageMs, unansweredAgeMs]] of ages) {
    const server = name as contracts.ServerId;
    lastGrantMs.set(server, latestTimeMs(ageMs));
    if (unansweredAgeMs === null) continue;
    lastUnansweredMs.set(server, latestTimeMs(unansweredAgeMs));
  }
  return { lastGrantMs, lastUnansweredMs };
}

/** The same for times by handover. */
function handoverGrants(
  times: readonly HandoverGrantTimes[],
  { receivedAtMs, latestTimeMs }: {
    readonly receivedAtMs: number;
    readonly latestTimeMs: (ageMs: number) => number;
  },
): grants.HandoverGrants[] {
  return times.map(([server, revision, ageMs, leftMs, unansweredLeftMs]) => ({
    server: server as contracts.ServerId,
    revision,
    lastGrantMs: latestTimeMs(ageMs),
    leaseEndMs: receivedAtMs + leftMs,
    unansweredLeaseEndMs: unansweredLeftMs === null
      ? undefined
      : receivedAtMs + unansweredLeftMs,
  }));
}
import { FailureLog } from "../../utils/failure_log.ts";
