/**
 * Computes when the old owner of a range in handover can no longer hold a lease
 * on it. Leases run from the arrival of a grant, so the end of the last grant
 * call of any entry VM counts.
 */
import type * as contracts from "@guavatide/contracts";
import { leaseDurationMs } from "./lease_duration.ts";
import { type GrantTimings, maxLeaseLifetimeMs } from "./grant_timings.ts";
import {
  allVoters,
  grantsOfHandover,
  lastGrantEndOf,
  type VoterReport,
  type VoterReports,
} from "./voter_reports.ts";

/** A release that was sent after the quorum's acknowledgement and answered. */
export interface AnsweredRelease {
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
}

/** What the handover controller knows of one range in handover. */
export interface HandoverFacts {
  readonly map: contracts.RangeMap;
  readonly range: contracts.RangeState;
  readonly reports: VoterReports;
  /**
   * When this VM learned that a majority of each voter set has acknowledged the
   * revision.
   */
  readonly acknowledgedAtMs: number | undefined;
  /**
   * The same for a revision that names the present voter sets; undefined while
   * there is one set, or none such is known. Voters of earlier sets grant
   * nothing on confirmations that were asked for later.
   */
  readonly setsAcknowledgedAtMs?: number | undefined;
  /** The release that the old owner answered. */
  readonly release: AnsweredRelease | undefined;
  readonly timings: GrantTimings;
}

/** Why the old owner of a range can no longer hold a lease on it. */
export type FreeReason =
  /** The next owner is a later run of the old one. */
  | "same-server"
  | "released"
  | "expired";

/** What the end of a voter's leases is known from. */
export type LeaseBasis =
  /** The grants that it reports. */
  | "reported"
  /** The start of its process, which knows no grants from before. */
  | "start"
  /** It has not reported that it knows the handover. */
  | "unreported";

/** The lease that ends last of all that voters may have granted. */
export interface LastLease {
  /** On this VM's clock. */
  readonly endMs: number;
  readonly vm: contracts.VmId;
  readonly basis: LeaseBasis;
}

/** When and why the next owner of a range may be granted it. */
export interface HandoverEnd {
  /** On this VM's clock. */
  readonly atMs: number;
  readonly reason: FreeReason;
  /** The lease that bounds the end; undefined if leases don't matter. */
  readonly lastLease: LastLease | undefined;
}

/**
 * When the next owner may be granted the range, on this VM's clock; undefined
 * while that is not known yet.
 */
export function freeAtMs(facts: HandoverFacts): number | undefined {
  return handoverEnd(facts)?.atMs;
}

/** The same as {@link freeAtMs}, with the reason. */
export function handoverEnd(facts: HandoverFacts): HandoverEnd | undefined {
  const { acknowledgedAtMs, release, range } = facts;
  if (isRestartOf(range.owner, range.vacating!)) {
    return {
      atMs: Number.NEGATIVE_INFINITY,
      reason: "same-server",
      lastLease: undefined,
    };
  }
  if (acknowledgedAtMs === undefined) return undefined;
  const lastLease = lastLeaseOf(facts, acknowledgedAtMs, "any");
  const expiredMs = lastLease?.endMs ?? Number.NEGATIVE_INFINITY;
  const expired = { atMs: expiredMs, reason: "expired", lastLease } as const;
  if (release === undefined || isReleaseVoid(facts)) return expired;
  // A release revokes a grant that was answered before it; an unanswered grant
  // may take effect after it.
  const unanswered = lastLeaseOf(facts, acknowledgedAtMs, "unanswered");
  const releasedMs = Math.max(
    release.answeredAtMs,
    unanswered?.endMs ?? Number.NEGATIVE_INFINITY,
  );
  return releasedMs < expiredMs
    ? { atMs: releasedMs, reason: "released", lastLease: unanswered }
    : expired;
}

/**
 * Whether the next owner is a later run of the old one. Grants that were meant
 * for a run that has ended may still reach a later one at the same address, so
 * its end alone frees its keys for no other server.
 */
export function isRestartOf(
  next: contracts.RangeOwner,
  old: contracts.RangeOwner,
): boolean {
  return next.server === old.server && next.bornMs > old.bornMs;
}

/**
 * Whether an unanswered grant keeps the old owner's lease in force, so that no
 * release can end it before that lease expires.
 */
export function outlastsRelease(facts: HandoverFacts, nowMs: number): boolean {
  const expiryMs = unansweredExpiryMs(facts);
  return expiryMs !== undefined && expiryMs > nowMs;
}

