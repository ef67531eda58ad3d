/**
 * Tracks the requests that entry VMs have in flight at servers which do not
 * check fences. A handover from such a server has to take the right to forward
 * from the entry VMs.
 */
import type * as contracts from "@guavatide/contracts";

/** One entry VM's report of its requests in flight. */
export interface UnfencedRequestReport {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  /** Assignment revision that the VM forwards by. */
  readonly revision: number;
  /** Servers that do not check fences and run requests of this VM. */
  readonly busyServers: readonly contracts.ServerId[];
  readonly nowMs: number;
}

interface VmState {
  readonly report: UnfencedRequestReport;
  readonly firstSeenMs: number;
}

/** Latest reports of all entry VMs about one service. */
export class UnfencedRequestTracker {
  readonly #restartGraceMs: number;
  readonly #reports = new Map<contracts.VmId, VmState>();

  /**
   * `restartGraceMs` is the time from the first report of a VM's incarnation
   * until its reports count: requests of the earlier incarnation may still run,
   * and nobody can report them.
   */
  constructor(restartGraceMs: number) {
    this.#restartGraceMs = restartGraceMs;
  }

  /** Stores a VM's latest report. */
  noteReport(report: UnfencedRequestReport): void {
    const last = this.#reports.get(report.vm);
    const isSameIncarnation = last?.report.incarnation === report.incarnation;
    const firstSeenMs = isSameIncarnation ? last!.firstSeenMs : report.nowMs;
    this.#reports.set(report.vm, { report, firstSeenMs });
  }

  /** Drops VMs that are no longer members. */
  keepOnly(vms: readonly contracts.VmId[]): void {
    const kept = new Set(vms);
    for (const vm of this.#reports.keys()) {
      if (!kept.has(vm)) this.#reports.delete(vm);
    }
  }

  /**
   * Whether all VMs act on `revision` or a newer one and none has a request in
   * flight at the server.
   */
  isDrained(
    server: contracts.ServerId,
    revision: number,
    query: { readonly vms: Iterable<contracts.VmId>; readonly nowMs: number },
  ): boolean {
    for (const vm of query.vms) {
      const state = this.#reports.get(vm);
      if (state === undefined) return false;
      if (query.nowMs < state.firstSeenMs + this.#restartGraceMs) return false;
      if (state.report.revision < revision) return false;
      if (state.report.busyServers.includes(server)) return false;
    }
    return true;
  }
}
