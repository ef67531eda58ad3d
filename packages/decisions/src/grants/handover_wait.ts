/**
 * Whether the last owner of a vacating range can still hold it: grants run from
 * their arrival, so the end of the last grant call of any entry VM counts.
 */
import type * as contracts from "@guavatide/contracts";
import { leaseDurationMs } from "./lease_duration.ts";
import { type GrantTimings, maxLeaseLifetimeMs } from "./grant_timings.ts";
import type { VoterReport, VoterReports } from "./voter_reports.ts";

/** A release that left after the promise and was answered. */
export interface AnsweredRelease {
  readonly sentAtMs: number;
  readonly answeredAtMs: number;
}

/** What the mover knows of one vacating range. */
export interface HandoverFacts {
  readonly map: contracts.RangeMap;
  readonly range: contracts.RangeState;
  readonly reports: VoterReports;
  /** When a majority of each keeper set was known to know the revision. */
  readonly acknowledgedAtMs: number | undefined;
  /** The release that the old owner answered. */
  readonly release: AnsweredRelease | undefined;
  /** Whether the old owner's run is known to have ended. */
  readonly hasEnded: boolean;
  readonly timings: GrantTimings;
}

/**
 * When the range is free, on the mover's clock; undefined while that is not
 * known yet.
 */
export function freeAtMs(facts: HandoverFacts): number | undefined {
  const { acknowledgedAtMs: promisedAtMs, release, hasEnded } = facts;
  if (hasEnded) return Number.NEGATIVE_INFINITY;
  if (promisedAtMs === undefined) return undefined;
  const waitedOutMs = lastGrantEndMs(facts, promisedAtMs, "lastGrantMs");
  if (release === undefined || isReleaseVoid(facts)) return waitedOutMs;
  // A release undoes a grant that was answered before; one that was not
  // answered may take effect after it.
  const releasedMs = lastGrantEndMs(facts, promisedAtMs, "lastUnansweredMs");
  return Math.min(waitedOutMs, Math.max(release.answeredAtMs, releasedMs));
}

/**
 * Whether a grant to the old owner may have crossed the release: the owner then
 * holds the range again and must release it anew.
 */
export function isReleaseVoid(facts: HandoverFacts): boolean {
  const { release, reports: keepers, range, map } = facts;
  if (release === undefined) return false;
  const { server, revision } = range.vacating!;
  return [...new Set(map.keeperSets.flat())].some((vm) => {
    const word = keepers.reportOf(vm);
    // A keeper that is not heard is waited out instead.
    if (word === undefined || word.revision < revision) return false;
    const endMs = word.lastGrantMs.get(server) ?? Number.NEGATIVE_INFINITY;
    return endMs >= release.sentAtMs;
  });
}

/** When the last grant that any keeper sent to the old owner is over. */
function lastGrantEndMs(
  { map, range, reports: keepers, timings }: HandoverFacts,
  promisedAtMs: number,
  kind: "lastGrantMs" | "lastUnansweredMs",
): number {
  const { server, revision } = range.vacating!;
  const { confirmationTtlMs: evidenceMs, grantTimeoutMs: orderTimeoutMs } =
    timings;
  // A keeper that is not heard may act on its evidence until that is too old,
  // and the bytes of its last call leave within the time of the call.
  const unheardMs = promisedAtMs + evidenceMs + orderTimeoutMs;
  let lastMs = Number.NEGATIVE_INFINITY;
  for (const vm of new Set(map.keeperSets.flat())) {
    const word = keepers.reportOf(vm);
    const isHeard = word !== undefined && word.revision >= revision;
    // What an earlier run of its process sent is not known to this one.
    const sentMs = isHeard
      ? Math.max(lastSentMs(word, kind, { server, timings }), word.startedAtMs)
      : unheardMs;
    lastMs = Math.max(lastMs, sentMs);
  }
  return lastMs + maxLeaseLifetimeMs(timings, leaseDurationMs(map, timings));
}

/** A grant that was under way when the keeper was heard leaves by its end. */
function lastSentMs(
  word: VoterReport,
  kind: "lastGrantMs" | "lastUnansweredMs",
  { server, timings }: {
    readonly server: contracts.ServerId;
    readonly timings: GrantTimings;
  },
): number {
  const endMs = word[kind].get(server) ?? Number.NEGATIVE_INFINITY;
  const isUnderWay = endMs >= word.receivedAtMs;
  return isUnderWay ? endMs + timings.grantTimeoutMs : endMs;
}
