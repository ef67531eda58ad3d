/**
 * Moves key ranges of one service by two conditional updates of the range map:
 * the first takes a range from its owner, the second gives it to the next once
 * nobody else can hold it. After a lost reply, a lost mover or a second mover,
 * the work goes on from what the store holds.
 */
import type * as contracts from "@guavatide/contracts";
import { FencingReleases } from "./fencing_releases.ts";
import { leaseDurationMs } from "./lease_duration.ts";
import type { GrantTimings } from "./grant_timings.ts";
import type { VoterReports } from "./voter_reports.ts";
import * as edit from "./range_edit.ts";
import { RELEASE_RETRY_MS, type ReleaseCall } from "./release_call.ts";
import {
  type AnsweredRelease,
  freeAtMs,
  type HandoverFacts,
  isReleaseVoid,
} from "./handover_wait.ts";

/** A range map with the store's version of it. */
export interface StoredRangeMap {
  readonly map: contracts.RangeMap;
  readonly version: string;
}

/** What came of a call to the store. */
export type MapCallResult =
  | { readonly kind: "found"; readonly stored: StoredRangeMap }
  | { readonly kind: "absent" }
  | { readonly kind: "written"; readonly stored: StoredRangeMap }
  /** Another write came first, or whether this one was done is not known. */
  | { readonly kind: "unsure" };

/** What the mover asks of the task around it. */
export type MapCall =
  | { readonly kind: "read" }
  | {
    readonly kind: "write";
    readonly map: contracts.RangeMap;
    readonly condition: contracts.WriteCondition;
  };

/** The world as the task sees it at a tick. */
export interface HandoverTick {
  readonly nowMs: number;
  /** Servers that can take ranges now. */
  readonly usable: ReadonlyMap<contracts.ServerId, contracts.RegisteredServer>;
  /** Whether this run of a server is known to have ended. */
  hasEnded(owner: contracts.RangeOwner): boolean;
  /** Entry VMs that shall be keepers, in any order. */
  readonly voters: readonly contracts.VmId[];
  /** Length of grants that the service's work needs. */
  readonly leaseMs: number;
  /** Keepers that are gone for good. */
  readonly removedVoters: ReadonlySet<contracts.VmId>;
  /** Moves that placement asks for. */
  plan(map: contracts.RangeMap): readonly edit.RangeMove[];
  nonce(): string;
}

interface Release {
  /** When the call under way left; undefined when none is. */
  underWayMs: number | undefined;
  answered: AnsweredRelease | undefined;
  /** A failed one is not sent again before. */
  notBeforeMs: number;
  handover: string | undefined;
}

/**
 * Longest wait of releases until all keepers that are heard know of the move: a
 * renewal that crosses a release makes it void.
 */
const RELEASE_WAIT_MS = 120;
/**
 * Ends of moves within this time are written together: each write is a call to
 * the store and an update to all VMs.
 */
const SETTLE_BATCH_MS = 60;
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 1_000;

/** Moves the ranges of one service. */
export class HandoverController {
  readonly #service: contracts.ServiceId;
  readonly #timings: GrantTimings;
  readonly #keepers: VoterReports;
  #stored: StoredRangeMap | undefined;
  #isAbsent = false;
  #mustRead = true;
  #isCalling = false;
  #notBeforeMs = Number.NEGATIVE_INFINITY;
  #failures = 0;
  /** When each revision was known to a majority of all keeper sets. */
  readonly #promisedAtMs = new Map<number, number>();
  /** Since when a range is free whose end is not written yet. */
  #freeSinceMs: number | undefined;
  readonly #fencing = new FencingReleases();
  /** Releases by the fence that the range's next owner gets. */
  readonly #releases = new Map<number, Release>();

  constructor(
    service: contracts.ServiceId,
    keepers: VoterReports,
    timings: GrantTimings,
  ) {
    this.#service = service;
    this.#keepers = keepers;
    this.#timings = timings;
  }

  /** The map as last read or written. */
  get map(): contracts.RangeMap | undefined {
    return this.#stored?.map;
  }

  /** Reads anew before the next decision, for example after taking over. */
  requireRead(): void {
    this.#mustRead = true;
  }

  /** A newer revision than the one known here is said to exist. */
  noteNewerRevision(revision: number): void {
    if (revision > (this.map?.revision ?? 0)) this.#mustRead = true;
  }

  /** The handover that the last owner gave for a range with this fence. */
  handover(fence: number): string | undefined {
    return this.#releases.get(fence)?.handover;
  }

