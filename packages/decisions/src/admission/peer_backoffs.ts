/** Which entry VMs backend servers have asked to back off, as peers tell it. */
import type * as contracts from "@guavatide/contracts";

/** What VMs have told of one server. */
interface ServerNews {
  /** Until when each VM leaves it alone, and for how long it was asked. */
  readonly backoffs: Map<
    contracts.VmId,
    { readonly untilMs: number; readonly delayMs: number }
  >;
  /** When any VM last told that the server has answered it. */
  answeredAtMs: number;
}

/**
 * A VM that has told nothing of a server for this long after its back-off has
 * had no request for it.
 */
const SILENT_TTL_MS = 3_000;
/** VMs tell answers of a server that others leave alone at this interval. */
const ANSWER_INTERVAL_MS = 1_000;
/** Without any told answer for this long, a server answers nobody. */
const ANSWER_TTL_MS = 1_200;
/** Refusals at fewer VMs may be chance. */
const MIN_VMS_REFUSED = 3;

/** Back-offs of all VMs, this one included. */
export class PeerBackoffs {
  readonly #servers = new Map<contracts.ServerId, ServerNews>();

  /** Records a VM's back-off. */
  record(
    server: contracts.ServerId,
    vm: contracts.VmId,
    { leftMs, nowMs }: { readonly leftMs: number; readonly nowMs: number },
  ): void {
    const news = this.#servers.get(server) ??
      { backoffs: new Map(), answeredAtMs: Number.NEGATIVE_INFINITY };
    this.#servers.set(server, news);
    news.backoffs.set(vm, { untilMs: nowMs + leftMs, delayMs: leftMs });
  }

  /** A server that some VM leaves alone has answered a VM. */
  recordAnswer(
    server: contracts.ServerId,
    vm: contracts.VmId,
    nowMs: number,
  ): void {
    const news = this.#servers.get(server);
    if (news === undefined) return;
    news.answeredAtMs = nowMs;
    if (!this.isBackingOff(server, vm, nowMs)) news.backoffs.delete(vm);
  }

  /** Whether an answer of the server is news to the other VMs. */
  isAnswerNews(
    server: contracts.ServerId,
    vm: contracts.VmId,
    nowMs: number,
  ): boolean {
    const news = this.#pruned(server, nowMs);
    return news !== undefined && (news.backoffs.has(vm) ||
      nowMs - news.answeredAtMs >= ANSWER_INTERVAL_MS);
  }

  /** Whether a VM leaves a server alone now. */
  isBackingOff(
    server: contracts.ServerId,
    vm: contracts.VmId,
    nowMs: number,
  ): boolean {
    const backoff = this.#servers.get(server)?.backoffs.get(vm);
    return backoff !== undefined && nowMs < backoff.untilMs;
  }

  /** Whether any VM leaves a server alone now. */
  isAvoided(server: contracts.ServerId, nowMs: number): boolean {
    const backoffs = this.#servers.get(server)?.backoffs.values() ?? [];
    for (const { untilMs } of backoffs) if (nowMs < untilMs) return true;
    return false;
  }

  /**
   * Fraction of the VMs that the server takes requests of, as far as is known:
   * one whose back-off is over counts from its first answer on.
   */
  servedRatio(
    server: contracts.ServerId,
    vmCount: number,
    nowMs: number,
  ): number {
    const count = this.#pruned(server, nowMs)?.backoffs.size ?? 0;
    return Math.max(0, 1 - count / Math.max(1, vmCount));
  }

  /** Whether the server turns away what it gets from any VM. */
  refusesAll(
    server: contracts.ServerId,
    vmCount: number,
    nowMs: number,
  ): boolean {
    const news = this.#pruned(server, nowMs);
    return news !== undefined &&
      news.backoffs.size >= Math.min(MIN_VMS_REFUSED, vmCount) &&
      nowMs - news.answeredAtMs >= ANSWER_TTL_MS;
  }

  /**
   * Time until the first VM may try a server again that refuses all; 0 for any
   * other server.
   */
  refusedForMs(
    server: contracts.ServerId,
    vmCount: number,
    nowMs: number,
  ): number {
    if (!this.refusesAll(server, vmCount, nowMs)) return 0;
    const backoffs = this.#servers.get(server)!.backoffs.values();
    const endsMs = [...backoffs].map(({ untilMs }) => untilMs);
    return Math.max(0, Math.min(...endsMs) - nowMs);
  }

  /** The longest time that the server has asked of a VM; 0 for none. */
  longestDelayMs(server: contracts.ServerId, nowMs: number): number {
    const backoffs = this.#pruned(server, nowMs)?.backoffs.values() ?? [];
    return Math.max(0, ...[...backoffs].map(({ delayMs }) => delayMs));
  }

  /** Whether any VM has told a back-off. */
  get hasAny(): boolean {
    return this.#servers.size > 0;
  }

  /** Forgets a server that has ended. */
  forget(server: contracts.ServerId): void {
    this.#servers.delete(server);
  }

  /** What is known of a server, without what is too old. */
  #pruned(
    server: contracts.ServerId,
    nowMs: number,
  ): ServerNews | undefined {
    const news = this.#servers.get(server);
    if (news === undefined) return undefined;
    for (const [vm, { untilMs }] of news.backoffs) {
      if (nowMs - untilMs >= SILENT_TTL_MS) news.backoffs.delete(vm);
    }
    if (news.backoffs.size > 0) return news;
    this.#servers.delete(server);
    return undefined;
  }
}
