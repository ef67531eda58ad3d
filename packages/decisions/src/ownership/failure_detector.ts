/**
 * Failure detector for backend servers, based on unanswered lease commands. It
 * treats crashed, frozen and disconnected servers alike, because only a reply
 * counts as a sign of life.
 */
import type * as contracts from "@guavatide/contracts";
import type { OwnershipSettings } from "./settings.ts";

/** A longer gap between two ticks means that this process was paused. */
const PAUSE_THRESHOLD_MS = 400;
/** Time after which a peer's report no longer counts. */
const REPORT_EXPIRY_MS = 1000;

/** Options of {@link FailureDetector.isLost}. */
export interface IsLostOptions {
  readonly nowMs: number;
  /** Other VMs that send lease commands to the server and report failures. */
  readonly otherRenewers: readonly contracts.VmId[];
}

/** `none`: has only just begun to send to the server, or does not report. */
type Vote = "lost" | "there" | "none";

interface PeerReport {
  readonly unansweredMs: ReadonlyMap<contracts.ServerId, number>;
  readonly receivedAtMs: number;
}

/** Detects failed servers of one service. */
export class FailureDetector {
  readonly #detectMs: number;
  readonly #unansweredSinceMs = new Map<contracts.ServerId, number>();
  readonly #lastReplyAtMs = new Map<contracts.ServerId, number>();
  readonly #reports = new Map<contracts.VmId, PeerReport>();
  #lastTickMs: number | undefined;

  constructor(settings: OwnershipSettings) {
    this.#detectMs = settings.detectMs;
  }

  /**
   * Call at least every 100 ms. After a pause of this process all replies are
   * overdue and every server would look lost at once, so the time without a
   * reply restarts now, except for servers that were lost before the pause.
   */
  noteTick(nowMs: number): void {
    const lastMs = this.#lastTickMs ?? nowMs;
    this.#lastTickMs = nowMs;
    if (nowMs - lastMs <= PAUSE_THRESHOLD_MS) return;
    for (const [server, sinceMs] of this.#unansweredSinceMs) {
      const wasLost = lastMs - sinceMs >= this.#detectMs;
      if (!wasLost) this.#unansweredSinceMs.set(server, nowMs);
    }
  }

  /**
   * A command was sent; the time without a reply runs from the first unanswered
   * one.
   */
  noteRequest(server: contracts.ServerId, nowMs: number): void {
    if (this.#unansweredSinceMs.has(server)) return;
    this.#unansweredSinceMs.set(server, nowMs);
  }

  /** The server sent any reply. */
  noteReply(server: contracts.ServerId, nowMs: number): void {
    this.#unansweredSinceMs.delete(server);
    this.#lastReplyAtMs.set(server, nowMs);
  }

  /** Forgets a server that gets no commands any more. */
  forget(server: contracts.ServerId): void {
    this.#unansweredSinceMs.delete(server);
    this.#lastReplyAtMs.delete(server);
  }

  /**
   * A peer reported its unresponsive servers, with the time in milliseconds
   * since the first unanswered command.
   */
  notePeerReport(
    vm: contracts.VmId,
    unansweredMs: ReadonlyMap<contracts.ServerId, number>,
    nowMs: number,
  ): void {
    this.#reports.set(vm, { unansweredMs, receivedAtMs: nowMs });
  }

  /**
   * Servers to report to peers, with the milliseconds since the first
   * unanswered command: those without a reply for half the detection time, and
   * those without a recent reply at all. For peers, a server that is left out
   * is responsive.
   */
  unresponsiveServers(nowMs: number): Map<contracts.ServerId, number> {
    const found = new Map<contracts.ServerId, number>();
    for (const [server, sinceMs] of this.#unansweredSinceMs) {
      const ageMs = nowMs - sinceMs;
      const isLate = ageMs >= this.#detectMs / 2;
      if (isLate || !this.#hasReply(server, nowMs)) found.set(server, ageMs);
    }
    return found;
  }

  /**
   * Whether the server is lost: unresponsive to a majority of the VMs that send
   * it commands. Otherwise one VM that is itself disconnected would take the
   * keys from servers that every other VM reaches. A VM that has only just
   * begun to send has no vote, so that a new leader need not wait for the whole
   * detection time.
   */
  isLost(server: contracts.ServerId, options: IsLostOptions): boolean {
    const { nowMs } = options;
    const own = this.#ownVote(server, nowMs);
    const votes = options.otherRenewers
      .map((vm) => this.#peerVote(vm, server, nowMs));
    const votesCast = [own, ...votes].filter((vote) => vote !== "none");
    const lost = votesCast.filter((vote) => vote === "lost");
    const hasMajority = lost.length * 2 > votesCast.length;
    return hasMajority &&
      (own !== "none" || this.#supportsPeers(server, nowMs));
  }

  /** Whether the server answers this process in time. */
  isResponsive(server: contracts.ServerId, nowMs: number): boolean {
    return this.#ownVote(server, nowMs) === "there";
  }

  #ownVote(server: contracts.ServerId, nowMs: number): Vote {
    if (this.#unansweredMs(server, nowMs) >= this.#detectMs) return "lost";
    return this.#hasReply(server, nowMs) ? "there" : "none";
  }

  /**
   * Whether this process, without a reply so far, has waited long enough to
   * accept its peers' votes.
   */
  #supportsPeers(server: contracts.ServerId, nowMs: number): boolean {
    return this.#unansweredMs(server, nowMs) >= this.#detectMs / 3;
  }

  #hasReply(server: contracts.ServerId, nowMs: number): boolean {
    const atMs = this.#lastReplyAtMs.get(server);
    return atMs !== undefined && nowMs - atMs < 2 * this.#detectMs;
  }

  #unansweredMs(server: contracts.ServerId, nowMs: number): number {
    const sinceMs = this.#unansweredSinceMs.get(server);
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
    const ageMs = report.unansweredMs.get(server);
    if (ageMs === undefined) return "there";
    const totalMs = ageMs + nowMs - report.receivedAtMs;
    return totalMs >= this.#detectMs ? "lost" : "none";
  }
}
