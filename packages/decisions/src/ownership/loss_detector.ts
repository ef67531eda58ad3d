/**
 * Tells from unanswered orders whether a server is lost. It holds alike for
 * killed, frozen and cut servers, because only an answer counts as life.
 */
import type * as contracts from "@guavatide/contracts";
import type { OwnershipSettings } from "./settings.ts";

/** A gap between two ticks that shows that this process itself was paused. */
const OWN_PAUSE_MS = 400;
/** A peer's report counts for so long. */
const REPORT_MS = 1000;

/** Options of {@link LossDetector.isLost}. */
export interface IsLostOptions {
  readonly nowMs: number;
  /** Other VMs that send orders to the server and would report silence. */
  readonly otherRenewers: readonly contracts.VmId[];
}

interface PeerReport {
  readonly silent: ReadonlyMap<contracts.ServerId, number>;
  readonly atMs: number;
}

/** Judges the servers of one service. */
export class LossDetector {
  readonly #detectMs: number;
  readonly #silentSinceMs = new Map<contracts.ServerId, number>();
  readonly #reports = new Map<contracts.VmId, PeerReport>();
  #lastTickMs: number | undefined;

  constructor(settings: OwnershipSettings) {
    this.#detectMs = settings.detectMs;
  }

  /**
   * Call at least every 100 ms. After a pause of this process all replies are
   * overdue, and every server would look lost at once; so silence is counted
   * anew from here.
   */
  noteTick(nowMs: number): void {
    const lastMs = this.#lastTickMs ?? nowMs;
    this.#lastTickMs = nowMs;
    if (nowMs - lastMs <= OWN_PAUSE_MS) return;
    for (const server of this.#silentSinceMs.keys()) {
      this.#silentSinceMs.set(server, nowMs);
    }
  }

  /** An order left; silence counts from the first one without an answer. */
  noteAttempt(server: contracts.ServerId, nowMs: number): void {
    if (this.#silentSinceMs.has(server)) return;
    this.#silentSinceMs.set(server, nowMs);
  }

  /** The server answered anything at all. */
  noteContact(server: contracts.ServerId): void {
    this.#silentSinceMs.delete(server);
  }

  /** Forgets a server to which no orders are sent any more. */
  forget(server: contracts.ServerId): void {
    this.#silentSinceMs.delete(server);
  }

  /** A peer's list of servers that do not answer it. */
  notePeerReport(
    vm: contracts.VmId,
    silent: ReadonlyMap<contracts.ServerId, number>,
    nowMs: number,
  ): void {
    this.#reports.set(vm, { silent, atMs: nowMs });
  }

  /** Servers silent for at least half the detection time, to tell peers. */
  silentServers(nowMs: number): Map<contracts.ServerId, number> {
    const silent = new Map<contracts.ServerId, number>();
    for (const [server, sinceMs] of this.#silentSinceMs) {
      const silentMs = nowMs - sinceMs;
      if (silentMs >= this.#detectMs / 2) silent.set(server, silentMs);
    }
    return silent;
  }

  /**
   * Whether the server is lost: silent towards most of those that send it
   * orders. One VM that is cut off itself would otherwise take the keys from
   * servers which everyone else reaches.
   */
  isLost(server: contracts.ServerId, options: IsLostOptions): boolean {
    const votes = [this.#ownSilenceMs(server, options.nowMs)];
    for (const vm of options.otherRenewers) {
      const silentMs = this.#peerSilenceMs(vm, server, options.nowMs);
      if (silentMs !== undefined) votes.push(silentMs);
    }
    const lost = votes.filter((silentMs) => silentMs >= this.#detectMs);
    return lost.length * 2 > votes.length;
  }

  #ownSilenceMs(server: contracts.ServerId, nowMs: number): number {
    const sinceMs = this.#silentSinceMs.get(server);
    return sinceMs === undefined ? 0 : nowMs - sinceMs;
  }

  /** Undefined when the peer has not reported lately and so has no vote. */
  #peerSilenceMs(
    vm: contracts.VmId,
    server: contracts.ServerId,
    nowMs: number,
  ): number | undefined {
    const report = this.#reports.get(vm);
    if (report === undefined || nowMs - report.atMs > REPORT_MS) {
      return undefined;
    }
    const silentMs = report.silent.get(server);
    return silentMs === undefined ? 0 : silentMs + nowMs - report.atMs;
  }
}
