/**
 * Tells from unanswered orders whether a server is lost. It holds alike for
 * killed, frozen and cut servers, because only an answer counts as life.
 */
import type * as contracts from "@guavatide/contracts";
import type { OwnershipSettings } from "./settings.ts";

/** A gap between two ticks that shows that this process itself was paused. */
const PAUSE_THRESHOLD_MS = 400;
/** A peer's report counts for so long. */
const REPORT_EXPIRY_MS = 1000;

/** Options of {@link FailureDetector.isLost}. */
export interface IsLostOptions {
  readonly nowMs: number;
  /** Other VMs that send orders to the server and would report silence. */
  readonly otherRenewers: readonly contracts.VmId[];
}

/** `none`: has only just begun to ask, or does not report. */
type Vote = "lost" | "there" | "none";

interface PeerReport {
  readonly silenceMs: ReadonlyMap<contracts.ServerId, number>;
  readonly receivedAtMs: number;
}

/** Judges the servers of one service. */
export class FailureDetector {
  readonly #detectMs: number;
  readonly #silentSinceMs = new Map<contracts.ServerId, number>();
  readonly #contactAtMs = new Map<contracts.ServerId, number>();
  readonly #reports = new Map<contracts.VmId, PeerReport>();
  #lastTickMs: number | undefined;

  constructor(settings: OwnershipSettings) {
    this.#detectMs = settings.detectMs;
  }

  /**
   * Call at least every 100 ms. After a pause of this process all replies are
   * overdue, and every server would look lost at once; so silence is counted
   * anew from here, but for servers that were lost before.
   */
  noteTick(nowMs: number): void {
    const lastMs = this.#lastTickMs ?? nowMs;
    this.#lastTickMs = nowMs;
    if (nowMs - lastMs <= PAUSE_THRESHOLD_MS) return;
    for (const [server, sinceMs] of this.#silentSinceMs) {
      const wasLost = lastMs - sinceMs >= this.#detectMs;
      if (!wasLost) this.#silentSinceMs.set(server, nowMs);
    }
  }

  /** An order left; silence counts from the first one without an answer. */
  noteRequest(server: contracts.ServerId, nowMs: number): void {
    if (this.#silentSinceMs.has(server)) return;
    this.#silentSinceMs.set(server, nowMs);
  }

  /** The server answered anything at all. */
  noteReply(server: contracts.ServerId, nowMs: number): void {
    this.#silentSinceMs.delete(server);
    this.#contactAtMs.set(server, nowMs);
  }

  /** Forgets a server to which no orders are sent any more. */
  forget(server: contracts.ServerId): void {
    this.#silentSinceMs.delete(server);
    this.#contactAtMs.delete(server);
  }

  /** A peer's list of servers that do not answer it. */
  notePeerReport(
    vm: contracts.VmId,
    silent: ReadonlyMap<contracts.ServerId, number>,
    nowMs: number,
  ): void {
    this.#reports.set(vm, { silenceMs: silent, receivedAtMs: nowMs });
  }

  /**
   * Servers to tell peers of: silent for half the detection time, or not
   * heard of at all yet. A server that is not told counts as answering.
   */
  unresponsiveServers(nowMs: number): Map<contracts.ServerId, number> {
    const silent = new Map<contracts.ServerId, number>();
    for (const [server, sinceMs] of this.#silentSinceMs) {
      const silentMs = nowMs - sinceMs;
      const isLong = silentMs >= this.#detectMs / 2;
      if (isLong || !this.#isHeard(server, nowMs)) silent.set(server, silentMs);
    }
    return silent;
  }

  /**
   * Whether the server is lost: silent towards most of those that send it
   * orders. One VM that is cut off itself would otherwise take the keys from
   * servers which everyone else reaches. Who has only just begun to ask has
   * no vote, so that a new holder of duty need not start from nothing.
   */
  isLost(server: contracts.ServerId, options: IsLostOptions): boolean {
    const { nowMs } = options;
    const own = this.#ownVote(server, nowMs);
    const votes = options.otherRenewers
      .map((vm) => this.#peerVote(vm, server, nowMs));
    const cast = [own, ...votes].filter((vote) => vote !== "none");
    const lost = cast.filter((vote) => vote === "lost");
    const hasMajority = lost.length * 2 > cast.length;
    return hasMajority && (own !== "none" || this.#isAgreeing(server, nowMs));
  }

  /** Whether this process has an answer that is not overdue. */
  isResponsive(server: contracts.ServerId, nowMs: number): boolean {
    return this.#ownVote(server, nowMs) === "there";
  }

  #ownVote(server: contracts.ServerId, nowMs: number): Vote {
    if (this.#silenceMs(server, nowMs) >= this.#detectMs) return "lost";
    return this.#isHeard(server, nowMs) ? "there" : "none";
  }

  /** Not heard yet, but left without an answer long enough to believe it. */
  #isAgreeing(server: contracts.ServerId, nowMs: number): boolean {
    return this.#silenceMs(server, nowMs) >= this.#detectMs / 3;
  }

  #isHeard(server: contracts.ServerId, nowMs: number): boolean {
    const atMs = this.#contactAtMs.get(server);
    return atMs !== undefined && nowMs - atMs < 2 * this.#detectMs;
  }

  #silenceMs(server: contracts.ServerId, nowMs: number): number {
    const sinceMs = this.#silentSinceMs.get(server);
    return sinceMs === undefined ? 0 : nowMs - sinceMs;
  }

  #peerVote(
    vm: contracts.VmId,
    server: contracts.ServerId,
    nowMs: number,
  ): Vote {
    const report = this.#reports.get(vm);
    if (
      report === undefined || nowMs - report.receivedAtMs > REPORT_EXPIRY_MS
    ) return "none";
    const silentMs = report.silenceMs.get(server);
    if (silentMs === undefined) return "there";
    const sinceMs = silentMs + nowMs - report.receivedAtMs;
    return sinceMs >= this.#detectMs ? "lost" : "none";
  }
}
