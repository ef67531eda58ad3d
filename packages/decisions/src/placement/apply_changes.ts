/** Foresees an assignment once all changes of a plan are through. */
import * as contracts from "@guavatide/contracts";
import type { ChangeRequest } from "../ownership/assignment_changes.ts";

/**
 * The slices after the changes, in order of `fromHash`, as if every move were
 * over. A change that does not fit is passed over. `slices` stays as it is.
 */
export function applyChanges(
  slices: readonly contracts.Slice[],
  changes: readonly ChangeRequest[],
): contracts.Slice[] {
  const byStart = new Map(slices.map((slice) => [slice.fromHash, slice]));
  for (const change of changes) {
    const slice = byStart.get(Number.parseInt(change.slice, 16));
    if (slice === undefined) continue;
    if (contracts.sliceIdOf(slice) !== change.slice) continue;
    applyChange(byStart, slice, change);
  }
  return [...byStart.values()].sort((a, b) => a.fromHash - b.fromHash);
}

function applyChange(
  byStart: Map<number, contracts.Slice>,
  slice: contracts.Slice,
  change: ChangeRequest,
): void {
  if (change.kind === "move") {
    byStart.set(slice.fromHash, {
      ...slice,
      server: change.toServer,
      state: "owned",
      from: [],
    });
    return;
  }
  if (change.kind === "split") {
    byStart.set(slice.fromHash, { ...slice, toHash: change.atHash });
    byStart.set(change.atHash, { ...slice, fromHash: change.atHash });
    return;
  }
  const next = byStart.get(slice.toHash);
  if (next === undefined || next.server !== slice.server) return;
  byStart.delete(next.fromHash);
  byStart.set(slice.fromHash, { ...slice, toHash: next.toHash });
}
