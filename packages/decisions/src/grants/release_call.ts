/** What the mover asks of the old owner of a range. */
import type * as contracts from "@guavatide/contracts";

/** Between a failed release and the next: the server is lost or restarts. */
export const RELEASE_RETRY_MS = 300;

/** A range that its old owner is to release, told of the next owner's fence. */
export interface ReleaseCall {
  readonly range: contracts.RangeState;
  readonly oldOwner: NonNullable<contracts.RangeState["vacating"]>;
  /** The keys are given on already; this one only tells of the new fence. */
  readonly isFencing?: boolean;
}
