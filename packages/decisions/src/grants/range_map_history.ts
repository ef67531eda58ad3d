/** Recent revisions of a range map, from which updates to peers are made. */
import type * as contracts from "@guavatide/contracts";
import { changedRanges } from "./range_difference.ts";

/** A map as the difference from an earlier revision. */
export interface RangeMapDelta {
  /** The map, with only the ranges that differ. */
  readonly map: contracts.RangeMap;
  /** A VM that knows this revision or a later one can compute the map. */
  readonly baseRevision: number;
}

/** Age of the base revision: a VM that lost a few datagrams needs no read. */
const MAX_BASE_AGE_MS = 2_000;
/** Limits the size of a datagram: larger ones are lost more often. */
const MAX_RANGES = 160;

/** The last revisions of one service's map. */
export class RangeMapHistory {
  #history: { readonly map: contracts.RangeMap; readonly atMs: number }[] = [];
  /** Computed at the first use after a new map; null when there is none yet. */
  #delta: RangeMapDelta | null = null;

  /** Adds a map that has come into force on this VM. */
  noteMap(map: contracts.RangeMap, nowMs: number): void {
    this.#history.push({ map, atMs: nowMs });
    this.#delta = null;
    // The newest revision older than the base age stays as the base.
    while (
      this.#history.length > 1 &&
      nowMs - this.#history[1]!.atMs > MAX_BASE_AGE_MS
    ) {
      this.#history.shift();
    }
  }

  /**
   * The latest map as a delta; a small initial map whole. With many changes the
   * delta is based on a later revision, which most receivers know. With too many
   * since the last revision it is empty: receivers then read the store.
   */
  latestDelta(): RangeMapDelta | undefined {
    const latest = this.#history.at(-1)?.map;
    if (latest === undefined) return undefined;
    return this.#delta ??= this.#deltaTo(latest);
  }

  #deltaTo(latest: contracts.RangeMap): RangeMapDelta {
    if (latest.revision === 1 && latest.ranges.length <= MAX_RANGES) {
      return { map: latest, baseRevision: 0 };
    }
    for (const { map: base } of this.#history) {
      const ranges = changedRanges(base, latest);
      if (ranges.length > MAX_RANGES) continue;
      return { map: { ...latest, ranges }, baseRevision: base.revision };
    }
    return { map: { ...latest, ranges: [] }, baseRevision: latest.revision };
  }
}
