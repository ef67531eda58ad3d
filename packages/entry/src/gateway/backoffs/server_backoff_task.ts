/**
 * Backend servers that ask entry VMs to send them nothing for a time. A VM keeps
 * to what it was asked itself; what peers were asked decides on who renews a
 * server's leases and how many keys it should own.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import type * as grants from "@guavatide/decisions/grants/mod";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import { ThrottledWarning } from "../../utils/throttled_warning.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import {
  type BackoffNews,
  backoffNewsSchema,
  BACKOFFS_METHOD,
} from "../peers/peer_messages.ts";
import { RepeatedBroadcast } from "../peers/repeated_broadcast.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link ServerBackoffTask}. */
export interface ServerBackoffTaskOptions {
  readonly vm: contracts.VmId;
  readonly registry: Pick<ServerRegistry, "onChange" | "bornMsOf">;
  readonly gossip: Pick<PeerGossip, "on" | "broadcast" | "vmCount">;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Calls to servers that have asked for none, by kind. */
  readonly counts: LabelledCounts;
}

/** How a request ended that a server has answered. */
export interface BackoffAnswer {
  /** Whether the server did not run it. */
  readonly isRefusal: boolean;
  /** The peer that relayed it, if one did. */
  readonly via?: contracts.VmId | undefined;
}

/** Calls that keep leases in force, or end them. */
export type ControlCallKind = "grant" | "release";

type CallCounts = Record<ControlCallKind, number>;

/** Interval of the log lines on calls to servers that have asked for none. */
const REPORT_INTERVAL_MS = 1_000;
const REPEAT_NEWS_MS = 200;
/** Smallest part of its capacity that placement counts on at a server. */
const MIN_CAPACITY_RATIO = 0.001;

/** The back-offs of this VM and its peers. */
export class ServerBackoffTask {
  readonly #options: ServerBackoffTaskOptions;
  readonly #own = new admission.ServerBackoffs();
  readonly #all = new admission.PeerBackoffs();
  /** Start of the incarnation that has asked. */
  readonly #bornMs = new Map<contracts.ServerId, number>();
  /** Calls to each such server since the last line on it. */
  readonly #calls = new Map<contracts.ServerId, CallCounts>();
  readonly #malformedLog: ThrottledWarning;
  readonly #listeners: Listeners;
  readonly #news = new RepeatedBroadcast(REPEAT_NEWS_MS);
  #reportTask: PeriodicTask | undefined;

