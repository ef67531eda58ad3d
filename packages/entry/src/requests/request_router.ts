/** Routes callers' requests: checks limits and deadline, then starts them. */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type {
  ConfigView,
  OwnerView,
  ServerAddress,
  ServerView,
} from "../contracts/views.ts";
import type { ConnectionPools } from "../links/connection_pools.ts";
import { ServerEndCheck } from "../poison/server_end_check.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger, LoggerFactory } from "../utils/log.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  notRun,
} from "./caller_request.ts";
import { CrashGuard } from "./crash_guard.ts";
import { DispatchedAllocator } from "./dispatched_allocator.ts";
import { KeyedAllocator } from "./keyed_allocator.ts";
import { LocalAllocator } from "./local_allocator.ts";
import type { PeerRpc } from "./peer_rpc.ts";
import type { RequestMetrics } from "./request_metrics.ts";
import { ActiveRequest } from "./active_request.ts";
import type { RequestContext } from "./request_context.ts";
import type { SlotAllocator } from "./slot_allocator.ts";
import { SlotDispatcher } from "./slot_dispatcher.ts";
import * as messages from "./slot_messages.ts";

/** Options of {@link RequestRouter}. */
export interface RequestRouterOptions {
  readonly config: ConfigView;
  readonly servers: ServerView;
  readonly owners: OwnerView;
  readonly connectionPools: ConnectionPools;
  /** Hash of a key's text, at least 0 and below `HASH_SPACE`. */
  readonly hashKey: (key: string) => number;
  /** Number of entry VMs that share the connections to a server. */
  readonly entryVmCount: () => number;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: LoggerFactory;
  readonly lifeCycle: LifeCycle;
  readonly metrics: RequestMetrics;
  readonly maxTimeoutMs: number;
  /**
   * Time from sending within which a server that does not check fencing tokens
   * must finish a request, in milliseconds. After it the server refuses it.
   */
  readonly unfencedTimeoutMs: number;
  /** Calls to other entry VMs; without them each VM chooses servers alone. */
  readonly peers?: PeerRpc;
}

/** Interval at which unresponsive servers are detected and probes sent. */
const REFRESH_INTERVAL_MS = 50;
/** Time that a request with an unknown outcome stays counted as forwarded. */
const UNKNOWN_OUTCOME_HOLD_MS = 10_000;
/**
 * Requests that a dispatcher sends to a server beyond its slots. They fill the
 * gap between the end of one request and the arrival of the next. When a server
 * refuses them as busy, the limit for this server is lowered.
 */
const PIPELINED_REQUESTS = 2;
/** Connections per server reserved for probes and cancellations. */
const RESERVED_CONNECTIONS = 1;

interface ServiceRoute {
  readonly service: contracts.Service;
  readonly context: RequestContext;
  readonly stop: () => void;
}

