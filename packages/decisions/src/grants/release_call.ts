/** The call that asks the old owner of a range to release it. */
import type * as contracts from "@guavatide/contracts";

/** Delay before a failed release is retried: the server is lost or restarts. */
export const RELEASE_RETRY_MS = 300;
/** The same where another process has the address, until leases have expired. */
export const MISDIRECTED_RELEASE_RETRY_MS = 1_000;

/** How a release failed; `misdirected` if another process has the address. */
export type FailedRelease = "failed" | "misdirected";

/**
 * A release of a range by its old owner, or by the run that has replaced it; it
 * carries the next owner's fence.
 */
export interface ReleaseCall {
  readonly range: contracts.RangeState;
  readonly oldOwner: NonNullable<contracts.RangeState["vacating"]>;
  /**
   * Whether the keys have already been granted to the next owner, so that the
   * call only passes the new fencing token to the old one.
   */
  readonly isFencing?: boolean;
}
