/**
 * Splits hot slices, down to one hash, so that their load can be spread. A
 * split moves nothing by itself.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { WorkingSet, WorkingSlice } from "./working_set.ts";

/** A key and its part of the service's load. */
export interface KeyWeight {
  readonly hash: number;
  readonly weight: number;
}

/** Options of {@link splitHotSlices}. */
export interface SplitOptions {
  readonly splitShare: number;
  readonly maxSplits: number;
  readonly maxSlices: number;
  /** Hottest first. */
  readonly keys: readonly KeyWeight[];
}

/** Splits the hottest slices first; returns the changes. */
export function splitHotSlices(
  set: WorkingSet,
  options: SplitOptions,
): ChangeRequest[] {
  const changes: ChangeRequest[] = [];
  const hot = set.slices
    .filter((slice) => isHot(set, slice, options))
    .sort((a, b) => a.weight - b.weight);
  const keys = sortByHash(options.keys);
  while (hot.length > 0 && changes.length < options.maxSplits) {
    if (set.sliceCount >= options.maxSlices) break;
    const slice = hot.pop()!;
    const parts = splitSlice(slice, keysIn(keys, slice));
    set.replace([slice], parts);
    changes.push({
      kind: "split",
      slice: contracts.sliceIdOf(slice),
      atHash: parts[1].fromHash,
      reason: `hot: ${percent(set.relativeWeight(slice))} of a server`,
    });
    for (const part of parts) {
      if (isHot(set, part, options)) insertByWeight(hot, part);
    }
  }
  return changes;
}

function isHot(
  set: WorkingSet,
  slice: WorkingSlice,
  { splitShare }: SplitOptions,
): boolean {
  if (slice.state !== "owned" || slice.server.state !== "live") return false;
  if (slice.toHash - slice.fromHash < 2) return false;
  return set.relativeWeight(slice) > splitShare;
}

/**
 * Cuts beside a key that carries half of the slice or more, otherwise where
 * the load on both sides is about even.
 */
function splitSlice(
  slice: WorkingSlice,
  keys: readonly KeyWeight[],
): [WorkingSlice, WorkingSlice] {
  const at = splitPointOf(slice, keys);
  const rest = unnamedWeight(slice, keys);
  const leftShare = (at - slice.fromHash) / (slice.toHash - slice.fromHash);
  const leftKeys = keys
    .filter(({ hash }) => hash < at)
    .reduce((sum, key) => sum + key.weight, 0);
  const leftWeight = Math.min(slice.weight, leftKeys + rest * leftShare);
  const left = {
    ...slice,
    toHash: at,
    weight: leftWeight,
    keyShare: slice.keyShare * leftShare,
  };
  const right = {
    ...slice,
    fromHash: at,
    weight: slice.weight - leftWeight,
    keyShare: slice.keyShare * (1 - leftShare),
  };
  return [left, right];
}

function splitPointOf(slice: WorkingSlice, keys: readonly KeyWeight[]): number {
  const heavy = keys.find(({ weight }) => weight >= slice.weight / 2);
  if (heavy === undefined) return evenSplitPoint(slice, keys);
  return heavy.hash > slice.fromHash ? heavy.hash : heavy.hash + 1;
}

function evenSplitPoint(
  slice: WorkingSlice,
  keys: readonly KeyWeight[],
): number {
  const width = slice.toHash - slice.fromHash;
  const density = unnamedWeight(slice, keys) / width;
  let sum = 0;
  let from = slice.fromHash;
  for (const { hash, weight } of keys) {
    const before = sum + (hash - from) * density;
    if (before >= slice.weight / 2) break;
    sum = before + weight;
    from = hash;
    if (sum >= slice.weight / 2) return clampSplitPoint(slice, hash + 1);
  }
  const missing = slice.weight / 2 - sum;
  const cut = density > 0
    ? from + missing / density
    : slice.fromHash + width / 2;
  return clampSplitPoint(slice, Math.round(cut));
}

function clampSplitPoint(slice: WorkingSlice, cut: number): number {
  return Math.min(slice.toHash - 1, Math.max(slice.fromHash + 1, cut));
}

/** Weight of the slice that no named key carries. */
function unnamedWeight(
  slice: WorkingSlice,
  keys: readonly KeyWeight[],
): number {
  const named = keys.reduce((sum, key) => sum + key.weight, 0);
  return Math.max(0, slice.weight - named);
}

function sortByHash(keys: readonly KeyWeight[]): KeyWeight[] {
  return [...keys].sort((a, b) => a.hash - b.hash);
}

function keysIn(
  sorted: readonly KeyWeight[],
  { fromHash, toHash }: WorkingSlice,
): KeyWeight[] {
  return sorted.filter(({ hash }) => fromHash <= hash && hash < toHash);
}

function insertByWeight(hot: WorkingSlice[], slice: WorkingSlice): void {
  let index = hot.length;
  while (index > 0 && hot[index - 1]!.weight > slice.weight) index--;
  hot.splice(index, 0, slice);
}

/** A share as text for reasons. */
export function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
