/** Key ownership of all keyed services on one entry VM. */
import * as contracts from "@guavatide/contracts";
import * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { SystemClock } from "../../utils/clock.ts";
import type { LabelledCounts } from "../../metrics/labelled_counts.ts";
import type { LifeCycle, PeriodicTask } from "../../utils/life_cycle.ts";
import { Listeners } from "../../utils/listeners.ts";
import type { Logger } from "../../utils/log.ts";
import type { ConfigHolder } from "../store/config_holder.ts";
import type { MovePlannerOptions } from "./move_planner.ts";
import type { PeerReach } from "../paths/peer_reach.ts";
import type { PeerRpc } from "../peers/peer_rpc.ts";
import type { GossipIdentity, PeerGossip } from "../peers/peer_gossip.ts";
import * as messages from "../peers/peer_messages.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import type { ServerBackoffTask } from "../backoffs/server_backoff_task.ts";
import type { HandoverGrantTimes } from "./grant_sender.ts";
import {
  type GrantPeer,
  ServiceGrants,
  type ServiceGrantsOptions,
} from "./service_grants.ts";
import type { ServerRegistry } from "../servers/server_registry.ts";
import type { StoreHealth } from "../store/store_health.ts";

/** Options of {@link GrantTask}. */
export interface GrantTaskOptions {
  readonly self: GossipIdentity;
  readonly timings: grants.GrantTimings;
  /** Longest lease duration that servers accept. */
  readonly maxLeaseMs: number;
  readonly hasher: ownership.KeyHasher;
  readonly config: ConfigHolder;
  readonly registry: ServerRegistry;
  readonly gossip: PeerGossip;
  readonly rpc: PeerRpc;
  readonly maps: RangeMapStore;
  readonly control: contracts.GrantControl;
  readonly health: StoreHealth;
  readonly reach: Pick<PeerReach, "hasAny" | "reaches" | "reachesAny">;
  readonly clock: SystemClock;
  readonly log: Logger;
  readonly capacity: MovePlannerOptions["capacity"];
  readonly isCold: MovePlannerOptions["isCold"];
  readonly maxRangesOf: MovePlannerOptions["maxRangesOf"];
  readonly backoffOf: MovePlannerOptions["backoffOf"];
  readonly hotKeyCounts: LabelledCounts;
  readonly backoffs:
    & ServiceGrantsOptions["backoffs"]
    & Pick<ServerBackoffTask, "longestDelayMs">;
  /** Calls a second that a server takes; undefined for no limit. */
  readonly limitOf: (server: contracts.ServerId) => number | undefined;
  /**
   * By server, how much longer than average it takes, as this VM's slot
   * coordinator has measured.
   */
  readonly latencyFactorsOf: (
    service: contracts.ServiceId,
  ) => ReadonlyMap<contracts.ServerId, number>;
  readonly isLeaving: () => boolean;
}

/** Tick interval of a voter or leader. */
const ACTIVE_TICK_MS = 40;
/** Tick interval of any other VM. */
const TICK_MS = 200;
/** Shortest interval at which request counts by key are sent to the leader. */
const KEY_COUNTS_INTERVAL_MS = 200;
/** A due message is sent within this time: hot keys move by its counts. */
const KEY_COUNTS_TICK_MS = 100;
/**
 * The interval grows by this for each VM, which limits the message rate at the
 * leader.
 */
const KEY_COUNTS_PER_VM_MS = 6;
const RANGE_MAP_RPC = "rangeMap";
/** Lease duration of servers that limit the calls they get. */
const SPARING_LEASE_MS = 6_000;
/** A lease outlasts a back-off by a step, so that it is renewed right after. */
const BACKOFF_LEASE_STEP_MS = 1_000;
/** Servers that take less a second get the longest leases that there are. */
const LOW_LIMIT_PER_SECOND = 1;
/**
 * Largest number of keys in one message; of more, the most requested are sent.
 */
const MAX_KEYS_PER_MESSAGE = 400;

/** Lease duration of servers that are to get few calls. */
export function sparingLeaseMs(
  maxLeaseMs: number,
  limitPerSecond: number = LOW_LIMIT_PER_SECOND,
): number {
  return limitPerSecond < LOW_LIMIT_PER_SECOND
    ? maxLeaseMs
    : Math.min(SPARING_LEASE_MS, maxLeaseMs);
}

