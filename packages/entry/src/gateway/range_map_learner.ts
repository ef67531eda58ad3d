/**
 * Learns the range map of one service: keepers and the mover from the store, so
 * that their word is evidence, all others from a peer.
 */
import type * as contracts from "@guavatide/contracts";
import type { PartLog } from "../utils/log.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import { SpacedTask } from "./spaced_task.ts";

/** Options of {@link RangeMapLearner}. */
export interface RangeMapLearnerOptions {
  readonly service: contracts.ServiceId;
  readonly maps: RangeMapStore;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
  /** Asks a peer for the map as it knows it. */
  readonly askMap: (
    peer: contracts.VmId,
  ) => Promise<contracts.RangeMap | undefined>;
  /**
   * Whether this VM's evidence or moves rest on its own reading of the store.
   */
  readonly hasDuty: () => boolean;
  /** Revision known here; 0 for none. */
  readonly knownRevision: () => number;
  /** The store answered a read that left at `askedAtMs`. */
  readonly onRead: (map: contracts.RangeMap, askedAtMs: number) => void;
  /** A map came from a peer, or from the store possibly some seconds old. */
  readonly onTold: (map: contracts.RangeMap) => void;
  /** From now on this VM's status is evidence. */
  readonly onSettled: () => void;
}

/** The mover's update may arrive this much later than a peer's revision. */
const UPDATE_GRACE_MS = 120;
/** Least time between two reads of the map by a VM that lacks evidence. */
const READ_INTERVAL_MIN_MS = 250;

/** Decides when and from whom to learn the map. */
export class RangeMapLearner {
  readonly #options: RangeMapLearnerOptions;
  readonly #reading: SpacedTask;
  readonly #catchingUp: SpacedTask;
  /** Since when a peer has a newer map than this VM, and the last such peer. */
  #staleSinceMs: number | undefined;
  #aheadPeer: contracts.VmId | undefined;
  /** Whether the store was asked for a first map. */
  #hasAskedStore = false;
  #isSettled = false;

  constructor(options: RangeMapLearnerOptions) {
    this.#options = options;
    const spacing = { ...options, spacingMs: READ_INTERVAL_MIN_MS };
    this.#reading = new SpacedTask(spacing);
    this.#catchingUp = new SpacedTask(spacing);
  }

  /** Whether the map was read from the store in this run. */
  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** A peer knows a revision of the map. */
  noteRevision(revision: number, peer: contracts.VmId): void {
    if (revision <= this.#options.knownRevision()) return;
    this.#aheadPeer = peer;
    this.#staleSinceMs ??= this.#options.clock.nowMs();
  }

  /** A map came in force here. */
  noteMap(): void {
    this.#staleSinceMs = undefined;
    // A keeper is of use to the others only once it has read the map itself.
    if (this.#options.hasDuty() && !this.#isSettled) this.readSoon();
  }

  /** The store answered a call of the mover. */
  noteSettled(): void {
    this.#isSettled = true;
    this.#hasAskedStore = true;
  }

  /** The process stood still: what it knew may be old. */
  forget(): void {
    this.#isSettled = false;
  }

  /** Learns the map if that is due. */
  tick(nowMs: number): void {
    const isStale = this.#staleSinceMs !== undefined &&
      nowMs - this.#staleSinceMs >= UPDATE_GRACE_MS;
    if (this.#options.hasDuty() && !this.#isSettled) this.readSoon();
    else if (!this.#hasAskedStore || isStale) this.catchUp();
  }

  /** Reads the map from the store, unless one read is under way or just was. */
  readSoon(): void {
    this.#reading.run(async (nowMs) => {
      const { maps, service, onRead, onSettled } = this.#options;
      const end = await maps.read(service);
      if (end.kind === "unsure") return;
      const wasSettled = this.#isSettled;
      this.noteSettled();
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
    if (this.#options.hasDuty()) return this.readSoon();
    this.#catchingUp.run(async () => {
      const { maps, service, askMap, onTold } = this.#options;
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
