/**
 * Sends requests to backend servers over this VM's own connections, or over a
 * peer that reaches the server when this VM doesn't.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServerReach } from "@guavatide/decisions/admission/mod";
import * as paths from "@guavatide/decisions/paths/mod";
import type {
  ConnectionPool,
  SendOptions,
} from "../../links/connection_pool.ts";
import type { ConnectionPools } from "../../links/connection_pools.ts";
import { probeConnection } from "../../links/connection_probe.ts";
import type {
  AttemptRequest,
  AttemptResult,
} from "../../links/server_connection.ts";
import type { CheckedServer } from "../../poison/server_end_check.ts";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import type { PeerHello } from "../peers/peer_messages.ts";
import type { PathResult, PathSendOptions } from "./path_attempt.ts";
import type { OwnReach, PeerReach } from "./peer_reach.ts";
import type { RelayClient } from "./relay_client.ts";
import type { DeclineReason } from "./relay_messages.ts";
import type {
  BackoffAnswer,
  ServerBackoffTask,
} from "../backoffs/server_backoff_task.ts";
import { ServerContactLog } from "../backoffs/server_contact_log.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link ServerPaths}. */
export interface ServerPathsOptions {
  readonly host: string;
  readonly zone: contracts.ZoneId;
  readonly registry: Pick<
    ServerRegistry,
    "ids" | "find" | "mayReceive" | "onChange"
  >;
  readonly connections: Pick<ConnectionPools, "pool" | "hasOpenConnection">;
  readonly connectionLimitOf: (service: contracts.ServiceId) => number;
  readonly gossip: Pick<PeerGossip, "live" | "roleWeights">;
  readonly reach: PeerReach;
  readonly relays: Pick<RelayClient, "attempt" | "check">;
  readonly backoffs: Pick<ServerBackoffTask, "leftMs">;
  /** Called with what a server's answer says beside it. */
  readonly onNotices: (
    entry: contracts.RegisteredServer,
    notices: contracts.ServerNotices,
    answer: BackoffAnswer,
  ) => void;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
}

/** Interval of the looks at requests under way and at lost paths. */
const REVIEW_INTERVAL_MS = 50;
/** A server's host replies within a round trip. */
const PROBE_TIMEOUT_MS = 150;
/** A proxy or firewall that accepts for the server may reset right after. */
const PROBE_STAY_MS = 25;
const MAX_PROBES = 8;
/** Peers that one attempt is offered to. */
const MAX_PEERS_ASKED = 3;

/** Reasons to decline that say nothing about other servers. */
const SERVER_REASONS: ReadonlySet<DeclineReason> = new Set([
  "unreached",
  "unknown-server",
  "poisonous",
]);

/** The server has asked this VM to back off. */
const HELD_BACK: AttemptResult = {
  kind: "not-sent",
  isLocal: true,
  isHeldBack: true,
  message: "The server has asked this VM to back off",
};

/** The server drains or was removed, and its grace has ended. */
const SERVER_GONE: AttemptResult = {
  kind: "not-sent",
  isLocal: true,
  isServerGone: true,
  message: "The server may get no more requests",
};

/** All ways from this VM to servers. */
export class ServerPaths {
  readonly #options: ServerPathsOptions;
  readonly #tracker: paths.PathTracker;
  readonly #selector: paths.RelaySelector;
  readonly #contactLog: ServerContactLog;
  readonly #listeners: Listeners<[server: contracts.ServerId]>;
  #lifeCycle: LifeCycle | undefined;
  #reviewTask: PeriodicTask | undefined;

