/**
 * Tracks which voters have acknowledged which revision. Once a quorum has, no
 * majority of voters can confirm an older revision.
 */
import type * as contracts from "@guavatide/contracts";
import { NEVER_MS, quorumSize } from "./assignment_tracker.ts";

/** A VM's report of the revision that it knows. */
export interface RevisionAck {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  readonly revision: number;
  /**
   * Send time of the request that this answers; absent for an unsolicited
   * report.
   */
  readonly requestedAtMs?: number;
  readonly nowMs: number;
}

interface AckState {
  readonly incarnation: contracts.Incarnation;
  readonly revision: number;
  /** When this incarnation first reported this revision. */
  readonly firstAckAtMs: number;
  /** Send time of the latest request that this incarnation answered. */
  readonly lastRequestedAtMs: number;
}

type VoterSets = readonly (readonly contracts.Voter[])[];

/**
 * Acknowledgements that one controller has seen for one service.
 *
 * A voter that restarts forgets its acknowledgement, and its next incarnation
 * may learn the current revision from peers that have not acknowledged the
 * newer one yet. So there must be a moment at which a quorum had acknowledged,
 * and each member of it must, in the same incarnation, have answered a request
 * sent after that moment. An incarnation that starts later learns of the
 * revision from the others.
 */
export class RevisionAckTracker {
  readonly #acks = new Map<contracts.VmId, AckState>();
  #removedVms: ReadonlySet<contracts.VmId> = new Set();

  /** A VM reported the revision that it knows. */
  noteAck(ack: RevisionAck): void {
    const { vm, incarnation, revision, nowMs } = ack;
    const last = this.#acks.get(vm);
    const isSameIncarnation = last?.incarnation === incarnation;
    const lastRequestedAtMs = Math.max(
      ack.requestedAtMs ?? NEVER_MS,
      isSameIncarnation ? last.lastRequestedAtMs : NEVER_MS,
    );
    const isNotNewer = isSameIncarnation && revision <= last.revision;
    const firstAckAtMs = isNotNewer ? last.firstAckAtMs : nowMs;
    const highest = isNotNewer ? last.revision : revision;
    this.#acks.set(vm, {
      incarnation,
      revision: highest,
      firstAckAtMs,
      lastRequestedAtMs,
    });
  }

  /**
   * Sets the VMs that count as removed for good, because the platform's list
   * has not contained them for a long time: they cannot confirm anything any
   * more.
   */
  noteRemovedVms(vms: ReadonlySet<contracts.VmId>): void {
    this.#removedVms = vms;
  }

  /** Forgets VMs that are in none of the sets. */
  keepOnly(voterSets: VoterSets): void {
    const voters = new Set(voterSets.flat().map(({ vm }) => vm));
    for (const vm of this.#acks.keys()) {
      if (!voters.has(vm)) this.#acks.delete(vm);
    }
  }

  /**
   * Whether a quorum of every set has acknowledged `revision` or a newer one.
   */
  hasQuorum(voterSets: VoterSets, revision: number): boolean {
    const moments = [...this.#acks.values()].map(({ firstAckAtMs }) =>
      firstAckAtMs
    );
    return moments.some((momentMs) =>
      this.#isQuorum(
        voterSets,
        (vm) => this.isAckedAt(vm, revision, momentMs),
      )
    );
  }

  /**
   * Whether a quorum has reported the revision, though not all of it has
   * answered a request sent since: polling now may complete the quorum.
   */
  mayReachQuorum(voterSets: VoterSets, revision: number): boolean {
    return this.#isQuorum(voterSets, (vm) => {
      const ack = this.#acks.get(vm);
      return ack !== undefined && ack.revision >= revision;
    });
  }

  /**
   * Whether a VM had acknowledged the revision by a moment and still knew it
   * later.
   */
  protected isAckedAt(
    vm: contracts.VmId,
    revision: number,
    momentMs: number,
  ): boolean {
    const ack = this.#acks.get(vm);
    return ack !== undefined && ack.revision >= revision &&
      ack.firstAckAtMs <= momentMs && ack.lastRequestedAtMs >= momentMs;
  }

  #isQuorum(
    voterSets: VoterSets,
    hasAcked: (vm: contracts.VmId) => boolean,
  ): boolean {
    return voterSets.every((set) => {
      const acked = set.filter(({ vm }) =>
        this.#removedVms.has(vm) || hasAcked(vm)
      );
      return acked.length >= quorumSize(set.length);
    });
  }
}
