/**
 * Hands key ranges of one service over by two conditional writes of the range
 * map: the first starts the handover, the second finishes it once the old owner
 * can hold no lease. All state that matters is in the store, so a lost reply,
 * a failed leader or a second leader does no harm.
 */
import type * as contracts from "@guavatide/contracts";
import { AbandonedHandovers } from "./abandoned_handovers.ts";
import { FencingReleases } from "./fencing_releases.ts";
import {
  leaseDurationMs,
  longestLeaseMs,
  nextServerLeases,
} from "./lease_duration.ts";
import {
  type GrantTimings,
  maxFormerLeaseMs,
  maxLeaseLifetimeMs,
} from "./grant_timings.ts";
import {
  allVoters,
  lastGrantEndOf,
  type VoterReports,
} from "./voter_reports.ts";
import * as edit from "./range_edit.ts";
import {
  type FailedRelease,
  MISDIRECTED_RELEASE_RETRY_MS,
  RELEASE_RETRY_MS,
  type ReleaseCall,
} from "./release_call.ts";
import {
  type AnsweredRelease,
  type FreeReason,
  type HandoverEnd,
  handoverEnd,
  type HandoverFacts,
  isReleaseVoid,
  isRestartOf,
  type LastLease,
  outlastsRelease,
  unansweredExpiryMs,
} from "./handover_wait.ts";

/** A range map with its version in the store. */
export interface StoredRangeMap {
  readonly map: contracts.RangeMap;
  readonly version: string;
}

/** Result of a call to the store. */
export type MapCallResult =
  | { readonly kind: "found"; readonly stored: StoredRangeMap }
  | { readonly kind: "absent" }
  | { readonly kind: "written"; readonly stored: StoredRangeMap }
  /** A write conflicted, or its outcome is unknown; a read failed. */
  | { readonly kind: "unsure" };

/** A call to the store that the caller is to make. */
export type MapCall =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly map: contracts.RangeMap;
    readonly condition: contracts.WriteCondition;
    /** Handovers that the write finishes. */
    readonly finished: readonly FinishedHandover[];
    /** Ranges in handover that the write gives back to their old owners. */
    readonly abandoned: readonly contracts.RangeState[];
  };

/** A handover whose next owner may be granted the range. */
export interface FinishedHandover {
  /** The range before it was finished, with its old owner. */
  readonly range: contracts.RangeState;
  readonly reason: FreeReason;
  /** See {@link HandoverEnd}. */
  readonly lastLease: LastLease | undefined;
}

const NO_LEASES: ReadonlyMap<contracts.ServerId, number> = new Map();

/** Input of one reconciliation. */
export interface HandoverTick {
  readonly nowMs: number;
  /** Servers that can own ranges now. */
  readonly usable: ReadonlyMap<contracts.ServerId, contracts.RegisteredServer>;
  /** Entry VMs that are to vote on the map, in any order. */
  readonly voters: readonly contracts.VmId[];
  /** Lease duration that the service's requests need. */
  readonly leaseMs: number;
  /** Longer lease durations that single servers need; absent for none. */
  readonly serverLeasesMs?: ReadonlyMap<contracts.ServerId, number>;
  /** Voters that are removed for good. */
  readonly removedVoters: ReadonlySet<contracts.VmId>;
  /** Moves that placement plans for the map. */
  plan(map: contracts.RangeMap): readonly edit.RangeMove[];
  nonce(): string;
}

interface Release {
  /** When the call in flight was sent; undefined when there is none. */
  sentAtMs: number | undefined;
  answered: AnsweredRelease | undefined;
  /** Earliest retry after a failure. */
  notBeforeMs: number;
  /** Opaque value that the old owner returned for the next owner. */
  handover: string | undefined;
}

/**
 * Longest delay of a release until all voters have acknowledged the handover: a
 * renewal that crosses the release would invalidate it.
 */
