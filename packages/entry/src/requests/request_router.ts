/** Routes callers' requests: limits, deadline, service, slot, answer. */
import type * as contracts from "@guavatide/contracts";
import * as routing from "@guavatide/decisions/routing/mod";
import type {
  ConfigView,
  OwnerView,
  ServerAddress,
  ServerView,
} from "../contracts/views.ts";
import type { ConnectionPools } from "../links/connection_pools.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger, LoggerFactory } from "../utils/log.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  notRun,
} from "./caller_request.ts";
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
  /** Entry VMs that share the connections of a server. */
  readonly entryVmCount: () => number;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: LoggerFactory;
  readonly lifeCycle: LifeCycle;
  readonly metrics: RequestMetrics;
  readonly maxTimeoutMs: number;
  /** Time within which a server that checks no fences must end a request. */
  readonly unfencedTimeoutMs: number;
  /** Links to other entry VMs; without them each VM chooses alone. */
  readonly peers?: PeerRpc;
}

/** Interval at which silence is looked for and probes are sent. */
const REFRESH_INTERVAL_MS = 50;
/** Time a request of unknown fate stays counted as forwarded. */
const UNKNOWN_OUTCOME_HOLD_MS = 10_000;
/**
 * Requests that a dispatcher gives to a server beyond its slots. They bridge
 * the time from the end of one request until the next arrives; a server that
 * refuses them as busy makes the board lower its limit.
 */
const PIPELINED_REQUESTS = 2;
/** Links kept free of requests, for probes and cancellations. */
const RESERVED_CONNECTIONS = 1;

interface ServiceRoute {
  readonly service: contracts.Service;
  readonly context: RequestContext;
  readonly stop: () => void;
}

/** The request path of one entry VM. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;
  readonly #log: Logger;
  readonly #limits = new routing.CallerLimits();
  readonly #services = new Map<contracts.ServiceId, ServiceRoute>();
  readonly #dispatcher: SlotDispatcher | undefined;
  readonly #idPrefix: string;
  #nextId = 0;

  constructor(options: RequestRouterOptions) {
    this.#options = options;
    this.#log = options.log.part("route");
    const drawn = Math.floor(options.random.next() * 2 ** 48);
    this.#idPrefix = drawn.toString(36);
    this.#dispatcher = this.#createDispatcher(options.peers);
    options.lifeCycle.every(REFRESH_INTERVAL_MS, () => this.#refresh());
  }

  /** Routes one request. Resolves by its deadline at the latest. */
  route(request: CallerRequest): Promise<CallerAnswer> {
    const { config, clock } = this.#options;
    const service = config.service(request.service);
    // A caller that is told "unknown service" mends its path; there is nothing
    // to mend while this VM has no configuration yet.
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
    const limited = this.#checkLimits(service, request);
    if (limited !== undefined) return limited;
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
      context: this.#service(service).context,
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

  #service(service: contracts.Service): ServiceRoute {
    const found = this.#services.get(service.name);
    // The configuration hands out the same object until a revision changes.
    if (found?.service === service) return found;
    const isSameKind = found?.service.keyed === service.keyed;
    const allocator = found !== undefined && isSameKind
      ? found.context.allocator
      : this.#createAllocator(service);
    found?.stop();
    allocator.configure(service);
    this.#dispatcher?.configure(service);
    const entry = this.#createEntry(service, allocator);
    this.#services.set(service.name, entry);
    return entry;
  }

  #createEntry(
    service: contracts.Service,
    allocator: SlotAllocator,
  ): ServiceRoute {
    const { owners, clock, connectionPools: links, metrics, servers } =
      this.#options;
    const stop = owners.onChange(service.name, () => allocator.refresh());
    const parts: RequestContext = {
      service,
      policy: service.keyed
        ? "owner"
        : service.policy ?? routing.DEFAULT_POLICY,
      allocator,
      retryBudget: new routing.RetryBudget(),
      owners,
      clock,
      log: this.#log,
      metrics,
      unknownOutcomeHoldMs: UNKNOWN_OUTCOME_HOLD_MS,
      unfencedTimeoutMs: this.#options.unfencedTimeoutMs,
      connectionPool: (address) =>
        links.pool(address, this.#linkLimit(service)),
      cancel: (address, id) => links.cancel(address, id),
      noteDraining: (server) => servers.noteDraining(server),
      nextRequestId: () => this.#drawRequestId(),
    };
    return { service, context: parts, stop };
  }

  #createAllocator(service: contracts.Service): SlotAllocator {
    if (service.keyed) {
      return new KeyedAllocator({
        ...this.#common(service),
        extraRequestsPerServer: 0,
        // Nobody else can serve the key, so ejecting its owner helps no one.
        mayEject: false,
      });
    }
    const { peers, servers, clock, hashKey } = this.#options;
    const local = new LocalAllocator({
      ...this.#common(service),
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

  /** What all allocators need. */
  #common(service: contracts.Service) {
    const { metrics, connectionPools: links } = this.#options;
    return {
      ...this.#options,
      service,
      log: this.#log,
      mayEject: true,
      linkLimit: () => this.#linkLimit(service),
      onEjected: (server: contracts.ServerId) =>
        metrics.ejected(service.name, server),
      probe: (address: ServerAddress) => links.probe(address),
    };
  }

  #createDispatcher(peers: PeerRpc | undefined): SlotDispatcher | undefined {
    if (peers === undefined) return undefined;
    peers.register(
      messages.SLOTS_DECIDED_METHOD,
      messages.slotsDecidedSchema,
      (decided) => this.#noteDecided(decided),
    );
    return new SlotDispatcher({
      peers,
      clock: this.#options.clock,
      onDecisions: (decided) => this.#noteDecided(decided),
      createAllocator: (id) => this.#createDispatchedSide(id),
    });
  }

  /** The queue and the choice of a service that this VM dispatches. */
  #createDispatchedSide(id: contracts.ServiceId): SlotAllocator | undefined {
    const service = this.#options.config.service(id);
    if (service === undefined) return undefined;
    return new LocalAllocator({
      ...this.#common(service),
      // The dispatcher's own count is every VM's; its links play no part.
      linkLimit: () => Infinity,
      policy: "least-outstanding",
      extraRequestsPerServer: PIPELINED_REQUESTS,
    });
  }

  #noteDecided(decided: messages.SlotsDecided): object {
    const allocator = this.#services.get(decided.service)?.context.allocator;
    if (allocator instanceof DispatchedAllocator) {
      allocator.applyDecisions(decided);
    }
    return {};
  }

  /** This VM's share of a server's connections. */
  #linkLimit(service: contracts.Service): number {
    const share = service.connectionsPerServer / this.#options.entryVmCount();
    return Math.max(1, Math.floor(share) - RESERVED_CONNECTIONS);
  }

  #drawRequestId(): contracts.RequestId {
    this.#nextId++;
    return `${this.#idPrefix}-${this.#nextId}` as contracts.RequestId;
  }

  #refresh(): void {
    const known = new Set<contracts.ServerId>();
    for (const entry of this.#services.values()) {
      entry.context.allocator.refresh();
      const servers = this.#options.servers.servers(entry.service.name);
      for (const address of servers) known.add(address.server);
    }
    this.#dispatcher?.refresh();
    this.#options.connectionPools.keepOnly(known);
  }
}