  constructor(options: ServerBackoffTaskOptions) {
    this.#options = options;
    this.#listeners = new Listeners("back-offs", options.log);
    this.#malformedLog = new ThrottledWarning(
      options.log,
      "Ignores a Retry-After that is neither seconds nor a date.",
    );
    options.registry.onChange(() => this.#forgetEndedServers());
    options.gossip.on(
      BACKOFFS_METHOD,
      backoffNewsSchema,
      (news) => this.#applyNews(news),
    );
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#reportTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.#reportCalls(),
      "reports of calls in back-offs",
    );
    this.#news.start(lifeCycle, "news of back-offs");
  }

  /** Registers a listener for servers that ask this VM to back off. */
  onBackoff(listener: () => void): void {
    this.#listeners.add(listener);
  }

  /** Back-offs of this VM. */
  get own(): admission.ServerBackoffs {
    return this.#own;
  }

  /** Time until this VM may send to a server again; 0 when it may. */
  leftMs(server: contracts.ServerId): number {
    return this.#own.leftMs(server, this.#options.clock.nowMs());
  }

  /** Whether this VM may send a server a grant or a release. */
  mayControl(server: contracts.ServerId): boolean {
    return this.#own.controlCallsLeft(server, this.#options.clock.nowMs()) > 0;
  }

  /** Whether calls of this VM still cross the answer in which a server asks. */
  isCrossing(server: contracts.ServerId): boolean {
    return this.#own.isCrossing(server, this.#options.clock.nowMs());
  }

  /** Whether a VM leaves a server alone, as far as is known. */
  isBackingOff(vm: contracts.VmId, server: contracts.ServerId): boolean {
    return this.#all.isBackingOff(server, vm, this.#options.clock.nowMs());
  }

  /** Whether any VM leaves a server alone, as far as is known. */
  isAvoidedByPeers(server: contracts.ServerId): boolean {
    return this.hasAny &&
      this.#all.isAvoided(server, this.#options.clock.nowMs());
  }

  /**
   * Time for which a server that this VM has not asked turns away what any VM
   * sends; 0 while it may be asked.
   */
  refusedForMs(server: contracts.ServerId): number {
    const { gossip, clock } = this.#options;
    if (!this.hasAny || this.#own.has(server)) return 0;
    return this.#all.refusedForMs(server, gossip.vmCount, clock.nowMs());
  }

  /** Whether any VM leaves any server alone. */
  get hasAny(): boolean {
    return this.#all.hasAny;
  }

  /** The longest time that a server asks VMs for; 0 for none. */
  longestDelayMs(server: contracts.ServerId): number {
    return this.#all.longestDelayMs(server, this.#options.clock.nowMs());
  }

  /** Part of a server's capacity on which placement may count. */
  capacityRatio(server: contracts.ServerId): number {
    return this.#refusesAll(server)
      ? MIN_CAPACITY_RATIO
      : Math.max(MIN_CAPACITY_RATIO, this.#servedRatio(server));
  }

  /** What placement has to know of a server; undefined while none backs off. */
  placementOf(server: contracts.ServerId): grants.ServerBackoff | undefined {
    const ratio = this.#servedRatio(server);
    if (ratio === 1) return undefined;
    const maxMoves = this.#own.controlCallsLeft(
      server,
      this.#options.clock.nowMs(),
    );
    return { maxMoves, isTotal: this.#refusesAll(server) };
  }

  #refusesAll(server: contracts.ServerId): boolean {
    const { gossip, clock } = this.#options;
    return this.#all.refusesAll(server, gossip.vmCount, clock.nowMs());
  }

  #servedRatio(server: contracts.ServerId): number {
    const { gossip, clock } = this.#options;
    return this.#all.servedRatio(server, gossip.vmCount, clock.nowMs());
  }

  /** Records an answer; those to grants and releases count as refusals. */
  noteAnswer(
    { server }: Pick<contracts.RegisteredServer, "server">,
    { retryAfter }: contracts.ServerNotices,
    { isRefusal, via }: BackoffAnswer,
  ): void {
    const { vm, registry, clock, log } = this.#options;
    const nowMs = clock.nowMs();
    if (retryAfter === undefined) {
      if (!isRefusal) this.#noteServed(server, nowMs);
      return;
    }
    if (retryAfter.kind === "malformed") {
      return this.#malformedLog.warn(nowMs, { server, text: retryAfter.text });
    }
    const bornMs = registry.bornMsOf(server);
    if (bornMs === undefined) return;
    const { delayMs } = retryAfter;
    this.#bornMs.set(server, bornMs);
    const isNew = this.#own.recordRequest(server, delayMs, nowMs);
    this.#all.record(server, vm, { leftMs: this.leftMs(server), nowMs });
    if (!isNew) return;
    this.#reportTask?.setIntervalMs(REPORT_INTERVAL_MS);
    log.info("Server asks this VM to back off.", { server, delayMs, via });
    this.#news.send(() => this.#tell(server, this.leftMs(server)));
    this.#listeners.notify();
  }

  #noteServed(server: contracts.ServerId, nowMs: number): void {
    this.#own.recordAnswer(server, nowMs);
    const { vm } = this.#options;
    const isNews = this.#all.hasAny &&
      this.#all.isAnswerNews(server, vm, nowMs);
    if (!isNews) return;
    this.#all.recordAnswer(server, vm, nowMs);
    this.#tell(server, null);
  }

  #tell(server: contracts.ServerId, leftMs: number | null): void {
    const { vm, gossip } = this.#options;
    const bornMs = this.#bornMs.get(server);
    if (bornMs === undefined || leftMs === 0) return;
    const news: BackoffNews = { vm, server, bornMs, leftMs };
    gossip.broadcast(BACKOFFS_METHOD, news);
  }

  #applyNews({ vm, server, bornMs, leftMs }: BackoffNews): void {
    const { registry, clock } = this.#options;
    if (registry.bornMsOf(server) !== bornMs) return;
    const nowMs = clock.nowMs();
    if (leftMs === null) return this.#all.recordAnswer(server, vm, nowMs);
    this.#bornMs.set(server, bornMs);
    this.#all.record(server, vm, { leftMs, nowMs });
  }

  /** Counts a call that keeps leases in force or ends them. */
  noteCall(server: contracts.ServerId, kind: ControlCallKind): void {
    if (this.leftMs(server) === 0) return;
    this.#own.recordControl(server, this.#options.clock.nowMs());
    this.#options.counts.add(1, { kind });
    const calls = this.#calls.get(server) ??
      { grant: 0, release: 0 };
    this.#calls.set(server, calls);
    calls[kind]++;
  }

  /** A server that starts again under its id has asked for nothing yet. */
  #forgetEndedServers(): void {
    for (const [server, bornMs] of this.#bornMs) {
      if (this.#options.registry.bornMsOf(server) === bornMs) continue;
      this.#bornMs.delete(server);
      this.#own.forget(server);
      this.#all.forget(server);
    }
  }

  #reportCalls(): void {
    for (const [server, { grant, release }] of this.#calls) {
      this.#options.log.info("Calls to a server that asked for none.", {
        server,
        leftMs: Math.round(this.leftMs(server)),
        grants: grant,
        releases: release,
      });
    }
    this.#calls.clear();
    const isActive = [...this.#own.servers]
      .some((server) => this.leftMs(server) > 0);
    if (!isActive) this.#reportTask?.setIntervalMs(Number.POSITIVE_INFINITY);
  }
}
