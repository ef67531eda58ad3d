/** What the mover tells all entry VMs of the range map. */
import type * as contracts from "@guavatide/contracts";
import { changedRanges } from "./range_difference.ts";

/** A map as differences from an earlier revision. */
export interface RangeMapDelta {
  /** The map with only those ranges that differ. */
  readonly map: contracts.RangeMap;
  /** Whoever knows this revision or a later one can work out the map. */
  readonly baseRevision: number;
}

/** Differences go back so far: after a few lost datagrams no read is needed. */
const MAX_BASE_AGE_MS = 2_000;
/** Bounds the size of a datagram: larger ones are lost more often. */
const MAX_RANGES = 90;

/** The last maps of one service, to tell their differences. */
export class RangeMapHistory {
  #history: { readonly map: contracts.RangeMap; readonly atMs: number }[] = [];

  /** A map came in force here. */
  noteMap(map: contracts.RangeMap, nowMs: number): void {
    this.#history.push({ map, atMs: nowMs });
    // One that is older than the base age stays as the base.
    while (
      this.#history.length > 1 &&
      nowMs - this.#history[1]!.atMs > MAX_BASE_AGE_MS
    ) {
      this.#history.shift();
    }
  }

  /** The latest map as differences; the whole of a small first one. */
  latestDelta(): RangeMapDelta | undefined {
    const latest = this.#history.at(-1)?.map;
    if (latest === undefined) return undefined;
    if (latest.revision === 1 && latest.ranges.length <= MAX_RANGES) {
      return { map: latest, baseRevision: 0 };
    }
    const base = this.#history[0]!.map;
    const ranges = changedRanges(base, latest);
    return ranges.length <= MAX_RANGES
      ? { map: { ...latest, ranges }, baseRevision: base.revision }
      : { map: { ...latest, ranges: [] }, baseRevision: latest.revision };
  }
}
