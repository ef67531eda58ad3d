/**
 * Ownership of one keyed service on one entry VM: the range map as known here,
 * the renewals this VM is to send and, when it is the mover, the moves.
 */
import type * as contracts from "@guavatide/contracts";
import * as grants from "@guavatide/decisions/grants/mod";
import type { KeyOwner } from "@guavatide/decisions/admission/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import { GrantSender } from "./grant_sender.ts";
import { MapPublisher } from "./map_publisher.ts";
import { MovePlanner, type MovePlannerOptions } from "./move_planner.ts";
import type {
  KeyCounts,
  RangeMapUpdate,
  VoterStatus,
} from "./peer_messages.ts";
import { RangeMapFetcher } from "./range_map_fetcher.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import type { ServerRegistry } from "./server_registry.ts";

/** An entry VM that may take part in ownership, this one included. */
export interface GrantPeer {
  readonly vm: contracts.VmId;
  readonly hasStore: boolean;
  readonly processorCores: number;
}

/** Options of {@link ServiceGrants}. */
export interface ServiceGrantsOptions extends MovePlannerOptions {
  readonly vm: contracts.VmId;
  readonly timings: grants.GrantTimings;
  readonly hasher: ownership.KeyHasher;
  readonly maps: RangeMapStore;
  readonly control: contracts.GrantControl;
  readonly registry: ServerRegistry;
  /** Entry VMs that are up, this one included. */
  readonly peers: () => readonly GrantPeer[];
  /** Length of grants that the service's routes need. */
  readonly desiredLeaseMs: () => number;
  /** Time since a VM's last message. */
  readonly sinceLastMessageMs: (vm: contracts.VmId) => number;
  /** Asks a peer for the map as it knows it. */
  readonly fetchMap: (
    peer: contracts.VmId,
  ) => Promise<contracts.RangeMap | undefined>;
  /** Sends an update of the map to all peers. */
  readonly publish: (news: RangeMapUpdate) => void;
  /** Sends this VM's state to peers at once. */
  readonly notifyVoters: () => void;
  /** Owners or their readiness have changed. */
  readonly onChange: () => void;
}

/** VMs that send the renewals of one server, the first at full rate. */
const RENEWERS = 2;
/** A grant that the mover sends with a handover goes ahead of other VMs'. */
const HANDOVER_LEAD_MS = 600;
/** Longest time of one release call: running work has to end first. */
const RELEASE_TIMEOUT_MS = 2_500;
/** An owner whose confirmation was not heard is tried after this time. */
const CONFIRMATION_TIMEOUT_MS = 1_500;
/** A VM that has just started first hears who else could make the moves. */
const MOVER_STARTUP_GRACE_MS = 700;
/** Ownership of one service. */
export class ServiceGrants {
  readonly #options: ServiceGrantsOptions;
  readonly #keepers = new grants.VoterReports();
  readonly #mover: grants.HandoverController;
  readonly #sender: GrantSender;
  readonly #planner: MovePlanner;
  readonly #startedAtMs: number;
  #map: contracts.RangeMap | undefined;
  /** Ranges of the map that are renewed, by owner. */
  #owned = new Map<contracts.ServerId, contracts.RangeState[]>();
  /** Servers that the map takes keys from. */
  #vacating: ReadonlySet<contracts.ServerId> = new Set();
  /** Fences whose owners have not confirmed their grant, as the mover says. */
  #pending = new Set<number>();
  #adoptedAtMs = Number.NEGATIVE_INFINITY;
  readonly #ownerless = new grants.HandoverAges();
  #isMover = false;
  readonly #firstMap = new grants.InitialMapWait();
  readonly #order: grants.VmRanking;
  readonly #publisher: MapPublisher;
  readonly #learner: RangeMapFetcher;
  readonly #lost = new grants.LostServers();
  /** Fences confirmed to this VM as the mover. */
  readonly #confirmed = new Set<number>();