/** Runs {@link ServiceGrants} for each keyed service. */
export class GrantTask {
  readonly #options: GrantTaskOptions;
  readonly #services = new Map<contracts.ServiceId, ServiceGrants>();
  readonly #counts = new Map<contracts.ServiceId, Map<number, number>>();
  /** Lease duration that the routes of each service need. */
  readonly #desiredLeaseMs = new Map<contracts.ServiceId, number>();
  readonly #listeners: Listeners<[service: contracts.ServiceId]>;
  #voters: ReadonlySet<contracts.VmId> = new Set();
  #tickTask: PeriodicTask | undefined;
  #countsSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: GrantTaskOptions) {
    this.#options = options;
    this.#listeners = new Listeners("changes of owners", options.log);
    const { gossip } = options;
    gossip.onVoterStatus(({ status, sentAtMs, receivedAtMs }) => {
      for (const service of this.#services.values()) {
        service.noteVoterStatus(status, sentAtMs, receivedAtMs);
      }
      this.#noteRevisions(status);
    });
    gossip.onHello((hello) => this.#noteRevisions(hello));
    options.rpc.on(
      RANGE_MAP_RPC,
      (serviceId) => this.#services.get(serviceId as contracts.ServiceId)?.map,
    );
    gossip.on(
      messages.RANGE_MAP_METHOD,
      messages.rangeMapUpdateSchema,
      (update) => {
        const service = this.#services.get(update.map.service);
        const isNewerRevision =
          update.map.revision > (service?.map?.revision ?? 0);
        service?.applyUpdate(update);
        // The leader waits until a majority of voters has acknowledged the map.
        const mustNotify = isNewerRevision && this.#voters.has(options.self.vm);
        if (mustNotify) gossip.notifyVoters();
      },
    );
    gossip.on(
      messages.KEY_COUNTS_METHOD,
      messages.keyCountsSchema,
      (counts) => this.#services.get(counts.service)?.noteKeyCounts(counts),
    );
    options.config.onChange(() => this.#applyConfig());
  }

  /** Starts the periodic work. */
  start(lifeCycle: LifeCycle): void {
    this.#tickTask = lifeCycle.every(
      TICK_MS,
      () => this.#tick(),
      "grants of keys",
    );
    lifeCycle.every(
      KEY_COUNTS_TICK_MS,
      () => this.#sendKeyCounts(),
      "counts of keys",
    );
  }

  /** Registers a listener for changes of the owners of a service's keys. */
  onChange(listener: (service: contracts.ServiceId) => void): void {
    this.#listeners.add(listener);
  }

  /** The owner of a key of a service. */
  ownerOf(service: contracts.ServiceId, key: number): admission.KeyOwner {
    return this.#services.get(service)?.ownerOf(key) ??
      { kind: "unknown", ageMs: 0 };
  }

  /** Whether keys of an owner can be given to another server at present. */
  isReplaceable(
    { service, server }: Pick<admission.SlotServer, "service" | "server">,
  ): boolean {
    return this.#grantPeers().some(({ hasStore }) => hasStore) &&
      this.#options.registry.staying(service)
        .some((other) => other.server !== server);
  }

