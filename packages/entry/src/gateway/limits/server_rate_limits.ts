/** This VM's share of the request rate of cold servers and of limited ones. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { ConfigHolder } from "../store/config_holder.ts";
import type { PeerGossip } from "../peers/peer_gossip.ts";
import type { RequestLimitTask } from "./request_limit_task.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";

/** Options of {@link ServerRateLimits}. */
export interface ServerRateLimitsOptions {
  readonly vm: contracts.VmId;
  /** Limit for all entry VMs together; undefined where there is none. */
  readonly bound: admission.ColdStartBound | undefined;
  readonly config: ConfigHolder;
  readonly registry: ServerRegistry;
  readonly gossip: Pick<
    PeerGossip,
    "roleWeights" | "knownIn" | "liveVmsIn" | "vmCount" | "seedCount"
  >;
  readonly requestLimits: Pick<
    RequestLimitTask,
    "limitOf" | "capacityOf" | "recordOf"
  >;
  /** Calls a second with which all VMs renew the server's leases. */
  readonly renewalsPerSecond: (server: contracts.ServerId) => number;
  /** The same for one range of a limited server. */
  readonly renewalsPerRange: number;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
}

/** Just after its start a process knows too few VMs to compute its own rank. */
const STARTUP_GRACE_MS = 2_000;
/**
 * After this time without an answer that confirms a server's limit, its
 * coordinator sends a request there though others have room; any other VM after
 * the second, in case no caller uses the coordinator.
 */
const COORDINATOR_TRIAL_AFTER_MS = 1_000;
const TRIAL_AFTER_MS = 2_500;

/** Creates the rate limits on requests to single servers. */
export class ServerRateLimits {
  readonly #options: ServerRateLimitsOptions;
  readonly #rankOrder: grants.VmRanking;
  readonly #liveOrder: grants.VmRanking;
  readonly #startedMs: number;

  constructor(options: ServerRateLimitsOptions) {
    this.#options = options;
    // The same order as that of the slot coordinators.
    const weights = () => options.gossip.roleWeights;
    this.#rankOrder = new grants.VmRanking(options.hasher, weights);
    this.#liveOrder = new grants.VmRanking(options.hasher, weights);
    this.#startedMs = options.clock.nowMs();
    options.registry.onChange(() => {
      this.#rankOrder.keepOnly(options.registry.ids());
      this.#liveOrder.keepOnly(options.registry.ids());
    });
  }

  /** Limit for requests that this VM sends without a slot from a coordinator. */
  forDirectSends(service: contracts.ServiceId): admission.ServerRateLimit {
    return this.#create(service, admission.EQUAL_SHARES);
  }

  /** Limit for slots that this VM grants to all VMs as their coordinator. */
  forCoordinator(service: contracts.ServiceId): admission.ServerRateLimit {
    return this.#create(service, admission.COORDINATOR_SHARES, {
      namedRateOf: (server) => this.#namedRateOf(server),
    });
  }

  /** Whether a limited server should get a request that others have room for. */
  isTrialDue(server: contracts.ServerId): boolean {
    const limit = this.#options.requestLimits.recordOf(server);
    const afterMs = this.#coordinatorView(server).isFirst
      ? COORDINATOR_TRIAL_AFTER_MS
      : TRIAL_AFTER_MS;
    return limit !== undefined && limit.ageMs >= afterMs;
  }

  /**
   * Ranges whose renewals a limited server has room for; undefined for any
   * other server.
   */
  maxRangesOf(server: contracts.ServerId): number | undefined {
    const { requestLimits, renewalsPerRange } = this.#options;
    const perSecond = requestLimits.capacityOf(server);
    if (perSecond === Number.POSITIVE_INFINITY) return undefined;
    const calls = admission.controlCallsAllowed(perSecond);
    return Math.max(1, Math.floor(calls / renewalsPerRange));
  }

  /** Requests a second that this VM may grant as the server's coordinator. */
  #namedRateOf(server: contracts.ServerId): number | undefined {
    const { requestLimits, renewalsPerSecond } = this.#options;
    const limitPerSecond = requestLimits.limitOf(server);
    if (limitPerSecond === undefined) return undefined;
    const perSecond = admission.requestsBesideControl(
      limitPerSecond,
      renewalsPerSecond(server),
    );
    return this.#knowsPeers()
      ? perSecond * admission.coordinatorShare(this.#coordinatorView(server))
      : 0;
  }

  #coordinatorView(server: contracts.ServerId): admission.CoordinatorView {
    const { vm, registry, gossip } = this.#options;
    const ownZone = registry.zoneOf(server);
    const hasVms = ownZone !== undefined &&
      gossip.liveVmsIn(ownZone).length > 0;
    const zone = hasVms ? ownZone : undefined;
    const live = gossip.liveVmsIn(zone);
    const known = gossip.knownIn(zone);
    return {
      isFirst: this.#liveOrder.rank(server, live)[0] === vm,
      liveCount: live.length,
      knownCount: known.length,
    };
  }

  /** Whether this VM has had the time to hear of its peers. */
  #knowsPeers(): boolean {
    const { gossip, clock } = this.#options;
    const isAlone = gossip.vmCount === 1 && gossip.seedCount > 0;
    const isPastStartup = clock.nowMs() - this.#startedMs >= STARTUP_GRACE_MS;
    return isPastStartup && !isAlone;
  }

  #create(
    service: contracts.ServiceId,
    parts: readonly number[],
    extra: Pick<admission.ServerRateLimitOptions, "namedRateOf"> = {},
  ): admission.ServerRateLimit {
    const { bound, config, registry } = this.#options;
    return new admission.ServerRateLimit({
      coldStart: {
        bound,
        rateShares: parts,
        coldUntilMs: (server) => registry.coldUntilMs(server),
        requestsPerSecond: () =>
          config.service(service)?.coldStart?.requestsPerSecond,
        rankOf: (server) => this.#rankOf(server),
      },
      ...extra,
    });
  }

  /**
   * Rank of this VM among those that may send to the server. Failed VMs keep
   * their ranks: one that is only partitioned off still sends.
   */
  #rankOf(server: contracts.ServerId): number | undefined {
    const { vm, registry, gossip } = this.#options;
    if (!this.#knowsPeers()) return undefined;
    const zone = registry.zoneOf(server);
    const inZone = gossip.knownIn(zone);
    const vms = inZone.length > 0 ? inZone : gossip.knownIn(undefined);
    const rank = this.#rankOrder.rank(server, vms).indexOf(vm);
    return rank < 0 ? undefined : rank;
  }
}