  constructor(options: ServiceGrantsOptions) {
    this.#options = options;
    this.#order = new grants.VmRanking(options.hasher);
    this.#publisher = new MapPublisher(options);
    this.#planner = new MovePlanner(options);
    this.#startedAtMs = options.clock.nowMs();
    this.#learner = new RangeMapFetcher({
      ...options,
      isVoterOrLeader: () => this.#hasDuty,
      knownRevision: () => this.#map?.revision ?? 0,
      onStoreMap: (map, askedAtMs) => {
        this.#keepers.noteRead(map.revision, askedAtMs);
        this.#adoptNewer(map, "store");
      },
      onUnconfirmedMap: (map) => this.#adoptNewer(map, "peer"),
      onFirstStoreRead: options.notifyVoters,
    });
    this.#mover = new grants.HandoverController(
      options.service,
      this.#keepers,
      options.timings,
    );
    this.#sender = new GrantSender({
      ...options,
      findServer: (owner) => options.registry.entry(owner),
      onAccepted: (range) => this.#confirm(range),
      onFencedOff: () => this.#mover.requireRead(),
      onCompleted: (server) => {
        // The mover waits to hear that no grant to the server is under way.
        if (this.#vacating.has(server)) options.notifyVoters();
      },
    });
  }

  /** Whether ownership is known. */
  get isMapKnown(): boolean {
    return this.#map !== undefined;
  }

  /** The map as known here. */
  get map(): contracts.RangeMap | undefined {
    return this.#map;
  }

  /** Whether this VM makes the moves. */
  get isLeader(): boolean {
    return this.#isMover;
  }

  /** Revision known, and whether the map was read in this run. */
  get mapStatus(): [number, boolean] {
    return [this.#map?.revision ?? 0, this.#learner.hasReadMap];
  }

  /** Ages of this VM's grants to servers that keys are taken from. */
  get grantAgesMs(): Map<contracts.ServerId, [number, number | null]> {
    const ages = this.#sender.grantAgesMs();
    for (const server of ages.keys()) {
      if (!this.#vacating.has(server)) ages.delete(server);
    }
    return ages;
  }

  /** Servers that leave this VM's grants unanswered. */
  get unresponsiveServers(): contracts.ServerId[] {
    return this.#sender.unresponsiveServers();
  }

  /**
   * The VM that makes the moves, as far as this VM can tell: a keeper, since it
   * grants what it moves; any VM while no keeper reaches the store.
   */
  get leaderVm(): contracts.VmId | undefined {
    const { service, peers } = this.#options;
    const reach = peers().filter(({ hasStore }) => hasStore);
    const keepers = this.#map?.keeperSets.at(-1);
    const able = reach.filter(({ vm }) => keepers?.includes(vm) ?? true);
    const candidates = able.length > 0 ? able : reach;
    return this.#order.rank(service, candidates.map(({ vm }) => vm))[0];
  }

  /** Who owns a key. */
  ownerOf(key: number): KeyOwner {
    if (this.#map === undefined) return { kind: "unknown" };
    const { ranges } = this.#map;
    const range = ranges[grants.rangeIndex(ranges, key)]!;
    if (range.vacating !== undefined || this.#isPending(range)) {
      const nowMs = this.#options.clock.nowMs();
      const ageMs = this.#ownerless.ageMs(range, nowMs);
      return { kind: "moving", ageMs, holdMs: this.#holdMs };
    }
    return { kind: "owned", ...range.owner, fence: range.fence };
  }

  /** Whether the owner has yet to confirm; not for ever, as news get lost. */
  #isPending({ fence }: contracts.RangeState): boolean {
    if (!this.#pending.has(fence)) return false;
    const ageMs = this.#options.clock.nowMs() - this.#adoptedAtMs;
    return ageMs < CONFIRMATION_TIMEOUT_MS;
  }

  /** Requests by key since the last message of a peer, or of this VM. */
  noteKeyCounts(counts: KeyCounts): void {
    this.#planner.noteKeyCounts(counts);
  }

  /** A keeper's status. */
  noteVoterStatus(
    status: VoterStatus,
    askedAtMs: number,
    receivedAtMs: number,
  ): void {
    const { service } = this.#options;
    const [revision, isSettled] = status.maps[service] ?? [0, false];
    this.#keepers.noteReport({
      vm: status.vm,
      revision,
      hasReadMap: isSettled,
      requestedAtMs: askedAtMs,
      receivedAtMs,
      startedAtMs: receivedAtMs - status.lifeMs,
      ...grantTimes(Object.entries(status.grantAgesMs), receivedAtMs),
    });
    this.#lost.noteUnresponsive(status.vm, status.silentServers);
  }

  /** A peer knows a revision of the map. */
  notePeerRevision(revision: number, peer: contracts.VmId): void {
    this.#learner.notePeerRevision(revision, peer);
  }

  /** The mover's update of the map. */
  applyUpdate({ map, baseRevision, pendingFences }: RangeMapUpdate): void {
    const known = this.#map?.revision ?? 0;
    if (map.revision < known) return;
    const pending = new Set(pendingFences);
    if (map.revision === known) {
      this.#pending = pending;
      return this.#options.onChange();
    }
    const ranges = known < baseRevision
      ? undefined
      : grants.applyChanges(this.#map?.ranges ?? [], map.ranges);
    // The base of the update never arrived here.
    if (ranges === undefined) return this.#learner.catchUp();
    this.#pending = pending;
    this.#adopt({ ...map, ranges }, "news");
  }

  /** The process stood still: what it knew may be old. */
  noteSuspension(): void {
    this.#keepers.clearConfirmations();
    this.#mover.requireRead();
    this.#learner.invalidate();
  }

  /** Regular work: renewals, reads, moves. */
  tick(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#noteOwnWord(nowMs);
    this.#followDuty(nowMs);
    this.#learner.tick(nowMs);
    if (this.#map !== undefined) this.#renew(this.#map, nowMs);
    if (this.#isMover) this.#move(nowMs);
  }

  #noteOwnWord(nowMs: number): void {
    this.#keepers.noteReport({
      vm: this.#options.vm,
      revision: this.#map?.revision ?? 0,
      hasReadMap: this.#learner.hasReadMap,
      requestedAtMs: nowMs,
      receivedAtMs: nowMs,
      startedAtMs: this.#startedAtMs,
      ...grantTimes(this.#sender.grantAgesMs(), nowMs),
    });
  }

  #followDuty(nowMs: number): void {
    const isMover = nowMs - this.#startedAtMs >= MOVER_STARTUP_GRACE_MS &&
      this.leaderVm === this.#options.vm;
    if (isMover === this.#isMover) return;
    this.#isMover = isMover;
    const { service, log } = this.#options;
    log.info(isMover ? "Takes over moves." : "Hands over moves.", { service });
    if (!isMover) return;
    this.#planner.start(nowMs);
    this.#mover.requireRead();
  }

  // Reading

  /**
   * Whether this VM's evidence or moves rest on its own reading of the store.
   */
  get #hasDuty(): boolean {
    const keepers = this.#map?.keeperSets.flat() ?? [];
    return this.#isMover || keepers.includes(this.#options.vm);
  }

  #adoptNewer(map: contracts.RangeMap, from: string): void {
    if (map.revision <= (this.#map?.revision ?? 0)) return;
    this.#pending.clear();
    this.#adopt(map, from);
  }

  #adopt(map: contracts.RangeMap, from: string): void {
    const vacating = grants.releasingServers(map.ranges);
    this.#logLastGrants(map.revision, vacating);
    this.#map = map;
    this.#vacating = vacating;
    this.#owned = grants.rangesByOwner(map.ranges);
    this.#adoptedAtMs = this.#options.clock.nowMs();
    this.#publisher.noteMap(map);
    this.#mover.noteNewerRevision(map.revision);
    this.#sender.prune(map.ranges, this.#holdMs);
    const fences = new Set(map.ranges.map(({ fence }) => fence));
    const duties = new Set<string>(map.ranges.map((it) => it.owner.server));
    for (const fence of this.#confirmed) {
      if (!fences.has(fence)) this.#confirmed.delete(fence);
    }
    this.#order.keepOnly(duties);
    this.#ownerless.noteMap(map, this.#adoptedAtMs);
    const { service, log } = this.#options;
    log.info("Range map in force.", {
      service,
      revision: map.revision,
      ranges: map.ranges.length,
      moving: map.ranges.filter((it) => it.vacating !== undefined).length,
      from,
    });
    this.#options.onChange();
    this.#learner.noteMap();
  }

  /** What this VM sent to servers that keys are taken from may still arrive. */
  #logLastGrants(
    revision: number,
    vacating: ReadonlySet<contracts.ServerId>,
  ): void {
    for (
      const [server, [ageMs, unansweredAgeMs]] of this.#sender.grantAgesMs()
    ) {
      if (!vacating.has(server) || this.#vacating.has(server)) continue;
      this.#options.log.info("Renewals of a server's keys end.", {
        server,
        revision,
        lastGrantAgeMs: ageMs,
        unansweredAgeMs: unansweredAgeMs ?? undefined,
      });
    }
  }

  // Renewing

  get #holdMs(): number {
    return grants.leaseDurationMs(this.#map, this.#options.timings);
  }

  /** Sends what is due to servers that have no grant under way. */
  #renew(
    map: contracts.RangeMap,
    nowMs: number,
    servers: Iterable<contracts.ServerId> = this.#owned.keys(),
  ): void {
    const keepers = map.keeperSets.at(-1)!;
    if (!keepers.includes(this.#options.vm)) return;
    const live = this.#live().filter((peer) => keepers.includes(peer));
    const due: contracts.RangeState[] = [];
    for (const server of servers) {
      const range = this.#dueAt(server, live, nowMs);
      if (range !== undefined) due.push(range);
    }
    if (due.length === 0) return;
    if (!this.#hasEvidence(map)) return this.#learner.requestRead();
    for (const range of due) {
      const handover = this.#mover.handover(range.fence);
      const mayLeave = () => this.#mayRenew(range);
      const order = { range, handover, holdMs: this.#holdMs, mayLeave };
      this.#sender.send(order).then(
        () => this.#renewNext(range.owner.server),
        (error) =>
          this.#options.log.error("Grant failed.", { error: String(error) }),
      );
    }
  }

  /** The range that this VM is to renew next at a server. */
  #dueAt(
    server: contracts.ServerId,
    live: readonly contracts.VmId[],
    nowMs: number,
  ): contracts.RangeState | undefined {
    const { vm, timings } = this.#options;
    const ownPlace = this.#order.rank(server, live).indexOf(vm);
    const due: grants.DueRange[] = [];
    for (const range of this.#owned.get(server) ?? []) {
      const place = this.#isMover && this.#isNew(range) ? 0 : ownPlace;
      if (place < 0 || place >= RENEWERS) continue;
      if (this.#leavesToMover(range, nowMs)) continue;
      const lastMs = this.#sender.acceptedAtMs(range);
      const intervalMs = timings.renewMs * (place + 1);
      const overdueMs = nowMs - (lastMs ?? Number.NEGATIVE_INFINITY) -
        intervalMs;
      if (overdueMs < 0 || !this.#sender.canSend(range.owner)) continue;
      due.push({ range, overdueMs });
    }
    return grants.mostOverdue(due);
  }

  #hasEvidence(map: contracts.RangeMap): boolean {
    const { clock, timings } = this.#options;
    const ageMs = clock.nowMs() - this.#keepers.confirmedAtMs(map);
    return ageMs < timings.confirmationTtlMs;
  }

  /** Whether the map that is known now still gives the range to its owner. */
  #mayRenew({ fromKey, toKey, fence }: contracts.RangeState): boolean {
    if (this.#map === undefined) return false;
    const { ranges } = this.#map;
    const known = ranges[grants.rangeIndex(ranges, fromKey)]!;
    const isSame = known.fence === fence && known.fromKey === fromKey &&
      known.toKey === toKey && known.vacating === undefined;
    return isSame && this.#hasEvidence(this.#map);
  }

  /** A server may have more ranges due than one tick sends. */
  #renewNext(server: contracts.ServerId): void {
    if (this.#map === undefined) return;
    this.#renew(this.#map, this.#options.clock.nowMs(), [server]);
  }

  #isNew(range: contracts.RangeState): boolean {
    return this.#sender.acceptedAtMs(range) === undefined;
  }

  /**
   * Whether a range of a new fence is left to the mover, which alone has the
   * handover: without it the keys are slow at their new owner.
   */
  #leavesToMover(range: contracts.RangeState, nowMs: number): boolean {
    return !this.#isMover && this.#pending.has(range.fence) &&
      nowMs - this.#adoptedAtMs < HANDOVER_LEAD_MS;
  }

  #confirm(range: contracts.RangeState): void {
    this.#confirmed.add(range.fence);
    if (!this.#pending.delete(range.fence)) return;
    this.#options.onChange();
    if (this.#isMover) this.#publisher.publish(this.#pending);
  }

  // Moving

  #move(nowMs: number): void {
    const tick = this.#moverTick(nowMs);
    this.#publisher.resendIfDue(this.#pending);
    this.#mover.checkAcknowledgements(nowMs, tick.removedVoters);
    for (const call of this.#mover.takeReleases(nowMs, tick.hasEnded)) {
      this.#release(call);
    }
    const call = this.#mover.nextCall(tick);
    if (call === undefined) return;
    this.#call(call).catch((error) => {
      this.#mover.noteCallResult({ kind: "unsure" }, nowMs);
      this.#options.log.error("Call of the mover failed.", {
        error: String(error),
      });
    });
  }

  async #call(call: grants.MapCall): Promise<void> {
    const { clock, maps, service } = this.#options;
    const askedAtMs = clock.nowMs();
    const end = call.kind === "read"
      ? await maps.read(service)
      : await maps.write(call.map, call.condition);
    this.#mover.noteCallResult(end, clock.nowMs());
    if (end.kind === "unsure" || end.kind === "absent") return;
    this.#learner.noteMapRead();
    const { map } = end.stored;
    this.#keepers.noteRead(map.revision, askedAtMs);
    if (map.revision <= (this.#map?.revision ?? 0)) return;
    this.#notePending(map);
    this.#adopt(map, call.kind === "read" ? "store" : "own move");
    this.#publisher.publish(this.#pending);
    // Keys that have moved wait for their first grant.
    this.#renew(map, clock.nowMs());
  }

  /** Ranges whose fence is new since the map known before. */
  #notePending(map: contracts.RangeMap): void {
    const known = new Set(
      this.#map?.ranges.filter((it) => it.vacating === undefined)
        .map(({ fence }) => fence),
    );
    for (const { fence } of map.ranges) {
      if (!known.has(fence) && !this.#confirmed.has(fence)) {
        this.#pending.add(fence);
      }
    }
    const listed = new Set(map.ranges.map(({ fence }) => fence));
    for (const fence of this.#pending) {
      if (!listed.has(fence)) this.#pending.delete(fence);
    }
  }

  /** The next owner's fence lets the old owner refuse older grants from then. */
  #release({ range, oldOwner: old, isFencing }: grants.ReleaseCall): void {
    const { registry, control, clock, timings, log } = this.#options;
    const server = registry.entry(old);
    const { fromKey, toKey, fence } = range;
    if (server === undefined) {
      return this.#mover.noteReleaseResult(fence, "failed", clock.nowMs());
    }
    const timeoutMs = isFencing ? timings.grantTimeoutMs : RELEASE_TIMEOUT_MS;
    control.release(server, { fromKey, toKey, fence }, { timeoutMs }).then(
      (result) => {
        const end = result.isOk() ? { handover: result.value } : "failed";
        this.#mover.noteReleaseResult(fence, end, clock.nowMs());
        // The old owner is tried until it answers, and says so once.
        if (isFencing && result.isErr()) return;
        log.info(result.isOk() ? "Range released." : "Release failed.", {
          server: old.server,
          fromKey,
          toKey,
          fence,
          isFencing,
          reason: result.isErr() ? result.error.message : undefined,
        });
      },
      (error) => {
        this.#mover.noteReleaseResult(fence, "failed", clock.nowMs());
        log.error("Release failed.", { error: String(error) });
      },
    );
  }

  #moverTick(nowMs: number): grants.HandoverTick {
    const { registry, service, desiredLeaseMs: wishedHoldMs } = this.#options;
    this.#countLost(nowMs);
    const staying = registry.staying(service);
    const found = staying.filter(({ server }) =>
      !this.#lost.isQuarantined(server)
    );
    // With all of them lost any may be back, and no other can own a key.
    const usable = new Map(
      (found.length > 0 ? found : staying)
        .map((entry) => [entry.server, entry]),
    );
    const review = this.#keeperReview(nowMs);
    const { uptimeMs: lifeMs } = review;
    const isOver = this.#firstMap.isOver(usable.size, { nowMs, lifeMs });
    const mayStart = this.#map !== undefined || isOver;
    return {
      nowMs,
      usable: registry.isListed && mayStart ? usable : new Map(),
      leaseMs: wishedHoldMs(),
      hasEnded: (owner) => registry.hasEnded(owner),
      voters: grants.selectVoters(review),
      removedVoters: grants.removedVoters(review),
      plan: (map) => this.#planner.plan(map, usable, nowMs),
      nonce: () => crypto.randomUUID(),
    };
  }

  #countLost(nowMs: number): void {
    const { vm, log } = this.#options;
    this.#lost.noteUnresponsive(vm, this.#sender.unresponsiveServers());
    const keepers = this.#map?.keeperSets.at(-1) ?? [];
    const live = this.#live().filter((peer) => keepers.includes(peer));
    const newly = this.#lost.countVotes(
      nowMs,
      (server) => this.#order.rank(server, live).slice(0, RENEWERS),
    );
    for (const server of newly) log.warn("Server lost.", { server });
  }

  #keeperReview(nowMs: number): grants.VoterSelectionInput {
    const { vm, sinceLastMessageMs: silentMs } = this.#options;
    return {
      vm,
      map: this.#map,
      live: this.#keeperOrder(),
      sinceLastMessageMs: silentMs,
      uptimeMs: nowMs - this.#startedAtMs,
    };
  }

  /**
   * VMs in the order in which they become keepers: the strongest first, since
   * keepers send all renewals.
   */
  #keeperOrder(): contracts.VmId[] {
    const cores = new Map(
      this.#options.peers().map((peer) => [peer.vm, peer.processorCores]),
    );
    // The sort is stable: equals stay in the order of the duty.
    return [...this.#order.rank("keepers", [...cores.keys()])]
      .sort((a, b) => cores.get(b)! - cores.get(a)!);
  }

  /** Entry VMs that are up, this one included. */
  #live(): contracts.VmId[] {
    return this.#options.peers().map(({ vm }) => vm);
  }
}

/** When grants to each server ended, from their ages. */
function grantTimes(
  ages: Iterable<[string, [number, number | null]]>,
  nowMs: number,
): Pick<grants.VoterReport, "lastGrantMs" | "lastUnansweredMs"> {
  const lastGrantMs = new Map<contracts.ServerId, number>();
  const lastUnansweredMs = new Map<contracts.ServerId, number>();
  for (const [name, [ageMs, unansweredAgeMs]] of ages) {
    const server = name as contracts.ServerId;
    lastGrantMs.set(server, nowMs - ageMs);
    if (unansweredAgeMs === null) continue;
    lastUnansweredMs.set(server, nowMs - unansweredAgeMs);
  }
  return { lastGrantMs, lastUnansweredMs };
}