  /** Whether the range maps of all keyed services are known. */
  get areOwnersKnown(): boolean {
    return [...this.#services.values()].every(({ isMapKnown }) => isMapKnown);
  }

  /** Counts a request for a key. */
  noteRequest(service: contracts.ServiceId, key: number): void {
    const counts = this.#counts.get(service);
    counts?.set(key, (counts.get(key) ?? 0) + 1);
  }

  /** This VM's part of the hello that concerns ownership. */
  ownHello(): Pick<messages.PeerHello, "maps"> {
    const maps: messages.PeerHello["maps"] = {};
    for (const [id, { mapStatus }] of this.#services) maps[id] = mapStatus;
    return { maps };
  }

  /** Whether this VM is the leader of a service's ranges. */
  get isLeader(): boolean {
    return [...this.#services.values()].some(({ isLeader }) => isLeader);
  }

  /** Voters of the range maps of all services. */
  voters(): ReadonlySet<contracts.VmId> {
    return this.#voters;
  }

  #noteRevisions(
    { maps, vm }: Pick<messages.PeerHello, "maps" | "vm">,
  ): void {
    for (const [id, service] of this.#services) {
      service.notePeerRevision(maps[id]?.[0] ?? 0, vm);
    }
  }

  /** This VM's grants, as reported to the other voters. */
  ownVoterState(): Pick<
    messages.VoterStatus,
    "grantAgesMs" | "handoverGrantTimesMs" | "silentServers"
  > {
    const grantAgesMs: messages.VoterStatus["grantAgesMs"] = {};
    const handoverGrantTimesMs: HandoverGrantTimes[] = [];
    const silentServers: string[] = [];
    for (const service of this.#services.values()) {
      for (const [server, ages] of service.grantAgesMs) {
        grantAgesMs[server] = ages;
      }
      handoverGrantTimesMs.push(...service.handoverGrantTimesMs);
      silentServers.push(...service.unresponsiveServers);
    }
    return { grantAgesMs, handoverGrantTimesMs, silentServers };
  }

  /** The range map of each service, for metrics. */
  maps(): ReadonlyMap<contracts.ServiceId, contracts.RangeMap | undefined> {
    return new Map([...this.#services].map(([id, { map }]) => [id, map]));
  }

  #tick(): void {
    this.#checkWallClock();
    for (const service of this.#services.values()) service.tick();
    const isActive = this.isLeader || this.#voters.has(this.#options.self.vm);
    this.#tickTask?.setIntervalMs(isActive ? ACTIVE_TICK_MS : TICK_MS);
  }

  #checkWallClock(): void {
    const { clock, log } = this.#options;
    const jumpsMs = clock.takeJumpsMs();
    for (const jumpMs of jumpsMs) {
      log.warn("The wall clock jumped against the monotonic clock.", {
        jumpMs: Math.round(jumpMs),
      });
    }
    // The machine may have been suspended.
    if (!jumpsMs.some((jumpMs) => jumpMs > 0)) return;
    for (const service of this.#services.values()) service.noteSuspension();
  }

  #applyConfig(): void {
    const { services, routes } = this.#options.config.active!.config;
    for (const { name, isKeyed } of services.values()) {
      if (!isKeyed) continue;
      this.#desiredLeaseMs.set(name, this.#desiredLeaseFor(name, routes));
      if (this.#services.has(name)) continue;
      this.#services.set(name, this.#create(name));
      this.#counts.set(name, new Map());
    }
    for (const id of this.#services.keys()) {
      if (services.get(id)?.isKeyed) continue;
      this.#services.delete(id);
      this.#counts.delete(id);
      this.#desiredLeaseMs.delete(id);
    }
  }

  #create(service: contracts.ServiceId): ServiceGrants {
    const { gossip, self } = this.#options;
    return new ServiceGrants({
      ...this.#options,
      ...self,
      service,
      peers: () => this.#grantPeers(),
      roleWeights: () => gossip.roleWeights,
      desiredLeaseMs: () =>
        this.#desiredLeaseMs.get(service) ?? this.#options.timings.holdMs,
      sparingLeaseMs: (server) => this.#sparingLeaseMs(service, server),
      controlCallsPerSecond: (server) => {
        const limitPerSecond = this.#options.limitOf(server);
        return limitPerSecond === undefined
          ? undefined
          : admission.controlCallsAllowed(limitPerSecond);
      },
      hasUnreached: () => this.#options.reach.hasAny,
      reaches: (vm, server) => this.#options.reach.reaches(vm, server),
      reachesAny: (vm) => this.#options.reach.reachesAny(vm),
      sinceLastMessageMs: (vm) => gossip.sinceLastMessageMs(vm),
      fetchMap: (peer) => this.#fetchMap(service, peer),
      publish: (update) => {
        // The leader waits for the status of all voters, so they get the map
        // directly.
        const voters = [...this.#voters];
        gossip.send(messages.RANGE_MAP_METHOD, update, voters);
        gossip.broadcast(messages.RANGE_MAP_METHOD, update);
        gossip.notifyVoters();
      },
      notifyVoters: () => gossip.notifyVoters(),
      onChange: () => {
        this.#collectVoters();
        this.#listeners.notify(service);
      },
    });
  }

  #desiredLeaseFor(
    service: contracts.ServiceId,
    routes: readonly contracts.Route[],
  ): number {
    const { timings, maxLeaseMs } = this.#options;
    const targetsMs = routes
      .filter(({ targets }) => targets.some((it) => it.service === service))
      .map(({ targetLatencyMs }) => targetLatencyMs);
    const limits = { leastMs: timings.holdMs, mostMs: maxLeaseMs };
    return grants.desiredLeaseMs(targetsMs, limits);
  }

  /**
   * Lease duration of a server that is to get few calls: it has a limit, or asks
   * for no calls for longer than its leases last. Undefined for any other one.
   */
  #sparingLeaseMs(
    service: contracts.ServiceId,
    server: contracts.ServerId,
  ): number | undefined {
    const { limitOf, maxLeaseMs, timings, backoffs } = this.#options;
    const limitPerSecond = limitOf(server);
    if (limitPerSecond !== undefined) {
      return sparingLeaseMs(maxLeaseMs, limitPerSecond);
    }
    if (!backoffs.hasAny) return undefined;
    const usualMs = this.#desiredLeaseMs.get(service) ?? timings.holdMs;
    const delayMs = backoffs.longestDelayMs(server);
    if (delayMs === 0) return undefined;
    // Whole steps: each longer lease is a write of the range map.
    const steps = Math.ceil(delayMs / BACKOFF_LEASE_STEP_MS) + 1;
    const neededMs = Math.min(maxLeaseMs, steps * BACKOFF_LEASE_STEP_MS);
    return neededMs > usualMs ? neededMs : undefined;
  }

  /** Fetches the map from a peer; undefined without an answer. */
  async #fetchMap(
    service: contracts.ServiceId,
    peer: contracts.VmId,
  ): Promise<contracts.RangeMap | undefined> {
    const { gossip, rpc, log } = this.#options;
    const address = gossip.live.find(({ vm }) => vm === peer);
    if (address === undefined) return undefined;
    const answer = await rpc.call(address, {
      method: RANGE_MAP_RPC,
      name: service,
      resultSchema: contracts.rangeMapSchema,
    });
    if (answer.isOk()) return answer.value;
    log.warn("Fetching the range map from a peer failed.", {
      service,
      peer,
      reason: answer.error.message,
    });
    return undefined;
  }

  /** Calls a second with which all VMs renew the server's leases. */
  renewalsPerSecond(server: contracts.ServerId): number {
    let sum = 0;
    for (const service of this.#services.values()) {
      sum += service.renewalsPerSecond(server);
    }
    return sum;
  }

  #collectVoters(): void {
    this.#voters = new Set(
      [...this.#services.values()]
        .flatMap(({ map }) => map?.keeperSets.flat() ?? []),
    );
  }

