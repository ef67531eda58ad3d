/**
 * Merges cold neighbours of one owner, so that the number of slices stays
 * bounded while hot spots come and go.
 */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";
import type { WorkingSet, WorkingSlice } from "./working_set.ts";

/** Options of {@link mergeColdSlices}. */
export interface MergeOptions {
  readonly mergeShare: number;
  readonly maxMerges: number;
  readonly minSlices: number;
  /** Narrower slices are brought back to a neighbour's owner. */
  readonly narrowWidth: number;
}

/** Merges in order of hashes; returns the changes. */
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
  const together = set.relativeWeight(first) + set.relativeWeight(second);
  // Slices that grew wide would be too coarse to spread keys again.
  const isFine = first.keyShare + second.keyShare <= 1 / minSlices;
  return isLive && isFine && together < mergeShare;
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
 * A key that was cut out while hot lies between slices of another owner and
 * could never merge. Moving it back costs one key.
 */
function moveToNeighbour(
  set: WorkingSet,
  [first, second]: readonly [WorkingSlice, WorkingSlice],
  { narrowWidth: narrowHashes }: MergeOptions,
): ChangeRequest | undefined {
  const isNarrow = (slice: WorkingSlice) =>
    slice.toHash - slice.fromHash <= narrowHashes;
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