  /** The next call to the store; at most one is under way. */
  nextCall(tick: HandoverTick): MapCall | undefined {
    if (this.#isCalling || tick.nowMs < this.#notBeforeMs) return undefined;
    const call = this.#mustRead ? { kind: "read" } as const : this.#write(tick);
    this.#isCalling = call !== undefined;
    return call;
  }

  /** The call that `nextCall` asked for has ended. */
  noteCallResult(end: MapCallResult, nowMs: number): void {
    this.#isCalling = false;
    if (end.kind === "unsure") return this.#backOff(nowMs);
    this.#failures = 0;
    if (end.kind === "absent") {
      this.#mustRead = false;
      // An object that was there once is never written anew from nothing.
      this.#isAbsent = this.#stored === undefined;
      return;
    }
    const known = this.map?.revision ?? 0;
    if (end.stored.map.revision < known) return this.#backOff(nowMs);
    this.#isAbsent = false;
    this.#mustRead = false;
    if (end.kind === "written") this.#noteGiven(end.stored.map, nowMs);
    this.#fencing.noteRanges(end.stored.map.ranges);
    this.#stored = end.stored;
    this.#forgetOldMoves();
  }

  /** Takes note of promises; called after each keeper's status. */
  checkAcknowledgements(
    nowMs: number,
    gone: ReadonlySet<contracts.VmId>,
  ): void {
    const map = this.map;
    if (map === undefined) return;
    for (const revision of this.#openRevisions(map)) {
      if (this.#promisedAtMs.has(revision)) continue;
      if (!this.#keepers.isAcknowledged(map, revision, gone)) continue;
      this.#promisedAtMs.set(revision, nowMs);
    }
  }

  /** Releases to send now; each is returned once until its end is noted. */
  takeReleases(
    nowMs: number,
    hasEnded: (owner: contracts.RangeOwner) => boolean,
  ): ReleaseCall[] {
    // By an old map, keys might be released that their owner has got again.
    if (this.#mustRead) return [];
    const calls: ReleaseCall[] = [];
    const { map } = this;
    for (const range of map?.ranges ?? []) {
      const old = range.vacating;
      if (old === undefined || hasEnded(old)) continue;
      if (!this.#mayRelease(map!, range, nowMs)) continue;
      this.#release(range.fence).underWayMs = nowMs;
      calls.push({ range, oldOwner: old });
    }
    return [...calls, ...this.#fencing.takeDue(nowMs, hasEnded)];
  }

  /** A release was answered, or failed and may be sent again. */
  noteReleaseResult(
    fence: number,
    end: { readonly handover: string | undefined } | "failed",
    nowMs: number,
  ): void {
    if (this.#fencing.noteResult(fence, end !== "failed", nowMs)) return;
    const release = this.#release(fence);
    const leftAtMs = release.underWayMs ?? nowMs;
    release.underWayMs = undefined;
    if (end === "failed") {
      release.notBeforeMs = nowMs + RELEASE_RETRY_MS;
      return;
    }
    release.answered = { sentAtMs: leftAtMs, answeredAtMs: nowMs };
    release.handover = end.handover ?? release.handover;
  }

  /** Ranges that a map gives on without an answer of their old owner. */
  #noteGiven({ ranges }: contracts.RangeMap, nowMs: number): void {
    const settled = new Set(
      ranges.filter((it) => it.vacating === undefined).map((it) => it.fence),
    );
    for (const range of this.map?.ranges ?? []) {
      const { fence, vacating: old } = range;
      if (old === undefined || !settled.has(fence)) continue;
      if (this.#releases.get(fence)?.answered !== undefined) continue;
      this.#fencing.add({ range, oldOwner: old, isFencing: true }, nowMs);
    }
  }

  #mayRelease(
    map: contracts.RangeMap,
    range: contracts.RangeState,
    nowMs: number,
  ): boolean {
    const { revision, server } = range.vacating!;
    const promisedAtMs = this.#promisedAtMs.get(revision);
    const release = this.#release(range.fence);
    const isUnderWay = release.underWayMs !== undefined;
    if (promisedAtMs === undefined || isUnderWay) return false;
    if (nowMs < release.notBeforeMs) return false;
    if (release.answered !== undefined) {
      return isReleaseVoid(this.#facts(map, range, false));
    }
    const knows = (vm: contracts.VmId) => {
      const word = this.#keepers.reportOf(vm);
      if (word === undefined || word.revision < revision) return false;
      const endMs = word.lastGrantMs.get(server) ?? Number.NEGATIVE_INFINITY;
      // A grant that is under way ends when the word is told.
      return endMs < word.receivedAtMs;
    };
    const allKnow = [...new Set(map.keeperSets.flat())].every(knows);
    return allKnow || nowMs - promisedAtMs >= RELEASE_WAIT_MS;
  }

  #facts(
    map: contracts.RangeMap,
    range: contracts.RangeState,
    hasEnded: boolean,
  ): HandoverFacts {
    return {
      map,
      range,
      reports: this.#keepers,
      acknowledgedAtMs: this.#promisedAtMs.get(range.vacating!.revision),
      release: this.#releases.get(range.fence)?.answered,
      hasEnded,
      timings: this.#timings,
    };
  }

  #write(tick: HandoverTick): MapCall | undefined {
    if (this.#stored === undefined) return this.#firstWrite(tick);
    const { map, version } = this.#stored;
    const revision = map.revision + 1;
    let freed = 0;
    const settled = edit.finishHandovers(map.ranges, (range) => {
      const isFree = this.#isFree(map, range, tick);
      if (isFree) freed++;
      return isFree;
    });
    const moves = tick.plan(map);
    const vacated = edit.startHandovers(settled, moves, {
      revision,
      lastFence: map.lastFence,
    });
    const keeperSets = this.#nextKeeperSets(map, tick);
    const holdMs = Math.max(leaseDurationMs(map, this.#timings), tick.leaseMs);
    const isSettling = freed > 0 && !this.#awaitsMore(tick.nowMs);
    const isChanged = isSettling || moves.length > 0 ||
      keeperSets !== map.keeperSets ||
      holdMs > leaseDurationMs(map, this.#timings);
    if (!isChanged) return undefined;
    this.#freeSinceMs = undefined;
    const next = { ...map, ...vacated, revision, keeperSets, holdMs };
    return this.#writeCall(next, { kind: "version", version }, tick);
  }

  /** Whether more moves are about to end, and the free ones can wait. */
  #awaitsMore(nowMs: number): boolean {
    this.#freeSinceMs ??= nowMs;
    const isUnderWay = [...this.#releases.values()].some(({ underWayMs }) =>
      underWayMs !== undefined
    );
    return isUnderWay && nowMs - this.#freeSinceMs < SETTLE_BATCH_MS;
  }

  #firstWrite(tick: HandoverTick): MapCall | undefined {
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
  ): MapCall {
    return { kind: "write", map: { ...map, nonce: tick.nonce() }, condition };
  }

  #isFree(
    map: contracts.RangeMap,
    range: contracts.RangeState,
    tick: HandoverTick,
  ): boolean {
    if (!tick.usable.has(range.owner.server)) return false;
    const old = range.vacating!;
    const atMs = freeAtMs(this.#facts(map, range, tick.hasEnded(old)));
    return atMs !== undefined && atMs <= tick.nowMs;
  }

  /** Keeper sets of the next revision; the same object when none changes. */
  #nextKeeperSets(
    map: contracts.RangeMap,
    tick: HandoverTick,
  ): contracts.RangeMap["keeperSets"] {
    const last = map.keeperSets.at(-1)!;
    const isPromised = this.#keepers.isAcknowledged(
      map,
      map.revision,
      tick.removedVoters,
    );
    const hasEarlier = map.keeperSets.length > 1;
    if (hasEarlier && isPromised) return [last];
    const isSame = last.length === tick.voters.length &&
      tick.voters.every((vm) => last.includes(vm));
    if (hasEarlier || isSame || tick.voters.length === 0) {
      return map.keeperSets;
    }
    return [...map.keeperSets, [...tick.voters]];
  }

  #release(fence: number): Release {
    const found = this.#releases.get(fence);
    if (found !== undefined) return found;
    const created: Release = {
      underWayMs: undefined,
      answered: undefined,
      notBeforeMs: Number.NEGATIVE_INFINITY,
      handover: undefined,
    };
    this.#releases.set(fence, created);
    return created;
  }

  #openRevisions(map: contracts.RangeMap): Set<number> {
    const revisions = new Set<number>();
    for (const { vacating } of map.ranges) {
      if (vacating !== undefined) revisions.add(vacating.revision);
    }
    return revisions;
  }

  #forgetOldMoves(): void {
    const { map } = this.#stored!;
    const open = this.#openRevisions(map);
    for (const revision of this.#promisedAtMs.keys()) {
      if (!open.has(revision)) this.#promisedAtMs.delete(revision);
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
