/**
 * Fetches the range map of one service: voters and the leader read it from the
 * store, so that their reports confirm it; all others get it from a peer.
 */
import type * as contracts from "@guavatide/contracts";
import type { Logger } from "../../utils/log.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import { ThrottledTask } from "../throttled_task.ts";

/** Options of {@link RangeMapFetcher}. */
export interface RangeMapFetcherOptions {
  readonly service: contracts.ServiceId;
  readonly maps: RangeMapStore;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Fetches the map from a peer; undefined without an answer. */
  readonly fetchMap: (
    peer: contracts.VmId,
  ) => Promise<contracts.RangeMap | undefined>;
  /**
   * Whether confirmations or handovers by this VM rely on its own reads of the
   * store.
   */
  readonly isVoterOrLeader: () => boolean;
  /** Revision known here; 0 for none. */
  readonly knownRevision: () => number;
  /** The store answered a read that was sent at `sentAtMs`. */
  readonly onStoreMap: (map: contracts.RangeMap, sentAtMs: number) => void;
  /**
   * A map came from a peer, or from a store read that may be some seconds old:
   * it confirms nothing.
   */
  readonly onUnconfirmedMap: (map: contracts.RangeMap) => void;
  /**
   * Called after the first read of the store since the start or a pause: from
   * now on this VM's status confirms maps.
   */
  readonly onFirstStoreRead: () => void;
}

/**
 * The leader's update may arrive this much later than a report of its revision
 * by a peer.
 */
const UPDATE_GRACE_MS = 120;
/** Shortest interval between two reads of the map. */
const READ_INTERVAL_MIN_MS = 250;

/** Decides when to fetch the map, and from where. */
export class RangeMapFetcher {
  readonly #options: RangeMapFetcherOptions;
  readonly #reads: ThrottledTask;
  readonly #catchUps: ThrottledTask;
  /**
   * Since when some peer has a newer map than this VM, and the last such peer.
   */
  #staleSinceMs: number | undefined;
  #newerPeer: contracts.VmId | undefined;
  /** Whether the store has answered a read. */
  #hasStoreAnswered = false;
  #hasRead = false;

  constructor(options: RangeMapFetcherOptions) {
    this.#options = options;
    const throttling = { ...options, minIntervalMs: READ_INTERVAL_MIN_MS };
    this.#reads = new ThrottledTask(throttling);
    this.#catchUps = new ThrottledTask(throttling);
  }

  /**
   * Whether this incarnation has read the map from the store since the last
   * pause.
   */
  get hasReadMap(): boolean {
    return this.#hasRead;
  }

  /** Notes the revision of the map that a peer knows. */
  notePeerRevision(revision: number, peer: contracts.VmId): void {
    if (revision <= this.#options.knownRevision()) return;
    this.#newerPeer = peer;
    this.#staleSinceMs ??= this.#options.clock.nowMs();
  }

  /** A newer map was adopted. */
  noteMap(): void {
    this.#staleSinceMs = undefined;
    // A voter's status confirms maps only once it has read the store itself.
    if (this.#options.isVoterOrLeader() && !this.#hasRead) this.requestRead();
  }

  /** The store answered a read or write of the map. */
  noteMapRead(): void {
    this.#hasRead = true;
    this.#hasStoreAnswered = true;
  }

  /**
   * Requires a new read after a pause of the process: the known map may be
   * outdated.
   */
  invalidate(): void {
    this.#hasRead = false;
  }

  /** Fetches the map if that is due. */
  tick(nowMs: number): void {
    const isStale = this.#staleSinceMs !== undefined &&
      nowMs - this.#staleSinceMs >= UPDATE_GRACE_MS;
    if (this.#options.isVoterOrLeader() && !this.#hasRead) this.requestRead();
    else if (!this.#hasStoreAnswered || isStale) this.catchUp();
  }

  /**
   * Reads the map from the store, unless a read is in flight or has just begun.
   */
  requestRead(): void {
    this.#reads.run(async (nowMs) => {
      const { maps, service, onStoreMap, onFirstStoreRead } = this.#options;
      const result = await maps.read(service);
      if (result.kind === "unsure") return;
      const hadReadMap = this.#hasRead;
      this.noteMapRead();
      if (result.kind === "absent") return;
      onStoreMap(result.stored.map, nowMs);
      if (!hadReadMap) onFirstStoreRead();
    });
  }

  /**
   * Fetches the map from the store or a peer. A VM that is neither voter nor
   * leader may use an older one: servers refuse keys that they do not own.
   */
  catchUp(): void {
    if (this.#options.isVoterOrLeader()) return this.requestRead();
    this.#catchUps.run(async () => {
      const { maps, service, fetchMap, onUnconfirmedMap } = this.#options;
      const peer = this.#newerPeer;
      this.#newerPeer = undefined;
      const fetched = peer === undefined ? undefined : await fetchMap(peer);
      if (fetched !== undefined) return onUnconfirmedMap(fetched);
      const result = await maps.read(service, {
        mayBeStale: !this.#hasStoreAnswered,
      });
      if (result.kind === "unsure") return;
      this.#hasStoreAnswered = true;
      if (result.kind === "found") onUnconfirmedMap(result.stored.map);
    });
  }
}
