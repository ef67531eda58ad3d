/**
 * Limits that backend servers in need name: what this VM and its peers have
 * heard of them, and what this VM sends to such servers.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import {
  REQUEST_LIMITS_METHOD,
  requestLimitNewsSchema,
  type RequestLimitTuple,
} from "../peers/peer_messages.ts";
import { RepeatedBroadcast } from "../peers/repeated_broadcast.ts";
import type { RequestRecord } from "../forwarding/request_log.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link RequestLimitTask}. */
export interface RequestLimitTaskOptions {
  readonly registry: Pick<ServerRegistry, "onChange" | "bornMsOf">;
  readonly gossip: Pick<PeerGossip, "on" | "broadcast">;
  readonly clock: contracts.BoundedClock;
  readonly log: Logger;
  /** Calls to limited servers by kind. */
  readonly counts: LabelledCounts;
}

/** Kinds of calls that reach a server. */
export type ServerCallKind = "request" | "grant" | "release";

type CallCounts = Record<ServerCallKind, number>;

/** Interval of the log lines on calls to limited servers. */
const REPORT_INTERVAL_MS = 1_000;
/**
 * News is told again after this time, and a limit that changes all the time not
 * more often.
 */
const REPEAT_NEWS_MS = 200;
/** Peers are told again that a limit holds when nobody has for this long. */
const CONFIRM_INTERVAL_MS = 1_000;
/**
 * Ranges may go to a server again when no answer has confirmed its limit for
 * this long: without ranges it gets no request that could lift it.
 */
const CAPACITY_TTL_MS = 10_000;
/** Capacity of a server that takes no requests; a divisor, so not zero. */
const MIN_CAPACITY_PER_SECOND = 0.05;

/** The limits that this VM knows. */
export class RequestLimitTask {
  readonly #options: RequestLimitTaskOptions;
  readonly #limits = new admission.RequestLimits();
  /** Calls to each limited server since the last line on it. */
  readonly #calls = new Map<contracts.ServerId, CallCounts>();
  readonly #malformedLog: ThrottledWarning;
  readonly #listeners: Listeners;
  /** Start of the incarnation that has named each limit. */
  readonly #bornMs = new Map<contracts.ServerId, number>();
  /** When any VM last told the others of a server's limit. */
  readonly #toldAtMs = new Map<contracts.ServerId, number>();
  readonly #news = new RepeatedBroadcast(REPEAT_NEWS_MS);
  #reportTask: PeriodicTask | undefined;

  constructor(options: RequestLimitTaskOptions) {
    this.#options = options;
    this.#listeners = new Listeners("changes of request limits", options.log);
    this.#malformedLog = new ThrottledWarning(
      options.log,
      "Ignored a malformed request limit.",
    );
    options.registry.onChange(() => this.#forgetEndedServers());
    options.gossip.on(
      REQUEST_LIMITS_METHOD,
      requestLimitNewsSchema,
      ({ limits }) => this.applyNews(limits),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#reportTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.#reportCalls(),
      "reports of limited calls",
    );
    this.#news.start(lifeCycle, "news of request limits");
  }

  /** Registers a listener for limits that are imposed or lifted. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Whether any limit is in force. */
  get hasAny(): boolean {
    return this.#limits.hasAny;
  }

  /** The server's limit in force; undefined for none. */
  limitOf(server: contracts.ServerId): number | undefined {
    return this.#limits.limitOf(server);
  }

  /** The same with the age of the answer that last confirmed it. */
  recordOf(server: contracts.ServerId): RequestRecord["limit"] {
    const { requestsPerSecond, observedAtMs } =
      this.#limits.observationOf(server) ?? {};
    if (requestsPerSecond === undefined) return undefined;
    const ageMs = this.#options.clock.nowMs() - observedAtMs!;
    return { server, requestsPerSecond, ageMs };
  }

  /** Requests a second on which placement may count; infinite for no limit. */
  capacityOf(server: contracts.ServerId): number {
    const limit = this.recordOf(server);
    return limit !== undefined && limit.ageMs < CAPACITY_TTL_MS
      ? Math.max(MIN_CAPACITY_PER_SECOND, limit.requestsPerSecond)
      : Number.POSITIVE_INFINITY;
  }