const RELEASE_WAIT_MS = 120;
/**
 * A server that limits its calls gets a release again after this time at the
 * earliest: each renewal of its other ranges makes the one before it void.
 */
const SPARING_RELEASE_RETRY_MS = 1_000;
/**
 * Handovers that finish within this time share a write: each write is a call to
 * the store and an update to all VMs.
 */
const FINISH_BATCH_MS = 60;
/**
 * A handover is abandoned this long after the release at the earliest: voters
 * report every 200 ms, and an earlier report doesn't tell their last grants.
 */
const ABANDON_DELAY_MS = 250;
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 1_000;

/** Reconciles the range map of one service and hands its ranges over. */
export class HandoverController {
  readonly #service: contracts.ServiceId;
  readonly #timings: GrantTimings;
  readonly #reports: VoterReports;
  #stored: StoredRangeMap | undefined;
  #isAbsent = false;
  #mustRead = true;
  #isBusy = false;
  #notBeforeMs = Number.NEGATIVE_INFINITY;
  #failures = 0;
  /** When a majority of every voter set had acknowledged each revision. */
  readonly #acknowledgedAtMs = new Map<number, number>();
  /** When all of several voter sets had acknowledged a map that names them. */
  #setsAcknowledged: {
    readonly keeperSets: contracts.RangeMap["keeperSets"];
    readonly atMs: number;
  } | undefined;
  /** When the map was last read or written. */
  #storedAtMs = Number.NEGATIVE_INFINITY;
  /** Since when a finished handover has not been written. */
  #finishedSinceMs: number | undefined;
  readonly #fencing = new FencingReleases();
  readonly #abandoned = new AbandonedHandovers();
  /** Releases by the fence of the range's next owner. */
  readonly #releases = new Map<number, Release>();

  constructor(
    service: contracts.ServiceId,
    reports: VoterReports,
    timings: GrantTimings,
  ) {
    this.#service = service;
    this.#reports = reports;
    this.#timings = timings;
  }

  /** The map as last read or written; undefined before. */
  get map(): contracts.RangeMap | undefined {
    return this.#stored?.map;
  }

  /** Forces a read before the next decision, for example by a new leader. */
  requireRead(): void {
    this.#mustRead = true;
  }

  /** Notes a revision that a peer knows; a newer one forces a read. */
  noteNewerRevision(revision: number): void {
    if (revision > (this.map?.revision ?? 0)) this.#mustRead = true;
  }

  /**
   * Value that the old owner returned for the range with this fence, if any.
   */
  handover(fence: number): string | undefined {
    return this.#releases.get(fence)?.handover;
  }

  /**
   * Whether a server keeps its ranges, as a release could not end its leases
   * soon.
   */
  keepsRanges(server: contracts.ServerId, nowMs: number): boolean {
    return this.#abandoned.isRecent(server, nowMs);
  }

  /** The next call to the store; undefined while one is in flight. */
  nextCall(tick: HandoverTick): MapCall | undefined {
    if (this.#isBusy || tick.nowMs < this.#notBeforeMs) return undefined;
    const call = this.#mustRead ? { kind: "read" } as const : this.#write(tick);
    this.#isBusy = call !== undefined;
    return call;
  }

  /** Takes the result of the call that {@link nextCall} returned. */
  noteCallResult(result: MapCallResult, nowMs: number): void {
    this.#isBusy = false;
    if (result.kind === "unsure") return this.#backOff(nowMs);
    this.#failures = 0;
    if (result.kind === "absent") {
      this.#mustRead = false;
      // A map that was read before is never replaced by an initial map.
      this.#isAbsent = this.#stored === undefined;
      return;
    }
    const known = this.map?.revision ?? 0;
    if (result.stored.map.revision < known) return this.#backOff(nowMs);
    this.#isAbsent = false;
    this.#mustRead = false;
    if (result.kind === "written") {
      this.#addFencing(result.stored.map, nowMs);
      this.#noteAbandoned(result.stored.map);
    }
    this.#fencing.noteRanges(result.stored.map.ranges);
    this.#keepSetsAcknowledgement(result.stored.map, nowMs);
    this.#stored = result.stored;
    this.#dropFinishedHandovers();
  }

  /** Notes quorum acknowledgements; called after each voter's report. */
  checkAcknowledgements(
    nowMs: number,
    removedVoters: ReadonlySet<contracts.VmId>,
  ): void {
    const map = this.map;
    if (map === undefined) return;
    this.#checkVoterSets(map, nowMs, removedVoters);
    // Former voters can confirm no revision any more once all sets have
    // acknowledged their successors; handovers wait for their leases only.
    const keeperSets = this.#setsAcknowledgedAtMs(map) === undefined
      ? map.keeperSets
      : map.keeperSets.slice(-1);
    for (const revision of this.#revisionsInHandover(map)) {
      if (this.#acknowledgedAtMs.has(revision)) continue;
      const isAcknowledged = this.#reports.isAcknowledged(
        { keeperSets },
        revision,
        removedVoters,
      );
      if (!isAcknowledged) continue;
      this.#acknowledgedAtMs.set(revision, nowMs);
    }
  }

  #checkVoterSets(
    map: contracts.RangeMap,
    nowMs: number,
    removedVoters: ReadonlySet<contracts.VmId>,
  ): void {
    if (map.keeperSets.length === 1) return;
    if (this.#setsAcknowledgedAtMs(map) !== undefined) return;
    if (!this.#reports.isAcknowledged(map, map.revision, removedVoters)) return;
    this.#setsAcknowledged = { keeperSets: map.keeperSets, atMs: nowMs };
  }

  /**
   * Voter sets of a map that is read anew are other ones if another leader has
   * dropped and added them meanwhile: two drops, each after former leases expire.
   */
  #keepSetsAcknowledgement(
    { keeperSets }: contracts.RangeMap,
    nowMs: number,
  ): void {
    const { holdMs } = this.#timings;
    const isRecent = nowMs - this.#storedAtMs <
      maxFormerLeaseMs(this.#timings, holdMs);
    this.#storedAtMs = nowMs;
    const known = this.#setsAcknowledged;
    if (known === undefined || known.keeperSets === keeperSets) return;
    const isSame = isRecent &&
      JSON.stringify(known.keeperSets) === JSON.stringify(keeperSets);
    this.#setsAcknowledged = isSame ? { ...known, keeperSets } : undefined;
  }

  /** Undefined before the acknowledgement, and for a map with one voter set. */
  #setsAcknowledgedAtMs({ keeperSets }: contracts.RangeMap) {
    const known = this.#setsAcknowledged;
    return known?.keeperSets === keeperSets ? known.atMs : undefined;
  }

  /**
   * Releases to send now, to the present run of each old owner; each is returned
   * once until its result is noted.
   */
  takeReleases(
    nowMs: number,
    mayCall: (server: contracts.ServerId) => boolean = () => true,
  ): ReleaseCall[] {
    // By a stale map, keys might be released that their owner owns again.
    if (this.#mustRead) return [];
    const calls: ReleaseCall[] = [];
    const { map } = this;
    for (const range of map?.ranges ?? []) {
      const oldOwner = range.vacating;
      if (oldOwner === undefined) continue;
      // A release could reach the new run after its grant, and revoke that.
      if (isRestartOf(range.owner, oldOwner)) continue;
      if (!this.#mayRelease(map!, range, nowMs)) continue;
      if (!mayCall(oldOwner.server)) continue;
      this.#release(range.fence).sentAtMs = nowMs;
      calls.push({ range, oldOwner });
    }
    return [...calls, ...this.#fencing.takeDue(nowMs, mayCall)];
  }

  /**
   * Takes the result of a release; a failed one is retried. Where another
   * process has the old owner's address, nobody is left to be fenced off.
   */
  noteReleaseResult(
    fence: number,
    result: { readonly handover: string | undefined } | FailedRelease,
    nowMs: number,
  ): void {
    if (this.#fencing.noteResult(fence, result !== "failed", nowMs)) return;
    const release = this.#release(fence);
    const releaseSentAtMs = release.sentAtMs ?? nowMs;
    release.sentAtMs = undefined;
    if (result === "failed" || result === "misdirected") {
      release.notBeforeMs = nowMs +
        (result === "failed" ? RELEASE_RETRY_MS : MISDIRECTED_RELEASE_RETRY_MS);
      return;
    }
    release.answered = { sentAtMs: releaseSentAtMs, answeredAtMs: nowMs };
    release.handover = result.handover ?? release.handover;
  }

  /** Keeps releasing ranges reassigned without an answer of the old owner. */
  #addFencing({ ranges }: contracts.RangeMap, nowMs: number): void {
    const finished = new Set(
      ranges.filter((range) => range.vacating === undefined)
        .map((range) => range.fence),
    );
    for (const range of this.map?.ranges ?? []) {
      const { fence, vacating: oldOwner } = range;
      if (oldOwner === undefined || !finished.has(fence)) continue;
      if (this.#releases.get(fence)?.answered !== undefined) continue;
      this.#fencing.add({ range, oldOwner, isFencing: true }, nowMs);
    }
  }

  /** Passes what abandoned handovers need to the ranges' new fences. */
  #noteAbandoned({ ranges }: contracts.RangeMap): void {
    const { map } = this;
    for (const range of map?.ranges ?? []) {
      const { vacating, fence, fromKey } = range;
      if (vacating === undefined) continue;
      const next = ranges[edit.rangeIndex(ranges, fromKey)]!;
      const isAbandoned = next.vacating === undefined &&
        next.fence !== fence && edit.isSameOwner(next.owner, vacating);
      if (!isAbandoned) continue;
      this.#release(next.fence).handover = this.handover(fence);
      const expiryMs = unansweredExpiryMs(this.#facts(map!, range));
      if (expiryMs !== undefined) this.#abandoned.note(vacating, expiryMs);
    }
  }

  #mayRelease(
    map: contracts.RangeMap,
    range: contracts.RangeState,
    nowMs: number,
  ): boolean {
    const oldOwner = range.vacating!;
    const { revision, server } = oldOwner;
    const acknowledgedAtMs = this.#acknowledgedAtMs.get(revision);
    const release = this.#release(range.fence);
    const isInFlight = release.sentAtMs !== undefined;
    if (acknowledgedAtMs === undefined || isInFlight) return false;
    if (nowMs < release.notBeforeMs) return false;
    if (release.answered !== undefined) {
      const facts = this.#facts(map, range);
      const isSparing = map.serverHoldMs?.[server] !== undefined;
      const sinceMs = nowMs - release.answered.answeredAtMs;
      const isUseless = isSparing &&
        (sinceMs < SPARING_RELEASE_RETRY_MS || outlastsRelease(facts, nowMs));
      return !isUseless && isReleaseVoid(facts);
    }
    const hasAcknowledged = (vm: contracts.VmId) => {
      const report = this.#reports.reportOf(vm);
      if (report === undefined || report.revision < revision) return false;
      // The reported end of a grant in flight is the time of the report.
      return lastGrantEndOf(report, oldOwner) < report.receivedAtMs;
    };
    return nowMs - acknowledgedAtMs >= RELEASE_WAIT_MS ||
      allVoters(map).every(hasAcknowledged);
  }

  #facts(
    map: contracts.RangeMap,
    range: contracts.RangeState,
  ): HandoverFacts {
    return {
      map,
      range,
      reports: this.#reports,
      acknowledgedAtMs: this.#acknowledgedAtMs.get(range.vacating!.revision),
      setsAcknowledgedAtMs: this.#setsAcknowledgedAtMs(map),
      release: this.#releases.get(range.fence)?.answered,
      timings: this.#timings,
    };
  }

  #write(tick: HandoverTick): MapCall | undefined {
    if (this.#stored === undefined) return this.#initialWrite(tick);
    const { map, version } = this.#stored;
    const revision = map.revision + 1;
    const finished: FinishedHandover[] = [];
    const ranges = edit.finishHandovers(map.ranges, (range) => {
      const end = this.#endIfOver(map, range, tick);
      if (end === undefined) return false;
      const { reason, lastLease } = end;
      finished.push({ range, reason, lastLease });
      return true;
    });
    const abandoned: contracts.RangeState[] = [];
    const kept = edit.abandonHandovers(ranges, (range) => {
      const isAbandoned = this.#isTooLong(map, range, tick);
      if (isAbandoned) abandoned.push(range);
      return isAbandoned;
    }, map.lastFence);
    const moves = tick.plan(map);
    const started = edit.startHandovers(kept.ranges, moves, {
      revision,
      lastFence: kept.lastFence,
    });
    const keeperSets = this.#nextVoterSets(map, tick);
    const holdMs = Math.max(leaseDurationMs(map, this.#timings), tick.leaseMs);
    const serverHoldMs = nextServerLeases(
      map,
      started.ranges,
      tick.serverLeasesMs ?? NO_LEASES,
    );
    const isFinishing = finished.length > 0 &&
      !this.#shouldWaitForMore(tick.nowMs);
    const isLeaseLonger = holdMs > leaseDurationMs(map, this.#timings) ||
      Object.entries(serverHoldMs ?? {}).some(([server, leaseMs]) =>
        leaseMs > (map.serverHoldMs?.[server] ?? 0)
      );
    const isChanged = isFinishing || moves.length > 0 ||
      abandoned.length > 0 ||
      keeperSets !== map.keeperSets || isLeaseLonger;
    if (!isChanged) return undefined;
    this.#finishedSinceMs = undefined;
    const next = {
      ...map,
      ...started,
      revision,
      keeperSets,
      holdMs,
      serverHoldMs,
    };
    const condition = { kind: "version", version } as const;
    return { ...this.#writeCall(next, condition, tick), finished, abandoned };
  }

  /** Whether finished handovers can wait for others that finish soon. */
  #shouldWaitForMore(nowMs: number): boolean {
    this.#finishedSinceMs ??= nowMs;
    const isInFlight = [...this.#releases.values()].some(({ sentAtMs }) =>
      sentAtMs !== undefined
    );
    return isInFlight && nowMs - this.#finishedSinceMs < FINISH_BATCH_MS;
  }

  #initialWrite(tick: HandoverTick): MapCall | undefined {
    const owners = [...tick.usable.values()];
    const isReady = this.#isAbsent && owners.length > 0 &&
      tick.voters.length > 0;
    if (!isReady) return undefined;
    const ranges = edit.initialRanges(owners);
    const first = {
      service: this.#service,
      revision: 1,
      lastFence: owners.length,
      keeperSets: [[...tick.voters]],
      holdMs: Math.max(this.#timings.holdMs, tick.leaseMs),
      ranges,
    };
    return this.#writeCall(first, { kind: "absent" }, tick);
  }

  #writeCall(
    map: Omit<contracts.RangeMap, "nonce">,
    condition: contracts.WriteCondition,
    tick: HandoverTick,
  ) {
    const written = { ...map, nonce: tick.nonce() };
    return {
      kind: "write",
      map: written,
      condition,
      finished: [],
      abandoned: [],
    } as const;
  }

  /** The end of a handover that is over; undefined for any other. */
  #endIfOver(
    map: contracts.RangeMap,
    range: contracts.RangeState,
    tick: HandoverTick,
  ): HandoverEnd | undefined {
    if (!tick.usable.has(range.owner.server)) return undefined;
    const end = handoverEnd(this.#facts(map, range));
    return end !== undefined && end.atMs <= tick.nowMs ? end : undefined;
  }

  /**
   * Whether a range goes back to its old owner, which has released it and still
   * runs: an unanswered grant keeps a lease in force for longer than leases of
   * the service usually last, and only that owner may serve the range meanwhile.
   * A server that needs long leases now can't serve its ranges as well as others.
   */
  #isTooLong(
    map: contracts.RangeMap,
    range: contracts.RangeState,
    { nowMs, usable, serverLeasesMs = NO_LEASES }: HandoverTick,
  ): boolean {
    const { vacating: oldOwner, fence } = range;
    if (oldOwner === undefined) return false;
    const present = usable.get(oldOwner.server);
    const mayKeep = present !== undefined &&
      edit.isSameOwner(present, oldOwner) &&
      !serverLeasesMs.has(oldOwner.server);
    const release = this.#releases.get(fence);
    if (!mayKeep || release?.answered === undefined) return false;
    const isSettled = release.sentAtMs === undefined &&
      nowMs - release.answered.answeredAtMs >= ABANDON_DELAY_MS;
    if (!isSettled) return false;
    const expiryMs = unansweredExpiryMs(this.#facts(map, range));
    const usualLeaseMs = leaseDurationMs(map, this.#timings);
    return expiryMs !== undefined &&
      expiryMs - nowMs > maxLeaseLifetimeMs(this.#timings, usualLeaseMs);
  }

  /** Voter sets of the next revision; the same object when nothing changes. */
  #nextVoterSets(
    map: contracts.RangeMap,
    tick: HandoverTick,
  ): contracts.RangeMap["keeperSets"] {
    const last = map.keeperSets.at(-1)!;
    const hasEarlier = map.keeperSets.length > 1;
    if (hasEarlier && this.#areFormerLeasesOver(map, tick.nowMs)) return [last];
    const isSame = last.length === tick.voters.length &&
      tick.voters.every((vm) => last.includes(vm));
    if (hasEarlier || isSame || tick.voters.length === 0) {
      return map.keeperSets;
    }
    return [...map.keeperSets, [...tick.voters]];
  }

  /**
   * Whether the leases that voters of earlier sets granted have expired. Until
   * then handovers have to wait for them, and the map names these voters.
   */
  #areFormerLeasesOver(map: contracts.RangeMap, nowMs: number): boolean {
    const acknowledgedAtMs = this.#setsAcknowledgedAtMs(map);
    if (acknowledgedAtMs === undefined) return false;
    const leaseMs = longestLeaseMs(map, this.#timings);
    const waitMs = maxFormerLeaseMs(this.#timings, leaseMs);
    return nowMs - acknowledgedAtMs >= waitMs;
  }

  #release(fence: number): Release {
    const found = this.#releases.get(fence);
    if (found !== undefined) return found;
    const created: Release = {
      sentAtMs: undefined,
      answered: undefined,
      notBeforeMs: Number.NEGATIVE_INFINITY,
      handover: undefined,
    };
    this.#releases.set(fence, created);
    return created;
  }

  #revisionsInHandover(map: contracts.RangeMap): Set<number> {
    const revisions = new Set<number>();
    for (const { vacating } of map.ranges) {
      if (vacating !== undefined) revisions.add(vacating.revision);
    }
    return revisions;
  }

  #dropFinishedHandovers(): void {
    const { map } = this.#stored!;
    const open = this.#revisionsInHandover(map);
    for (const revision of this.#acknowledgedAtMs.keys()) {
      if (!open.has(revision)) this.#acknowledgedAtMs.delete(revision);
    }
    const fences = new Set(map.ranges.map(({ fence }) => fence));
    for (const fence of this.#releases.keys()) {
      if (!fences.has(fence)) this.#releases.delete(fence);
    }
  }

  #backOff(nowMs: number): void {
    this.#mustRead = true;
    const waitMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** this.#failures);
    this.#failures++;
    this.#notBeforeMs = nowMs + waitMs;
  }
}
