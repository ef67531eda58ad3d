/**
 * Tracks what the voters of a range map reported. Renewals need confirmation
 * that the map is still current; handovers need a quorum that has acknowledged
 * the newer map.
 */
import type * as contracts from "@guavatide/contracts";

/** Grant calls of one voter that concern the ranges of one handover. */
export interface HandoverGrants {
  /** Old owner of the ranges. */
  readonly server: contracts.ServerId;
  /** Revision that took the ranges from it. */
  readonly revision: number;
  /** Like {@link VoterReport.lastGrantMs}. */
  readonly lastGrantMs: number;
  /** When the last lease that the voter granted expires at the latest. */
  readonly leaseEndMs: number;
  /** The same for grant calls that were not answered; undefined for none. */
  readonly unansweredLeaseEndMs: number | undefined;
}

/** A voter's reply to a status request, for the map of one service. */
export interface VoterReport {
  readonly vm: contracts.VmId;
  /** Highest revision that the voter knows; 0 for none. */
  readonly revision: number;
  /** Whether its process has read the map from the store since it started. */
  readonly hasReadMap: boolean;
  /** When the request that this answers was sent, on this VM's clock. */
  readonly requestedAtMs: number;
  readonly receivedAtMs: number;
  /** Latest possible start of its process, on this VM's clock. */
  readonly startedAtMs: number;
  /**
   * Latest possible end of its last grant call to each server, on this VM's
   * clock; `receivedAtMs` while a call is in flight.
   */
  readonly lastGrantMs: ReadonlyMap<contracts.ServerId, number>;
  /** The same for grant calls that were not answered. */
  readonly lastUnansweredMs: ReadonlyMap<contracts.ServerId, number>;
  /**
   * The same by handover, since a grant of one range keeps no lease on another
   * in force, and with the leases that were granted, which may be shorter than
   * the longest that the map allows. Undefined for a VM of a version that does
   * not tell handovers apart.
   */
  readonly handovers?: readonly HandoverGrants[] | undefined;
}

/** Identifies the ranges that one revision took from a server. */
type HandoverName = Pick<HandoverGrants, "server" | "revision">;

type HandoverIndex = ReadonlyMap<
  contracts.ServerId,
  ReadonlyMap<number, HandoverGrants>
>;

/** By list of handovers: a leader looks each of its ranges up, many times. */
const handoverIndexes = new WeakMap<readonly HandoverGrants[], HandoverIndex>();

function indexOf(handovers: readonly HandoverGrants[]): HandoverIndex {
  const known = handoverIndexes.get(handovers);
  if (known !== undefined) return known;
  const index = new Map<contracts.ServerId, Map<number, HandoverGrants>>();
  for (const handover of handovers) {
    const { server, revision } = handover;
    const byRevision = index.get(server) ?? new Map<number, HandoverGrants>();
    index.set(server, byRevision);
    if (!byRevision.has(revision)) byRevision.set(revision, handover);
  }
  handoverIndexes.set(handovers, index);
  return index;
}

/** A voter's grants of the ranges of one handover; undefined for none. */
export function grantsOfHandover(
  { handovers }: VoterReport,
  { server, revision }: HandoverName,
): HandoverGrants | undefined {
  return handovers && indexOf(handovers).get(server)?.get(revision);
}

const voterLists = new WeakMap<
  contracts.RangeMap["keeperSets"],
  readonly contracts.VmId[]
>();

/** The voters of all sets of a map, each once. */
export function allVoters(
  { keeperSets }: Pick<contracts.RangeMap, "keeperSets">,
): readonly contracts.VmId[] {
  const known = voterLists.get(keeperSets);
  if (known !== undefined) return known;
  const voters = [...new Set(keeperSets.flat())];
  voterLists.set(keeperSets, voters);
  return voters;
}

/**
 * Latest possible end of a voter's last grant call that concerns the ranges of
 * one handover; negative infinity for none.
 */
export function lastGrantEndOf(
  report: VoterReport,
  handover: HandoverName,
): number {
  const endMs = report.handovers === undefined
    ? report.lastGrantMs.get(handover.server)
    : grantsOfHandover(report, handover)?.lastGrantMs;
  return endMs ?? Number.NEGATIVE_INFINITY;
}

/** The latest reports of all voters of one service's map. */
export class VoterReports {
  readonly #reports = new Map<contracts.VmId, VoterReport>();
  #readRevision = 0;
  #readSentAtMs = Number.NEGATIVE_INFINITY;

  /** Notes a voter's report; this VM's own state is noted the same way. */
  noteReport(report: VoterReport): void {
    this.#reports.set(report.vm, report);
  }

  /**
   * Notes the revision that the store returned to a read sent at `sentAtMs`.
   */
  noteRead(revision: number, sentAtMs: number): void {
    if (revision < this.#readRevision) return;
    this.#readRevision = revision;
    this.#readSentAtMs = sentAtMs;
  }

  /** The latest report of a voter. */
  reportOf(vm: contracts.VmId): VoterReport | undefined {
    return this.#reports.get(vm);
  }

  /** Drops all confirmations, for example after the process was paused. */
  clearConfirmations(): void {
    this.#reports.clear();
    this.#readSentAtMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * The latest time at which the map is confirmed to have been current, by a
   * read of the store or by a majority of its voters that know no newer
   * revision. A restarted voter may have forgotten a newer one, so it counts
   * only after its first read. Negative infinity without confirmation.
   */
  confirmedAtMs(map: contracts.RangeMap): number {
    const readMs = this.#readRevision === map.revision
      ? this.#readSentAtMs
      : Number.NEGATIVE_INFINITY;
    const voters = map.keeperSets.at(-1)!;
    const timesMs: number[] = [];
    for (const vm of voters) {
      const report = this.#reports.get(vm);
      if (report === undefined || !report.hasReadMap) continue;
      if (report.revision <= map.revision) timesMs.push(report.requestedAtMs);
    }
    timesMs.sort((a, b) => b - a);
    const majority = Math.floor(voters.length / 2) + 1;
    const quorumMs = timesMs[majority - 1] ?? Number.NEGATIVE_INFINITY;
    return Math.max(readMs, quorumMs);
  }

  /**
   * Whether a majority of every voter set knows the revision. Voters that are
   * removed for good count as knowing it: a map that lost its majority could
   * never change otherwise.
   */
  isAcknowledged(
    map: Pick<contracts.RangeMap, "keeperSets">,
    revision: number,
    removed: ReadonlySet<contracts.VmId>,
  ): boolean {
    return map.keeperSets.every((voters) => {
      const acknowledged = voters.filter((vm) =>
        removed.has(vm) || (this.#reports.get(vm)?.revision ?? 0) >= revision
      );
      return acknowledged.length > voters.length / 2;
    });
  }
}
