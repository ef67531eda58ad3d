/**
 * Requests that entry VMs have under way at servers which do not check
 * fences. For those, the right to forward is what a move takes away.
 */
import type * as contracts from "@guavatide/contracts";

/** What one entry VM tells of its requests in flight. */
export interface UnfencedRequestReport {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  /** Revision that the VM forwards by. */
  readonly revision: number;
  /** Servers that do not check fences and have its requests in flight. */
  readonly busyServers: readonly contracts.ServerId[];
  readonly nowMs: number;
}

interface VmState {
  readonly report: UnfencedRequestReport;
  readonly firstSeenMs: number;
}

/** Reports of all entry VMs about one service. */
export class UnfencedRequestTracker {
  readonly #settleMs: number;
  readonly #vms = new Map<contracts.VmId, VmState>();

  /**
   * A run of a VM counts `settleMs` after it was first seen: requests of the
   * run before may still be under way, and nobody can report them.
   */
  constructor(settleMs: number) {
    this.#settleMs = settleMs;
  }

  /** Keeps a VM's latest report. */
  noteReport(report: UnfencedRequestReport): void {
    const last = this.#vms.get(report.vm);
    const isSameRun = last?.report.incarnation === report.incarnation;
    const sinceMs = isSameRun ? last!.firstSeenMs : report.nowMs;
    this.#vms.set(report.vm, { report, firstSeenMs: sinceMs });
  }

  /** Forgets VMs that are no longer members. */
  keepOnly(vms: readonly contracts.VmId[]): void {
    const kept = new Set(vms);
    for (const vm of this.#vms.keys()) {
      if (!kept.has(vm)) this.#vms.delete(vm);
    }
  }

  /** Whether none of the VMs has a request in flight at the server. */
  isDrained(
    server: contracts.ServerId,
    revision: number,
    asked: { readonly vms: Iterable<contracts.VmId>; readonly nowMs: number },
  ): boolean {
    for (const vm of asked.vms) {
      const state = this.#vms.get(vm);
      if (state === undefined) return false;
      if (asked.nowMs < state.firstSeenMs + this.#settleMs) return false;
      if (state.report.revision < revision) return false;
      if (state.report.busyServers.includes(server)) return false;
    }
    return true;
  }
}
