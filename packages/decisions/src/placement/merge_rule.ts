/**
 * Merges adjacent cold slices of one owner, so that the number of slices stays
 * limited while hot spots come and go.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { WorkingSet, WorkingSlice } from "./working_set.ts";

/** Options of {@link mergeColdSlices}. */
export interface MergeOptions {
  /** See {@link PlacementSettings}. */
  readonly mergeShare: number;
  readonly maxMerges: number;
  readonly minSlices: number;
  /** Slices of at most this many hashes move to the owner of a neighbour. */
  readonly narrowWidth: number;
}

/** Merges slices in hash order and returns the changes. */
export function mergeColdSlices(
  set: WorkingSet,
  options: MergeOptions,
): ChangeRequest[] {
  const changes: ChangeRequest[] = [];
  for (let i = 1; i < set.slices.length; i++) {
    const first = set.slices[i - 1]!;
    const second = set.slices[i]!;
    if (changes.length >= options.maxMerges) break;
    if (set.sliceCount <= options.minSlices) break;
    if (!mayMerge(set, [first, second], options)) continue;
    const change = first.server === second.server
      ? merge(set, first, second)
      : moveToNeighbour(set, [first, second], options);
    if (change !== undefined) changes.push(change);
  }
  return changes;
}

function mayMerge(
  set: WorkingSet,
  [first, second]: readonly [WorkingSlice, WorkingSlice],
  { mergeShare, minSlices }: MergeOptions,
): boolean {
  if (first.isCoolingDown || second.isCoolingDown) return false;
  if (first.state !== "owned" || second.state !== "owned") return false;
  const isLive = first.server.state === "live" &&
    second.server.state === "live";
  const weight = set.relativeWeight(first) + set.relativeWeight(second);
  // Wider slices would be too coarse to balance load again.
  const isNarrowEnough = first.keyShare + second.keyShare <= 1 / minSlices;
  return isLive && isNarrowEnough && weight < mergeShare;
}

function merge(
  set: WorkingSet,
  first: WorkingSlice,
  second: WorkingSlice,
): ChangeRequest {
  const joined: WorkingSlice = {
    ...first,
    toHash: second.toHash,
    weight: first.weight + second.weight,
    keyShare: first.keyShare + second.keyShare,
    isCoolingDown: true,
  };
  set.replace([first, second], [joined]);
  first.isCoolingDown = true;
  second.isCoolingDown = true;
  return {
    kind: "merge",
    slice: contracts.sliceIdOf(first),
    withSlice: contracts.sliceIdOf(second),
    reason: "both are cold",
  };
}

/**
 * Moves a narrow slice to the owner of its neighbour. A key that was split off
 * while hot is between slices of another owner and could never be merged;
 * moving it back costs only one key.
 */
function moveToNeighbour(
  set: WorkingSet,
  [first, second]: readonly [WorkingSlice, WorkingSlice],
  { narrowWidth }: MergeOptions,
): ChangeRequest | undefined {
  const isNarrow = (slice: WorkingSlice) =>
    slice.toHash - slice.fromHash <= narrowWidth;
  if (!isNarrow(first) && !isNarrow(second)) return undefined;
  const [moving, staying] = isNarrow(second)
    ? [second, first]
    : [first, second];
  set.move(moving, staying.server);
  return {
    kind: "move",
    slice: contracts.sliceIdOf(moving),
    toServer: staying.server.id,
    reason: "cold, back to the owner of its neighbour",
  };
}