  /** What this VM knows of the limits of some servers; undefined for nothing. */
  newsOf(
    servers: Iterable<contracts.ServerId>,
  ): RequestLimitTuple[] | undefined {
    const news: RequestLimitTuple[] = [];
    for (const server of servers) {
      const known = this.#limits.observationOf(server);
      if (known === undefined) continue;
      const { requestsPerSecond = null } = known;
      const ageMs = Math.max(0, Math.round(this.#reportedAgeMs(known)));
      news.push([server, requestsPerSecond, ageMs]);
    }
    return news.length > 0 ? news : undefined;
  }

  /**
   * The longest age that the lack of a limit may have, and the shortest of a
   * limit: a limit is lifted only by what has surely been observed later.
   */
  #reportedAgeMs(
    { requestsPerSecond, observedAtMs }: admission.LimitObservation,
  ): number {
    const { clock } = this.#options;
    return requestsPerSecond === undefined
      ? clock.maxElapsedMs(observedAtMs)
      : clock.nowMs() - observedAtMs;
  }

  /** Takes over what a peer knows. */
  applyNews(news: readonly RequestLimitTuple[]): void {
    const { registry, clock } = this.#options;
    const nowMs = clock.nowMs();
    for (const [server, requestsPerSecond, ageMs] of news) {
      if (registry.bornMsOf(server) === undefined) continue;
      this.#toldAtMs.set(server, nowMs);
      const change = this.#limits.recordPeerReport(server, {
        requestsPerSecond: requestsPerSecond ?? undefined,
        observedAtMs: requestsPerSecond === null
          ? nowMs - ageMs
          : clock.latestTimeMs(ageMs),
      });
      this.#follow(server, change);
    }
  }

  /**
   * Records what an answer says of its server's limit. `tookMs` is the time
   * since its request was sent.
   */
  noteAnswer(
    server: contracts.ServerId,
    report: contracts.RequestLimitReport | undefined,
    { tookMs, isRefusal = false }: {
      readonly tookMs: number;
      readonly isRefusal?: boolean;
    },
  ): void {
    if (report === undefined && !this.hasAny) return;
    const { registry, clock } = this.#options;
    if (registry.bornMsOf(server) === undefined) return;
    const nowMs = clock.nowMs();
    let requestsPerSecond: number | undefined;
    if (report?.kind === "malformed") {
      this.#malformedLog.warn(nowMs, { server, text: report.text });
      // Text that is no rate still says that the server has a limit.
      requestsPerSecond = this.limitOf(server);
      if (requestsPerSecond === undefined) return;
    } else requestsPerSecond = report?.requestsPerSecond;
    const change = this.#limits.recordAnswer(server, {
      requestsPerSecond,
      isRefusal,
      sentAtMs: nowMs - tookMs,
      nowMs,
    });
    this.#tellPeers(server, change, nowMs);
    this.#follow(server, change);
  }

  #tellPeers(
    server: contracts.ServerId,
    change: admission.RequestLimitChange,
    nowMs: number,
  ): void {
    if (change === "none") return;
    const toldAtMs = this.#toldAtMs.get(server) ?? Number.NEGATIVE_INFINITY;
    if (change === "imposed" || change === "lifted") {
      return this.#news.send(() => this.#broadcast(server));
    }
    const intervalMs = change === "changed"
      ? REPEAT_NEWS_MS
      : CONFIRM_INTERVAL_MS;
    if (nowMs - toldAtMs >= intervalMs) this.#broadcast(server);
  }

  #broadcast(server: contracts.ServerId): void {
    const limits = this.newsOf([server]);
    if (limits === undefined) return;
    this.#toldAtMs.set(server, this.#options.clock.nowMs());
    this.#options.gossip.broadcast(REQUEST_LIMITS_METHOD, { limits });
  }

  /** A server that starts again under its id has named nothing yet. */
  #forgetEndedServers(): void {
    let hasChanged = false;
    for (const server of [...this.#limits.servers]) {
      const bornMs = this.#options.registry.bornMsOf(server);
      if (bornMs === this.#bornMs.get(server)) continue;
      hasChanged ||= this.#limits.limitOf(server) !== undefined;
      this.#limits.forget(server);
      this.#bornMs.delete(server);
      this.#toldAtMs.delete(server);
    }
    if (hasChanged) this.#listeners.notify();
  }

  /** Counts a call that this VM sends. */
  noteCall(server: contracts.ServerId, kind: ServerCallKind): void {
    if (this.#limits.limitOf(server) === undefined) return;
    this.#options.counts.add(1, { kind });
    const calls = this.#calls.get(server);
    if (calls !== undefined) calls[kind]++;
    else {
      this.#calls.set(server, {
        ...{ request: 0, grant: 0, release: 0 },
        [kind]: 1,
      });
    }
  }

  #follow(
    server: contracts.ServerId,
    change: admission.RequestLimitChange,
  ): void {
    const { log, registry } = this.#options;
    if (change === "lifted") {
      log.info("Server no longer limits its requests.", { server });
    } else if (change === "imposed") {
      this.#bornMs.set(server, registry.bornMsOf(server)!);
      this.#reportTask?.setIntervalMs(REPORT_INTERVAL_MS);
      log.info("Server limits its requests.", {
        server,
        ...this.#limitFields(server),
      });
    } else return;
    this.#listeners.notify();
  }

  #limitFields(server: contracts.ServerId) {
    const limit = this.recordOf(server);
    return {
      requestsPerSecond: limit?.requestsPerSecond,
      limitAgeMs: limit && Math.round(limit.ageMs),
    };
  }

  #reportCalls(): void {
    for (const [server, { request, grant, release }] of this.#calls) {
      this.#options.log.info("Calls to a limited server.", {
        server,
        ...this.#limitFields(server),
        requests: request,
        grants: grant,
        releases: release,
      });
    }
    this.#calls.clear();
    if (!this.hasAny) this.#reportTask?.setIntervalMs(Number.POSITIVE_INFINITY);
  }
}