  #grantPeers(): readonly GrantPeer[] {
    const { gossip, self, health, isLeaving } = this.#options;
    const peers: GrantPeer[] = [...gossip.live];
    if (!isLeaving() || peers.length === 0) {
      peers.push({ ...self, hasStore: health.isReachable });
    }
    return peers;
  }

  #sendKeyCounts(): void {
    const { gossip, self, clock, latencyFactorsOf } = this.#options;
    const intervalMs = Math.max(
      KEY_COUNTS_INTERVAL_MS,
      gossip.vmCount * KEY_COUNTS_PER_VM_MS,
    );
    if (clock.nowMs() - this.#countsSentAtMs < intervalMs) return;
    this.#countsSentAtMs = clock.nowMs();
    for (const [service, counts] of this.#counts) {
      if (counts.size === 0) continue;
      const flatCounts = [...counts].sort((a, b) => b[1] - a[1])
        .slice(0, MAX_KEYS_PER_MESSAGE).flat();
      counts.clear();
      const grantsOfService = this.#services.get(service)!;
      const leader = grantsOfService.leaderVm;
      const serverFactors = Object.fromEntries(latencyFactorsOf(service));
      const message = { service, counts: flatCounts, serverFactors };
      if (leader === self.vm) grantsOfService.noteKeyCounts(message);
      else if (leader !== undefined) {
        gossip.send(messages.KEY_COUNTS_METHOD, message, [leader]);
      }
    }
  }
}
