/** This VM's share of the request rate that cold servers may get, by service. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { ConfigHolder } from "./config_holder.ts";
import type { PeerGossip } from "./peer_gossip.ts";
import type { ServerRegistry } from "./server_registry.ts";

/** Options of {@link ServerRateLimits}. */
export interface ServerRateLimitsOptions {
  readonly vm: contracts.VmId;
  /** Limit for all entry VMs together; undefined where there is none. */
  readonly bound: admission.ColdStartBound | undefined;
  readonly config: ConfigHolder;
  readonly registry: ServerRegistry;
  readonly gossip: Pick<PeerGossip, "knownIn" | "vmCount" | "seedCount">;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
}

/** Just after its start a process knows too few VMs to compute its own rank. */
const STARTUP_GRACE_MS = 2_000;

/** Creates the rate limits on requests to cold servers. */
export class ServerRateLimits {
  readonly #options: ServerRateLimitsOptions;
  readonly #rankOrder: grants.VmRanking;
  readonly #startedMs: number;

  constructor(options: ServerRateLimitsOptions) {
    this.#options = options;
    this.#rankOrder = new grants.VmRanking(options.hasher);
    this.#startedMs = options.clock.nowMs();
    options.registry.onChange(() =>
      this.#rankOrder.keepOnly(options.registry.ids())
    );
  }

  /** Limit for requests that this VM sends without a slot from a coordinator. */
  forDirectSends(service: contracts.ServiceId): admission.ServerRateLimit {
    return this.#create(service, admission.EQUAL_SHARES);
  }

  /** Limit for slots that this VM grants to all VMs as their coordinator. */
  forCoordinator(service: contracts.ServiceId): admission.ServerRateLimit {
    return this.#create(service, admission.COORDINATOR_SHARES);
  }

  #create(
    service: contracts.ServiceId,
    parts: readonly number[],
  ): admission.ServerRateLimit {
    const { bound, config, registry } = this.#options;
    return new admission.ServerRateLimit({
      bound,
      rateShares: parts,
      coldUntilMs: (server) => registry.coldUntilMs(server),
      requestsPerSecond: () =>
        config.service(service)?.coldStart?.requestsPerSecond,
      rankOf: (server) => this.#rankOf(server),
    });
  }

  /**
   * Rank of this VM among those that may send to the server. Failed VMs keep
   * their ranks: one that is only partitioned off still sends.
   */
  #rankOf(server: contracts.ServerId): number | undefined {
    const { vm, registry, gossip, clock } = this.#options;
    const isAlone = gossip.vmCount === 1 && gossip.seedCount > 0;
    const isPastStartup = clock.nowMs() - this.#startedMs >= STARTUP_GRACE_MS;
    if (isAlone || !isPastStartup) return undefined;
    const zone = registry.zoneOf(server);
    const inZone = gossip.knownIn(zone);
    const vms = inZone.length > 0 ? inZone : gossip.knownIn(undefined);
    const rank = this.#rankOrder.rank(server, vms).indexOf(vm);
    return rank < 0 ? undefined : rank;
  }
}
