/** This VM's part of what cold servers may get, by service. */
import type * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { ConfigHolder } from "./config_holder.ts";
import type { PeerGossip } from "./peer_gossip.ts";
import type { ServerRegistry } from "./server_registry.ts";

/** Options of {@link ColdStartLimits}. */
export interface ColdStartLimitsOptions {
  readonly vm: contracts.VmId;
  /** Undefined where there is no bound. */
  readonly bound: admission.ColdStartBound | undefined;
  readonly config: ConfigHolder;
  readonly registry: ServerRegistry;
  readonly gossip: Pick<PeerGossip, "knownIn" | "vmCount" | "seedCount">;
  readonly hasher: ownership.KeyHasher;
  readonly clock: contracts.Clock;
}

/** Just after its start a process knows too few VMs to find its own place. */
const STARTUP_GRACE_MS = 2_000;

/** Creates the limits of each service. */
export class ColdStartLimits {
  readonly #options: ColdStartLimitsOptions;
  readonly #order: grants.VmRanking;
  readonly #startedMs: number;

  constructor(options: ColdStartLimitsOptions) {
    this.#options = options;
    this.#order = new grants.VmRanking(options.hasher);
    this.#startedMs = options.clock.nowMs();
    options.registry.onChange(() =>
      this.#order.keepOnly(options.registry.ids())
    );
  }

  /** For requests that this VM sends without asking another. */
  forDirectSends(service: contracts.ServiceId): admission.ColdStartLimit {
    return this.#create(service, admission.EQUAL_SHARES);
  }

  /** For slots that this VM gives out to all others. */
  forCoordinator(service: contracts.ServiceId): admission.ColdStartLimit {
    return this.#create(service, admission.COORDINATOR_SHARES);
  }

  #create(
    service: contracts.ServiceId,
    parts: readonly number[],
  ): admission.ColdStartLimit {
    const { bound, config, registry } = this.#options;
    return new admission.ColdStartLimit({
      bound,
      rateShares: parts,
      coldUntilMs: (server) => registry.coldUntilMs(server),
      requestsPerSecond: () =>
        config.service(service)?.coldStart?.requestsPerSecond,
      rankOf: (server) => this.#placeOf(server),
    });
  }

  /** Lost VMs keep their places: one that is only cut off still sends. */
  #placeOf(server: contracts.ServerId): number | undefined {
    const { vm, registry, gossip, clock } = this.#options;
    const isAlone = gossip.vmCount === 1 && gossip.seedCount > 0;
    const isSettled = clock.nowMs() - this.#startedMs >= STARTUP_GRACE_MS;
    if (isAlone || !isSettled) return undefined;
    const zone = registry.zoneOf(server);
    const inZone = gossip.knownIn(zone);
    const vms = inZone.length > 0 ? inZone : gossip.knownIn(undefined);
    const place = this.#order.rank(server, vms).indexOf(vm);
    return place < 0 ? undefined : place;
  }
}
