/**
 * Monitors the servers of one service for one allocator: requests in flight,
 * outlier ejection, and the probes that return ejected servers to use.
 */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as routing from "@guavatide/decisions/routing/mod";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { Logger } from "../utils/log.ts";
import type { Slot } from "./slot_allocator.ts";

/** Interval at which a queue looks for room at a limited server. */
const LIMIT_RETRY_MS = 25;

/** Tells callers that all servers for their requests ask to be left alone. */
export const BACKOFF_MESSAGE =
  "The servers for the request take none at present; come back later";

/** Options of {@link ServerMonitor}, and of the allocators that use one. */
export interface ServerMonitorOptions {
  readonly service: contracts.Service;
  readonly servers: ServerView;
  readonly clock: contracts.Clock;
  readonly log: Logger;
  /** Requests that one server may get beyond its slots. */
  readonly extraRequestsPerServer: number;
  /** Whether a server that fails or is unresponsive may be ejected. */
  readonly mayEject: boolean;
  /** Requests to one server for which this VM has connections. */
  readonly connectionLimit: () => number;
  /** Part of a limit that a server names which this allocator may use. */
  readonly limitShare: () => number;
  /** Called when a server is ejected. */
  readonly onEjected: (server: contracts.ServerId) => void;
  /** Sends a health probe; resolves to whether the server answered. */
  readonly probe: (address: ServerAddress) => Promise<boolean>;
}