  constructor(options: ServerPathsOptions) {
    this.#options = options;
    this.#listeners = new Listeners("lost paths", options.log);
    this.#contactLog = new ServerContactLog(options.log);
    this.#tracker = new paths.PathTracker({
      servers: () => options.registry.ids(),
      random: options.random,
      onChange: (change) => this.#handleChange(change),
    });
    this.#selector = new paths.RelaySelector({
      zone: options.zone,
      random: options.random,
      reaches: (vm, server) => options.reach.reaches(vm, server),
      weightOf: (vm) => options.gossip.roleWeights.get(vm) ?? 1,
    });
    options.registry.onChange(() =>
      this.#tracker.keepOnly(options.registry.ids())
    );
  }

  /** Starts the periodic work, which rests while there is nothing to look at. */
  start(lifeCycle: LifeCycle): void {
    this.#lifeCycle = lifeCycle;
    this.#reviewTask = lifeCycle.every(
      Number.POSITIVE_INFINITY,
      () => this.#review(),
      "review of paths",
    );
  }

  /** Registers a listener for servers whose path was lost. */
  onLost(listener: (server: contracts.ServerId) => void): void {
    this.#listeners.add(listener);
  }

  /** What this VM doesn't reach itself. */
  get ownReach(): OwnReach {
    return this.#tracker;
  }

  /** Sends a request the best way that works. */
  async send(
    entry: contracts.RegisteredServer,
    request: AttemptRequest,
    options: PathSendOptions,
  ): Promise<PathResult> {
    const { clock, backoffs, registry } = this.#options;
    if (!registry.mayReceive(entry)) return SERVER_GONE;
    if (backoffs.leftMs(entry.server) > 0) return HELD_BACK;
    const startMs = clock.nowMs();
    if (!this.#maySendDirect(entry, options)) {
      const relayed = await this.#sendByPeer(entry, request, options);
      const isDirectLeft = relayed.kind === "not-sent" && relayed.hasNoPath &&
        this.#tracker.useOf(entry.server) === "any";
      if (!isDirectLeft) return relayed;
    }
    const result = await this.sendDirect(entry, request, options);
    // Not one byte has left, so another way is no second attempt.
    const isOtherWayOpen = result.kind === "not-sent" && !result.isLocal &&
      !options.signal.aborted && request.maySend();
    if (!isOtherWayOpen) return result;
    const relayed = await this.#sendByPeer(entry, request, {
      ...options,
      timeoutMs: options.timeoutMs - (clock.nowMs() - startMs),
    });
    return relayed.kind === "not-sent" ? result : relayed;
  }

  #maySendDirect(
    entry: contracts.RegisteredServer,
    { isIdempotent }: PathSendOptions,
  ): boolean {
    const use = this.#tracker.useOf(entry.server);
    const nowMs = this.#options.clock.nowMs();
    if (use === "any") {
      if (!isIdempotent) return true;
      return !this.#tracker.takeDoubt(entry.server, nowMs) &&
        !this.#tracker.isSilentEverywhere(nowMs);
    }
    if (use === "open-only") return this.#pool(entry).hasIdleConnection;
    return this.#tracker.mayTry(entry.server, { isIdempotent, nowMs });
  }

  /** Sends a request over this VM's own connections, whatever is known of them. */
  async sendDirect(
    entry: contracts.RegisteredServer,
    request: AttemptRequest,
    options: Omit<PathSendOptions, "request" | "priority">,
  ): Promise<AttemptResult> {
    const { server } = entry;
    const { clock, backoffs, registry } = this.#options;
    let abandon: ((message: string) => void) | undefined;
    let isAbandoned = false;
    let withheld: AttemptResult | undefined;
    const maySend = () => {
      if (!registry.mayReceive(entry)) withheld = SERVER_GONE;
      else if (backoffs.leftMs(server) > 0) withheld = HELD_BACK;
      return withheld === undefined && request.maySend();
    };
    const attempt: paths.OpenAttempt = {
      startedMs: clock.nowMs(),
      expectedMs: options.expectedMs,
      isIdempotent: options.isIdempotent,
      onPathLost: (isCertain) => {
        if (isAbandoned || !options.onPathLost(isCertain)) return;
        isAbandoned = true;
        abandon?.("The path to the server was lost");
      },
    };
    this.#tracker.start(server, attempt);
    this.#reviewTask?.setIntervalMs(REVIEW_INTERVAL_MS);
    const result = await this.#sendByPool(entry, { ...request, maySend }, {
      timeoutMs: options.timeoutMs,
      signal: options.signal,
      onStarted: (giveUp) => abandon = giveUp,
    });
    this.#tracker.end(server, attempt);
    if (withheld !== undefined) return withheld;
    this.#noteNotices(entry, result);
    if (isAbandoned && result.kind === "unknown") {
      return { ...result, isPathLost: true };
    }
    if (!options.signal.aborted) this.#noteEnd(entry, result);
    return result;
  }

  /**
   * Sends a request over a connection of the pool. Never rejects: an attempt
   * that doesn't end would count as in flight for good.
   */
  async #sendByPool(
    entry: contracts.RegisteredServer,
    request: AttemptRequest,
    options: SendOptions,
  ): Promise<AttemptResult> {
    try {
      return await this.#pool(entry).send(request, options);
    } catch (error) {
      const { server } = entry;
      const message = String(error);
      this.#options.log.error("Sending a request failed.", { server, message });
      return {
        kind: "unknown",
        reason: "connection-lost",
        message,
        isPathLost: true,
      };
    }
  }

  #noteNotices(
    entry: contracts.RegisteredServer,
    result: AttemptResult,
    via?: contracts.VmId,
  ): void {
    if (result.kind !== "answer" && result.kind !== "refusal") return;
    const isRefusal = result.kind === "refusal";
    this.#options.onNotices(entry, result, { isRefusal, via });
  }

  #noteEnd(entry: contracts.RegisteredServer, result: AttemptResult): void {
    const { server } = entry;
    const nowMs = this.#options.clock.nowMs();
    this.#contactLog.note(server, result, nowMs);
    switch (result.kind) {
      case "answer":
      case "refusal":
        return this.#tracker.noteHeard(server, nowMs);
      case "not-sent":
        if (!result.isLocal) this.#tracker.noteConnectFailure(server, nowMs);
        return;
      case "unknown":
        if (!result.isSilent) return this.#tracker.noteHeard(server, nowMs);
        if (result.reason === "connection-lost") this.noteFailure(server);
    }
  }

  /** A call to the server was answered. */
  noteHeard(server: contracts.ServerId): void {
    this.#tracker.noteHeard(server, this.#options.clock.nowMs());
  }

  /** A call to the server failed without a byte of an answer. */
  noteFailure(server: contracts.ServerId): void {
    const nowMs = this.#options.clock.nowMs();
    this.#tracker.noteLoss(server, nowMs);
    if (this.#options.connections.hasOpenConnection(server)) return;
    if (this.#tracker.takeCheck(server, nowMs)) this.#check([server]);
  }

  /** Looks at a server for a peer. */
  async observe(entry: CheckedServer): Promise<paths.PathObservation> {
    const isAccepting = await this.#connect(entry) === "accepted";
    const nowMs = this.#options.clock.nowMs();
    return {
      isAccepting,
      heardAgoMs: this.#tracker.heardAgoMs(entry.server, nowMs),
    };
  }

  /** Whether this VM's own connections to a server can be relied on. */
  reaches(server: contracts.ServerId): boolean {
    const nowMs = this.#options.clock.nowMs();
    return this.#tracker.maySendForPeers(server, nowMs);
  }

  /** Whether requests get to a server over this VM or a peer. */
  reachOf(server: contracts.ServerId): ServerReach {
    const use = this.#tracker.useOf(server);
    const { reach } = this.#options;
    const isReached = use === "any" || use === "open-only" ||
      this.#peers().some(({ vm }) => reach.reaches(vm, server));
    if (isReached) return "reached";
    return use === "trial" ? "trial" : "unreached";
  }

  /** Whether a peer reaches the server; undefined when none could tell. */
  async isReachedByPeer(entry: CheckedServer): Promise<boolean | undefined> {
    const answers = await Promise.all(
      this.#choosePeers(entry.server, MAX_PEERS_ASKED)
        .map((peer) => this.#options.relays.check(peer, [entry])),
    );
    const observed = answers.flat();
    if (observed.length === 0) return undefined;
    return observed.some(({ isAccepting }) => isAccepting);
  }

  #pool(entry: contracts.RegisteredServer): ConnectionPool {
    const { connections, connectionLimitOf } = this.#options;
    return connections.pool(entry, connectionLimitOf(entry.service));
  }

  /** Peers to ask, without those that stop. */
  #peers(): PeerHello[] {
    return this.#options.gossip.live.filter(({ isLeaving }) => !isLeaving);
  }

  async #sendByPeer(
    entry: contracts.RegisteredServer,
    request: AttemptRequest,
    options: PathSendOptions,
  ): Promise<PathResult> {
    const { server } = entry;
    const { clock, relays, registry } = this.#options;
    const maySend = () => registry.mayReceive(entry) && request.maySend();
    const reasons = new Set<DeclineReason>();
    const startMs = clock.nowMs();
    for (let asked = 0; asked < MAX_PEERS_ASKED; asked++) {
      if (!registry.mayReceive(entry)) return SERVER_GONE;
      const nowMs = clock.nowMs();
      const leftMs = options.timeoutMs - (nowMs - startMs);
      const isOver = leftMs <= 1 || options.signal.aborted;
      if (isOver || this.#tracker.isDownEverywhere(server, nowMs)) break;
      const peer = this.#selector.choose(this.#peers(), server, nowMs);
      if (peer === undefined) {
        this.#noteNoPeerLeft(server, reasons);
        break;
      }
      const end = this.#selector.start(peer.vm);
      const sent = await relays.attempt(
        peer,
        entry,
        { ...request, maySend },
        { ...options, timeoutMs: leftMs },
      );
      end();
      const endedMs = clock.nowMs();
      if (sent.kind === "ended") {
        if (sent.relayed !== undefined) {
          this.#selector.noteLoad(peer.vm, sent.relayed, endedMs);
        }
        if (sent.isPeerLost) this.#selector.noteLoss(peer.vm, endedMs);
        const isReached = sent.result.kind === "answer" ||
          sent.result.kind === "refusal";
        if (isReached) this.#tracker.noteReachedByPeer(server, endedMs);
        this.#noteNotices(entry, sent.result, peer.vm);
        const wasWithheld = sent.result.kind === "not-sent" &&
          !registry.mayReceive(entry);
        return wasWithheld ? SERVER_GONE : { ...sent.result, via: peer.vm };
      }
      if (sent.kind === "unavailable") {
        this.#selector.noteLoss(peer.vm, endedMs);
        continue;
      }
      const isAboutServer = SERVER_REASONS.has(sent.reason);
      reasons.add(sent.reason);
      this.#selector.noteDecline(
        peer.vm,
        isAboutServer ? server : undefined,
        endedMs,
      );
    }
    return {
      kind: "not-sent",
      isLocal: true,
      hasNoPath: true,
      message: "Neither this VM nor a peer that was asked reaches the server",
    };
  }

  /** All peers that could send to the server were asked. */
  #noteNoPeerLeft(
    server: contracts.ServerId,
    reasons: ReadonlySet<DeclineReason>,
  ): void {
    const isUnreached = reasons.size === 1 && reasons.has("unreached");
    if (!isUnreached) return;
    this.#tracker.noteDownEverywhere(server, this.#options.clock.nowMs());
  }

  #review(): void {
    const nowMs = this.#options.clock.nowMs();
    const silent = this.#tracker.takeSilent(nowMs);
    if (silent.length > 0) this.#check(silent);
    for (const server of this.#tracker.takeProbes(MAX_PROBES, nowMs)) {
      this.#probe(server);
    }
    if (!this.#tracker.isActive) {
      this.#reviewTask?.setIntervalMs(Number.POSITIVE_INFINITY);
    }
  }

  /** Looks at silent servers from here, and has a peer look at them. */
  #check(servers: readonly contracts.ServerId[]): void {
    const { registry, clock, log } = this.#options;
    const entries = servers.flatMap((server) => registry.find(server) ?? []);
    const asked = this.#askPeer(entries);
    entries.forEach((entry, index) => {
      const noted = Promise.all([this.#connect(entry), asked]).then(
        ([connection, observed]) => {
          const peer = observed[index];
          const { server } = entry;
          log.info("Looked at a silent server.", {
            server,
            isAccepting: connection === "accepted",
            connection,
            isAcceptingPeer: peer?.isAccepting,
            peerHeardAgoMs: peer && Math.round(peer.heardAgoMs),
          });
          const nowMs = clock.nowMs();
          this.#tracker.noteCheck(server, { connection, peer, nowMs });
        },
      );
      this.#lifeCycle?.detach("check of a silent server", noted);
    });
  }

  async #askPeer(
    entries: readonly CheckedServer[],
  ): Promise<readonly paths.PathObservation[]> {
    const first = entries[0];
    if (first === undefined) return [];
    const [peer] = this.#choosePeers(first.server, 1);
    return peer === undefined
      ? []
      : await this.#options.relays.check(peer, entries);
  }

  /** Peers that should reach a server, the best first. */
  #choosePeers(server: contracts.ServerId, count: number): PeerHello[] {
    const { clock, reach } = this.#options;
    let left = this.#peers().filter(({ vm }) => reach.reachesAny(vm));
    const chosen: PeerHello[] = [];
    while (chosen.length < count) {
      const peer = this.#selector.choose(left, server, clock.nowMs());
      if (peer === undefined) break;
      chosen.push(peer);
      left = left.filter((it) => it !== peer);
    }
    return chosen;
  }

  #probe(server: contracts.ServerId): void {
    const { registry, clock } = this.#options;
    const entry = registry.find(server);
    const probed: Promise<paths.ConnectOutcome> = entry === undefined
      ? Promise.resolve("refused")
      : this.#connect(entry);
    const noted = probed.then((connection) =>
      this.#tracker.noteProbe(server, connection, clock.nowMs())
    );
    this.#lifeCycle?.detach("probe of a path", noted);
  }

  /** Makes a new connection to a server, and closes it again. */
  async #connect(
    { host, port }: CheckedServer,
  ): Promise<paths.ConnectOutcome> {
    const target = { host, port, localAddress: this.#options.host };
    const outcome = await probeConnection(target, {
      timeoutMs: PROBE_TIMEOUT_MS,
      stayMs: PROBE_STAY_MS,
    });
    return outcome === "broken" ? "refused" : outcome;
  }

  #handleChange(change: paths.PathChange): void {
    const { log, reach } = this.#options;
    reach.noteOwnChange();
    this.#reviewTask?.setIntervalMs(REVIEW_INTERVAL_MS);
    if (change.kind === "restored") {
      return log.info("Reaches servers again.", {
        servers: change.servers.join(),
        awayMs: Math.round(change.awayMs),
      });
    }
    const { servers, cause } = change;
    log.warn("Does not reach servers; peers send their requests.", {
      servers: servers.join(),
      cause,
      isCutOff: this.#tracker.isCutOff,
    });
    for (const server of servers) this.#listeners.notify(server);
  }
}