/** Request path of one entry VM. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;
  readonly #log: Logger;
  readonly #limits = new routing.CallerLimits();
  readonly #services = new Map<contracts.ServiceId, ServiceRoute>();
  readonly #dispatcher: SlotDispatcher | undefined;
  readonly #crashGuard: CrashGuard;
  readonly #idPrefix: string;
  #nextId = 0;

  constructor(options: RequestRouterOptions) {
    this.#options = options;
    this.#log = options.log.part("route");
    const randomPrefix = Math.floor(options.random.next() * 2 ** 48);
    this.#idPrefix = randomPrefix.toString(36);
    this.#dispatcher = this.#createDispatcher(options.peers);
    const { connectionPools, peers, clock, lifeCycle } = options;
    this.#crashGuard = new CrashGuard({
      peers,
      clock,
      endCheck: new ServerEndCheck(connectionPools),
      unixMs: () => Date.now(),
      lifeCycle,
      log: this.#log,
    });
    options.lifeCycle.every(REFRESH_INTERVAL_MS, () => this.#refresh());
  }

  /** Routes one request. Resolves at the latest by its deadline. */
  route(request: CallerRequest): Promise<CallerAnswer> {
    const { config, clock } = this.#options;
    const service = config.service(request.service);
    // "unknown-service" means that the caller must correct its path, which
    // can't be known while this VM has no configuration yet.
    if (service === undefined && config.revision === 0) {
      return this.#refuse(request, "no-server", {
        message: "No configuration is in force here yet; come back later",
      });
    }
    if (service === undefined) {
      return this.#refuse(request, "unknown-service", {
        message: `There is no service "${request.service}"; check the path`,
      });
    }
    const needsKey = service.keyed && request.key === undefined;
    if (needsKey) {
      return this.#refuse(request, "bad-request", {
        message: "The service is keyed; send the key in guavatide-key",
      });
    }
    const refusal = this.#checkLimits(service, request);
    if (refusal !== undefined) return refusal;
    const timeoutMs = Math.min(
      request.timeoutMs ?? service.timeoutMs,
      this.#options.maxTimeoutMs,
    );
    const deadlineMs = request.arrivedMs + timeoutMs;
    if (deadlineMs <= clock.nowMs()) {
      return this.#refuse(request, "deadline-before-send", {
        message: "The request took longer to arrive than its deadline",
      });
    }
    return new ActiveRequest({
      context: this.#serviceRoute(service).context,
      request,
      tenant: request.caller,
      keyHash: service.keyed ? this.#options.hashKey(request.key!) : undefined,
      deadlineMs,
    }).run();
  }

  #checkLimits(
    service: contracts.Service,
    request: CallerRequest,
  ): Promise<CallerAnswer> | undefined {
    const partner = this.#options.config.partner(service.partner);
    if (partner === undefined) return undefined;
    const nowMs = this.#options.clock.nowMs();
    const decision = this.#limits.admit(partner, request.caller, nowMs);
    if (decision.kind === "admitted") return undefined;
    return this.#refuse(request, "caller-limit", {
      retryAfterMs: decision.retryAfterMs,
      message: `The ${decision.by}'s rate limit is used up`,
    });
  }

  #refuse(
    request: CallerRequest,
    reason: contracts.NotRunReason,
    options: { readonly retryAfterMs?: number; readonly message: string },
  ): Promise<CallerAnswer> {
    const { service } = request;
    this.#log.info("Refuses.", { service, reason });
    this.#options.metrics.finished({
      service,
      outcome: "not-run",
      reason,
      durationMs: this.#options.clock.nowMs() - request.arrivedMs,
      queuedMs: 0,
      attempts: 0,
    });
    return Promise.resolve(notRun(reason, options));
  }

  #serviceRoute(service: contracts.Service): ServiceRoute {
    const current = this.#services.get(service.name);
    // The configuration returns the same object until a revision changes it.
    if (current?.service === service) return current;
    const isSameKind = current?.service.keyed === service.keyed;
    const allocator = current !== undefined && isSameKind
      ? current.context.allocator
      : this.#createAllocator(service);
    current?.stop();
    allocator.configure(service);
    this.#dispatcher?.configure(service);
    const route = this.#createRoute(service, allocator);
    this.#services.set(service.name, route);
    return route;
  }

  #createRoute(
    service: contracts.Service,
    allocator: SlotAllocator,
  ): ServiceRoute {
    const { owners, clock, connectionPools, metrics, servers } = this.#options;
    const stop = owners.onChange(service.name, () => allocator.refresh());
    const context: RequestContext = {
      service,
      policy: service.keyed
        ? "owner"
        : service.policy ?? routing.DEFAULT_POLICY,
      allocator,
      retryBudget: new routing.RetryBudget(),
      owners,
      crashGuard: this.#crashGuard,
      clock,
      log: this.#log,
      metrics,
      unknownOutcomeHoldMs: UNKNOWN_OUTCOME_HOLD_MS,
      unfencedTimeoutMs: this.#options.unfencedTimeoutMs,
      connectionPool: (address) =>
        connectionPools.pool(address, this.#connectionLimit(service)),
      cancel: (address, id) => connectionPools.cancel(address, id),
      noteDraining: (server) => servers.noteDraining(server),
      nextRequestId: () => this.#nextRequestId(),
    };
    return { service, context, stop };
  }

  #createAllocator(service: contracts.Service): SlotAllocator {
    if (service.keyed) {
      return new KeyedAllocator({
        ...this.#monitorOptions(service),
        extraRequestsPerServer: 0,
        // No other server can serve the key, so ejecting its owner is useless.
        mayEject: false,
      });
    }
    const { peers, servers, clock, hashKey } = this.#options;
    const local = new LocalAllocator({
      ...this.#monitorOptions(service),
      extraRequestsPerServer: 0,
    });
    if (peers === undefined) return local;
    return new DispatchedAllocator({
      service,
      peers,
      dispatcher: this.#dispatcher!,
      fallback: local,
      servers,
      clock,
      hash: hashKey,
      log: this.#log,
    });
  }

  /** Options that all allocators share. */
  #monitorOptions(service: contracts.Service) {
    const { metrics, connectionPools } = this.#options;
    return {
      ...this.#options,
      service,
      log: this.#log,
      mayEject: true,
      connectionLimit: () => this.#connectionLimit(service),
      limitShare: () => 1 / this.#options.entryVmCount(),
      onEjected: (server: contracts.ServerId) =>
        metrics.ejected(service.name, server),
      probe: (address: ServerAddress) => connectionPools.probe(address),
    };
  }

  #createDispatcher(peers: PeerRpc | undefined): SlotDispatcher | undefined {
    if (peers === undefined) return undefined;
    peers.register(
      messages.SLOTS_DECIDED_METHOD,
      messages.slotsDecidedSchema,
      (message) => this.#applyDecisions(message),
    );
    return new SlotDispatcher({
      peers,
      clock: this.#options.clock,
      onDecisions: (message) => this.#applyDecisions(message),
      createAllocator: (id) => this.#createDispatcherAllocator(id),
    });
  }

  /** Creates the allocator of a service for which this VM is the dispatcher. */
  #createDispatcherAllocator(
    id: contracts.ServiceId,
  ): SlotAllocator | undefined {
    const service = this.#options.config.service(id);
    if (service === undefined) return undefined;
    return new LocalAllocator({
      ...this.#monitorOptions(service),
      // The dispatcher counts the requests of all VMs, so the connections of
      // this VM are no limit.
      connectionLimit: () => Infinity,
      limitShare: () => 1,
      policy: "least-outstanding",
      extraRequestsPerServer: PIPELINED_REQUESTS,
    });
  }

  #applyDecisions(message: messages.SlotsDecided): object {
    const client = this.#services.get(message.service)?.context.allocator;
    if (client instanceof DispatchedAllocator) client.applyDecisions(message);
    return {};
  }

  /** This VM's share of the connections to a server, less the reserved ones. */
  #connectionLimit(service: contracts.Service): number {
    const share = service.connectionsPerServer / this.#options.entryVmCount();
    return Math.max(1, Math.floor(share) - RESERVED_CONNECTIONS);
  }

  #nextRequestId(): contracts.RequestId {
    this.#nextId++;
    return `${this.#idPrefix}-${this.#nextId}` as contracts.RequestId;
  }

  #refresh(): void {
    const known = new Set<contracts.ServerId>();
    for (const route of this.#services.values()) {
      route.context.allocator.refresh();
      const servers = this.#options.servers.servers(route.service.name);
      for (const address of servers) known.add(address.server);
    }
    this.#dispatcher?.refresh();
    this.#options.connectionPools.keepOnly(known);
  }
}
