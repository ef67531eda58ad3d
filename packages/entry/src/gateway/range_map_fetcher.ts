/**
 * Learns the range map of one service: keepers and the mover from the store, so
 * that their word is evidence, all others from a peer.
 */
import type * as contracts from "@guavatide/contracts";
import type { PartLog } from "../utils/log.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import { ThrottledTask } from "./throttled_task.ts";

/** Options of {@link RangeMapFetcher}. */
export interface RangeMapFetcherOptions {
  readonly service: contracts.ServiceId;
  readonly maps: RangeMapStore;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  /** Asks a peer for the map as it knows it. */
  readonly fetchMap: (
    peer: contracts.VmId,
  ) => Promise<contracts.RangeMap | undefined>;
  /**
   * Whether this VM's evidence or moves rest on its own reading of the store.
   */
  readonly isVoterOrLeader: () => boolean;
  /** Revision known here; 0 for none. */
  readonly knownRevision: () => number;
  /** The store answered a read that left at `askedAtMs`. */
  readonly onStoreMap: (map: contracts.RangeMap, askedAtMs: number) => void;
  /** A map came from a peer, or from the store possibly some seconds old. */
  readonly onUnconfirmedMap: (map: contracts.RangeMap) => void;
  /** From now on this VM's status is evidence. */
  readonly onFirstStoreRead: () => void;
}

/** The mover's update may arrive this much later than a peer's revision. */
const UPDATE_GRACE_MS = 120;
/** Least time between two reads of the map by a VM that lacks evidence. */
const READ_INTERVAL_MIN_MS = 250;

/** Decides when and from whom to learn the map. */
export class RangeMapFetcher {
  readonly #options: RangeMapFetcherOptions;
  readonly #reading: ThrottledTask;
  readonly #catchingUp: ThrottledTask;
  /** Since when a peer has a newer map than this VM, and the last such peer. */
  #staleSinceMs: number | undefined;
  #aheadPeer: contracts.VmId | undefined;
  /** Whether the store was asked for a first map. */
  #hasAskedStore = false;
  #isSettled = false;

  constructor(options: RangeMapFetcherOptions) {
    this.#options = options;
    const spacing = { ...options, spacingMs: READ_INTERVAL_MIN_MS };
    this.#reading = new ThrottledTask(spacing);
    this.#catchingUp = new ThrottledTask(spacing);
  }

  /** Whether the map was read from the store in this run. */
  get hasReadMap(): boolean {
    return this.#isSettled;
  }

  /** A peer knows a revision of the map. */
  notePeerRevision(revision: number, peer: contracts.VmId): void {
    if (revision <= this.#options.knownRevision()) return;
    this.#aheadPeer = peer;
    this.#staleSinceMs ??= this.#options.clock.nowMs();
  }

  /** A map came in force here. */
  noteMap(): void {
    this.#staleSinceMs = undefined;
    // A keeper is of use to the others only once it has read the map itself.
    if (this.#options.isVoterOrLeader() && !this.#isSettled) this.requestRead();
  }

  /** The store answered a call of the mover. */
  noteMapRead(): void {
    this.#isSettled = true;
    this.#hasAskedStore = true;
  }

  /** The process stood still: what it knew may be old. */
  invalidate(): void {
    this.#isSettled = false;
  }

  /** Learns the map if that is due. */
  tick(nowMs: number): void {
    const isStale = this.#staleSinceMs !== undefined &&
      nowMs - this.#staleSinceMs >= UPDATE_GRACE_MS;
    if (this.#options.isVoterOrLeader() && !this.#isSettled) this.requestRead();
    else if (!this.#hasAskedStore || isStale) this.catchUp();
  }

  /** Reads the map from the store, unless one read is under way or just was. */
  requestRead(): void {
    this.#reading.run(async (nowMs) => {
      const { maps, service, onStoreMap: onRead, onFirstStoreRead: onSettled } =
        this.#options;
      const end = await maps.read(service);
      if (end.kind === "unsure") return;
      const wasSettled = this.#isSettled;
      this.noteMapRead();
      if (end.kind === "absent") return;
      onRead(end.stored.map, nowMs);
      if (!wasSettled) onSettled();
    });
  }

  /**
   * Learns the map of the store or of a peer. A VM without duty may have an
   * older one: servers refuse keys that they do not own.
   */
  catchUp(): void {
    if (this.#options.isVoterOrLeader()) return this.requestRead();
    this.#catchingUp.run(async () => {
      const { maps, service, fetchMap: askMap, onUnconfirmedMap: onTold } =
        this.#options;
      const peer = this.#aheadPeer;
      this.#aheadPeer = undefined;
      const told = peer === undefined ? undefined : await askMap(peer);
      if (told !== undefined) return onTold(told);
      const end = await maps.read(service, {
        mayBeStale: !this.#hasAskedStore,
      });
      if (end.kind === "unsure") return;
      this.#hasAskedStore = true;
      if (end.kind === "found") onTold(end.stored.map);
    });
  }
}