/** Tracks load and health of the servers of one service. */
export class ServerMonitor {
  readonly #options: ServerMonitorOptions;
  readonly #tracker: routing.ServerTracker;
  /** Called when a server may have become able to take a request. */
  readonly #onServerAvailable: () => void;
  readonly #limits = new admission.RequestLimits();
  readonly #rateLimit: admission.ServerRateLimit;
  #service: contracts.Service;
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(options: ServerMonitorOptions, onServerAvailable: () => void) {
    this.#options = options;
    this.#onServerAvailable = onServerAvailable;
    this.#service = options.service;
    this.#rateLimit = new admission.ServerRateLimit({
      namedRateOf: (server) => this.#limitedRate(server),
    });
    const nowMs = options.clock.nowMs();
    this.#tracker = new routing.ServerTracker(this.#trackerOptions(), nowMs);
  }

  configure(service: contracts.Service): void {
    this.#service = service;
    this.#tracker.configure(this.#trackerOptions());
  }

  /** Servers that take new requests. */
  liveServers(): ServerAddress[] {
    return this.#knownServers().filter((address) => address.state === "live");
  }

  /**
   * Those of the given servers that can take one more request now. When none
   * can, `onServerAvailable` is called as soon as a pause after a refusal ends.
   */
  candidates(servers: Iterable<contracts.ServerId>): routing.Candidate[] {
    const nowMs = this.#options.clock.nowMs();
    const available = this.#tracker.candidates(servers, nowMs);
    if (available.length === 0) this.#retryIn(this.#tracker.pauseLeftMs(nowMs));
    if (!this.#limits.hasAny) return available;
    const allowed = available.filter(({ server }) =>
      this.#rateLimit.mayStart(server, nowMs)
    );
    if (allowed.length === 0 && available.length > 0) {
      this.#retryIn(LIMIT_RETRY_MS);
    }
    return allowed;
  }

  /**
   * Shortest time for which all of the given servers ask to be left alone; 0
   * if one of them doesn't.
   */
  backoffLeftMs(servers: Iterable<contracts.ServerId>): number {
    return this.#tracker.backoffLeftMs(servers, this.#options.clock.nowMs());
  }

  /** Requests a second that this allocator may send to a limited server. */
  #limitedRate(server: contracts.ServerId): number | undefined {
    const limitPerSecond = this.#limits.limitOf(server);
    if (limitPerSecond === undefined) return undefined;
    return admission.requestsBesideControl(limitPerSecond, 0) *
      this.#options.limitShare();
  }

  /** Counts a request as in flight at a server. */
  acquireSlot(
    address: ServerAddress,
    ownership?: Slot["ownership"],
  ): Slot {
    const sentMs = this.#options.clock.nowMs();
    this.#tracker.recordSent(address.server, sentMs);
    if (this.#limits.hasAny) {
      this.#rateLimit.recordStart(address.server, sentMs);
    }
    return { address, sentMs, ownership };
  }

  /** Records how the attempt of a slot ended. */
  releaseSlot(slot: Slot, outcome: routing.AttemptOutcome): void {
    const nowMs = this.#options.clock.nowMs();
    const { server } = slot.address;
    this.#recordLimit(slot, outcome, nowMs);
    this.#reportEvent(
      server,
      this.#tracker.recordOutcome(server, slot.sentMs, { end: outcome, nowMs }),
    );
  }

  #recordLimit(
    { address, sentMs }: Slot,
    outcome: routing.AttemptOutcome,
    nowMs: number,
  ): void {
    if (outcome.kind !== "answer" && outcome.kind !== "refusal") return;
    const { requestLimit } = outcome;
    // Text that is no rate still says that the server has a limit.
    if (requestLimit === null) return;
    if (requestLimit === undefined && !this.#limits.hasAny) return;
    const change = this.#limits.recordAnswer(address.server, {
      requestsPerSecond: requestLimit,
      isRefusal: outcome.kind === "refusal",
      sentAtMs: sentMs,
      nowMs,
    });
    if (change !== "imposed" && change !== "lifted") return;
    this.#options.log.info(
      change === "imposed"
        ? "Server limits its requests."
        : "Server no longer limits its requests.",
      {
        service: this.#service.name,
        server: address.server,
        requestsPerSecond: requestLimit,
      },
    );
  }

  /** Ejects unresponsive servers and sends the probes that are due. */
  refresh(): void {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#knownServers();
    const ids = known.map((address) => address.server);
    this.#tracker.configure(this.#trackerOptions());
    const idSet = new Set(ids);
    this.#tracker.keepOnly(idSet, nowMs);
    for (const server of [...this.#limits.servers]) {
      if (!idSet.has(server)) this.#limits.forget(server);
    }
    for (const server of this.#tracker.ejectUnresponsive(nowMs)) {
      this.#reportEvent(server, "ejected");
    }
    for (const address of known) {
      if (this.#tracker.tryProbe(address.server, nowMs)) this.#probe(address);
    }
  }

  /** Calls `onServerAvailable` after the time; one timer serves all calls. */
  #retryIn(waitMs: number | undefined): void {
    if (waitMs === undefined || this.#retryTimer !== undefined) return;
    this.#retryTimer = setTimeout(() => {
      this.#retryTimer = undefined;
      this.#onServerAvailable();
    }, Math.ceil(waitMs));
  }

  #probe(address: ServerAddress): void {
    this.#options.probe(address).then((hasAnswered) => {
      const nowMs = this.#options.clock.nowMs();
      const { server } = address;
      this.#reportEvent(
        server,
        this.#tracker.recordProbe(server, hasAnswered, nowMs),
      );
      this.#onServerAvailable();
    });
  }

  #reportEvent(server: contracts.ServerId, event: routing.EjectionEvent): void {
    if (event === undefined) return;
    const service = this.#service.name;
    this.#options.log.info(`Server is ${event}.`, { service, server });
    if (event === "ejected") this.#options.onEjected(server);
  }

  #knownServers(): readonly ServerAddress[] {
    return this.#options.servers.servers(this.#service.name);
  }

  #trackerOptions(): routing.ServerTrackerOptions {
    const { slotsPerServer } = this.#service;
    const maxRequests = slotsPerServer +
      this.#options.extraRequestsPerServer;
    const localLimit = Math.min(
      maxRequests,
      this.#options.connectionLimit(),
    );
    const { mayEject } = this.#options;
    return { slotsPerServer, maxLocalInFlight: localLimit, mayEject };
  }
}