/**
 * When the lease of the last unanswered grant to the old owner expires, on this
 * VM's clock; undefined while no quorum has acknowledged the handover.
 */
export function unansweredExpiryMs(facts: HandoverFacts): number | undefined {
  const { acknowledgedAtMs } = facts;
  if (acknowledgedAtMs === undefined) return undefined;
  return lastLeaseOf(facts, acknowledgedAtMs, "unanswered")?.endMs ??
    Number.NEGATIVE_INFINITY;
}

/**
 * Whether a grant to the old owner may have crossed the release. The owner may
 * then hold the range again and must release it once more.
 */
export function isReleaseVoid(facts: HandoverFacts): boolean {
  const { release, reports, range, map } = facts;
  if (release === undefined) return false;
  const oldOwner = range.vacating!;
  return allVoters(map).some((vm) => {
    const report = reports.reportOf(vm);
    // For an unresponsive voter, the expiry of its leases is awaited instead.
    if (report === undefined || report.revision < oldOwner.revision) {
      return false;
    }
    return lastGrantEndOf(report, oldOwner) >= release.sentAtMs;
  });
}

/** Which leases count: all that were granted, or those without an answer. */
type LeaseKind = "any" | "unanswered";

/** The last lease that any voter granted to the old owner. */
function lastLeaseOf(
  { map, range, reports, timings, setsAcknowledgedAtMs }: HandoverFacts,
  acknowledgedAtMs: number,
  kind: LeaseKind,
): LastLease | undefined {
  const oldOwner = range.vacating!;
  const { confirmationTtlMs, grantTimeoutMs } = timings;
  const leaseMs = leaseDurationMs(map, timings, oldOwner.server);
  const longestLifetimeMs = maxLeaseLifetimeMs(timings, leaseMs);
  // An unresponsive voter may act on its confirmation until that expires, and
  // the bytes of its last call leave within the timeout of the call.
  const sentWithinMs = confirmationTtlMs + grantTimeoutMs;
  const formerAcknowledgedAtMs = Math.min(
    acknowledgedAtMs,
    setsAcknowledgedAtMs ?? acknowledgedAtMs,
  );
  const voters = map.keeperSets.at(-1)!;
  let last: LastLease | undefined;
  const noteLease = (endMs: number, vm: contracts.VmId, basis: LeaseBasis) => {
    if (last === undefined || endMs > last.endMs) last = { endMs, vm, basis };
  };
  for (const vm of allVoters(map)) {
    const report = reports.reportOf(vm);
    const isCurrent = report !== undefined &&
      report.revision >= oldOwner.revision;
    if (!isCurrent) {
      const lastConfirmedMs = voters.includes(vm)
        ? acknowledgedAtMs
        : formerAcknowledgedAtMs;
      const endMs = lastConfirmedMs + sentWithinMs + longestLifetimeMs;
      noteLease(endMs, vm, "unreported");
      continue;
    }
    const options = { oldOwner, longestLifetimeMs, grantTimeoutMs };
    noteLease(reportedLeaseEndMs(report, kind, options), vm, "reported");
    // A restarted process does not know the grants it sent before its start.
    noteLease(report.startedAtMs + longestLifetimeMs, vm, "start");
  }
  return last;
}

/** When the last lease expires that a voter granted in its present run. */
function reportedLeaseEndMs(
  report: VoterReport,
  kind: LeaseKind,
  { oldOwner, longestLifetimeMs, grantTimeoutMs }: {
    readonly oldOwner: NonNullable<contracts.RangeState["vacating"]>;
    readonly longestLifetimeMs: number;
    readonly grantTimeoutMs: number;
  },
): number {
  if (report.handovers !== undefined) {
    const found = grantsOfHandover(report, oldOwner);
    const leaseEndMs = kind === "any"
      ? found?.leaseEndMs
      : found?.unansweredLeaseEndMs;
    return leaseEndMs ?? Number.NEGATIVE_INFINITY;
  }
  const ends = kind === "any" ? report.lastGrantMs : report.lastUnansweredMs;
  const endMs = ends.get(oldOwner.server) ?? Number.NEGATIVE_INFINITY;
  // A call in flight at the report may last for its timeout.
  const isInFlight = endMs >= report.receivedAtMs;
  return longestLifetimeMs + (isInFlight ? endMs + grantTimeoutMs : endMs);
}
