/** Ownership of all keyed services on one entry VM. */
import * as contracts from "@guavatide/contracts";
import type * as admission from "@guavatide/decisions/admission/mod";
import * as grants from "@guavatide/decisions/grants/mod";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { SuspensionClock } from "../utils/clock.ts";
import type { LifeCycle, RegularWork } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { ConfigHolder } from "./config_holder.ts";
import type { MovePlannerOptions } from "./move_planner.ts";
import type { PeerRpc } from "./peer_rpc.ts";
import type { GossipIdentity, PeerGossip } from "./peer_gossip.ts";
import * as messages from "./peer_messages.ts";
import type { RangeMapStore } from "./range_map_store.ts";
import { type GrantPeer, ServiceGrants } from "./service_grants.ts";
import type { ServerRegistry } from "./server_registry.ts";
import type { StoreHealth } from "./store_health.ts";

/** Options of {@link GrantTask}. */
export interface GrantTaskOptions {
  readonly self: GossipIdentity;
  readonly timings: grants.GrantTimings;
  /** Longest grant that servers take. */
  readonly maxLeaseMs: number;
  readonly hasher: ownership.KeyHasher;
  readonly config: ConfigHolder;
  readonly registry: ServerRegistry;
  readonly gossip: PeerGossip;
  readonly rpc: PeerRpc;
  readonly maps: RangeMapStore;
  readonly control: contracts.GrantControl;
  readonly health: StoreHealth;
  readonly clock: SuspensionClock;
  readonly log: PartLog;
  readonly capacity: MovePlannerOptions["capacity"];
  readonly isCold: MovePlannerOptions["isCold"];
  /** How much longer than average servers take, as this VM's coordinator saw. */
  readonly latencyFactorsOf: (
    service: contracts.ServiceId,
  ) => ReadonlyMap<contracts.ServerId, number>;
  readonly isLeaving: () => boolean;
}

/** Interval of the regular work of a keeper or mover. */
const DUTY_TICK_MS = 40;
/** The same of any other VM. */
const TICK_MS = 200;
/** Least interval at which requests by key are sent to the mover. */
const KEY_COUNTS_MS = 200;
/** The interval for each VM, so that the mover takes a bounded number. */
const KEY_COUNTS_PER_VM_MS = 6;
const RANGE_MAP_CALL = "rangeMap";
/** Keys in one message; of more, the most requested are sent. */
const KEYS_PER_MESSAGE = 400;

/** Runs {@link ServiceGrants} for each keyed service. */
export class GrantTask {
  readonly #options: GrantTaskOptions;
  readonly #services = new Map<contracts.ServiceId, ServiceGrants>();
  readonly #counts = new Map<contracts.ServiceId, Map<number, number>>();
  /** Length of grants that the routes of each service need. */
  readonly #wishedHoldMs = new Map<contracts.ServiceId, number>();
  readonly #listeners: ((service: contracts.ServiceId) => void)[] = [];
  #keepers: ReadonlySet<contracts.VmId> = new Set();
  #suspensions = 0;
  #work: RegularWork | undefined;
  #countsSentAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: GrantTaskOptions) {
    this.#options = options;
    const { gossip } = options;
    gossip.onVoterStatus(({ status, askedAtMs, receivedAtMs }) => {
      for (const service of this.#services.values()) {
        service.noteVoterStatus(status, askedAtMs, receivedAtMs);
      }
      this.#noteRevisions(status);
    });
    gossip.onHello((hello) => this.#noteRevisions(hello));
    options.rpc.on(
      RANGE_MAP_CALL,
      (id) => this.#services.get(id as contracts.ServiceId)?.map,
    );
    gossip.on(
      messages.RANGE_MAP_METHOD,
      messages.rangeMapUpdateSchema,
      (news) => {
        const service = this.#services.get(news.map.service);
        const isNewer = news.map.revision > (service?.map?.revision ?? 0);
        service?.applyUpdate(news);
        // The mover waits until a majority of keepers knows the map.
        const mustTell = isNewer && this.#keepers.has(options.self.vm);
        if (mustTell) gossip.notifyVoters();
      },
    );
    gossip.on(
      messages.KEY_COUNTS_METHOD,
      messages.keyCountsSchema,
      (counts) => this.#services.get(counts.service)?.noteKeyCounts(counts),
    );
    options.config.onChange(() => this.#followConfig());
  }

  /** Starts the regular work. */
  start(lifeCycle: LifeCycle): void {
    this.#work = lifeCycle.every(TICK_MS, () => this.#tick());
    lifeCycle.every(KEY_COUNTS_MS, () => this.#sendKeyCounts());
  }

  /** Called when owners of a service's keys have changed. */
  onChange(listener: (service: contracts.ServiceId) => void): void {
    this.#listeners.push(listener);
  }

  /** Who owns a key of a service. */
  ownerOf(service: contracts.ServiceId, key: number): admission.KeyOwner {
    return this.#services.get(service)?.ownerOf(key) ?? { kind: "unknown" };
  }

  /** Whether the owners of all keyed services are known. */
  get areOwnersKnown(): boolean {
    return [...this.#services.values()].every(({ isMapKnown: isKnown }) =>
      isKnown
    );
  }

  /** Counts a request for a key. */
  noteRequest(service: contracts.ServiceId, key: number): void {
    const counts = this.#counts.get(service);
    counts?.set(key, (counts.get(key) ?? 0) + 1);
  }

  /** What all VMs are told of ownership. */
  ownHello(): Pick<messages.PeerHello, "maps"> {
    const maps: messages.PeerHello["maps"] = {};
    for (const [id, { mapStatus: word }] of this.#services) maps[id] = word;
    return { maps };
  }

  /** Whether this VM makes the moves of some service. */
  get isLeader(): boolean {
    return [...this.#services.values()].some(({ isLeader: isMover }) =>
      isMover
    );
  }

  /** VMs that answer for the maps of any service. */
  voters(): ReadonlySet<contracts.VmId> {
    return this.#keepers;
  }

  #noteRevisions(
    { maps, vm }: Pick<messages.PeerHello, "maps" | "vm">,
  ): void {
    for (const [id, service] of this.#services) {
      service.notePeerRevision(maps[id]?.[0] ?? 0, vm);
    }
  }

  /** What the other keepers are told of this VM's grants. */
  ownVoterState(): Pick<
    messages.VoterStatus,
    "grantAgesMs" | "silentServers"
  > {
    const grantAgesMs: messages.VoterStatus["grantAgesMs"] = {};
    const silentServers: string[] = [];
    for (const service of this.#services.values()) {
      for (const [server, ages] of service.grantAgesMs) {
        grantAgesMs[server] = ages;
      }
      silentServers.push(...service.unresponsiveServers);
    }
    return { grantAgesMs, silentServers };
  }

  /** Services with their map, for metrics. */
  maps(): ReadonlyMap<contracts.ServiceId, contracts.RangeMap | undefined> {
    return new Map([...this.#services].map(([id, { map }]) => [id, map]));
  }

  #tick(): void {
    const { clock, log } = this.#options;
    clock.nowMs();
    if (clock.suspensions !== this.#suspensions) {
      this.#suspensions = clock.suspensions;
      log.warn("The machine was suspended; evidence is dropped.");
      for (const service of this.#services.values()) service.noteSuspension();
    }
    for (const service of this.#services.values()) service.tick();
    const hasDuty = this.isLeader || this.#keepers.has(this.#options.self.vm);
    this.#work?.setIntervalMs(hasDuty ? DUTY_TICK_MS : TICK_MS);
  }

  #followConfig(): void {
    const { services, routes } = this.#options.config.active!.config;
    for (const { name, isKeyed } of services.values()) {
      if (!isKeyed) continue;
      this.#wishedHoldMs.set(name, this.#holdMsFor(name, routes));
      if (this.#services.has(name)) continue;
      this.#services.set(name, this.#create(name));
      this.#counts.set(name, new Map());
    }
    for (const id of this.#services.keys()) {
      if (services.get(id)?.isKeyed) continue;
      this.#services.delete(id);
      this.#counts.delete(id);
      this.#wishedHoldMs.delete(id);
    }
  }

  #create(service: contracts.ServiceId): ServiceGrants {
    const { gossip, self } = this.#options;
    return new ServiceGrants({
      ...this.#options,
      ...self,
      service,
      peers: () => this.#peers(),
      desiredLeaseMs: () =>
        this.#wishedHoldMs.get(service) ?? this.#options.timings.holdMs,
      sinceLastMessageMs: (vm) => gossip.sinceLastMessageMs(vm),
      fetchMap: (peer) => this.#askMap(service, peer),
      publish: (news) => {
        // Keepers whose status the mover waits for get the map directly.
        const keepers = [...this.#keepers];
        gossip.send(messages.RANGE_MAP_METHOD, news, keepers);
        gossip.broadcast(messages.RANGE_MAP_METHOD, news);
        gossip.notifyVoters();
      },
      notifyVoters: () => gossip.notifyVoters(),
      onChange: () => {
        this.#gatherKeepers();
        for (const listener of this.#listeners) listener(service);
      },
    });
  }

  #holdMsFor(
    service: contracts.ServiceId,
    routes: readonly contracts.Route[],
  ): number {
    const { timings, maxLeaseMs: longestGrantMs } = this.#options;
    const targetsMs = routes
      .filter(({ targets }) => targets.some((it) => it.service === service))
      .map(({ targetLatencyMs }) => targetLatencyMs);
    const limits = { leastMs: timings.holdMs, mostMs: longestGrantMs };
    return grants.desiredLeaseMs(targetsMs, limits);
  }

  /** The map as a peer knows it; undefined without an answer. */
  async #askMap(
    service: contracts.ServiceId,
    peer: contracts.VmId,
  ): Promise<contracts.RangeMap | undefined> {
    const { gossip, rpc: calls, log } = this.#options;
    const address = gossip.live.find(({ vm }) => vm === peer);
    if (address === undefined) return undefined;
    const answer = await calls.call(address, {
      method: RANGE_MAP_CALL,
      name: service,
      resultSchema: contracts.rangeMapSchema,
    });
    if (answer.isOk()) return answer.value;
    log.warn("A peer did not tell its range map.", {
      service,
      peer,
      reason: answer.error.message,
    });
    return undefined;
  }

  #gatherKeepers(): void {
    this.#keepers = new Set(
      [...this.#services.values()]
        .flatMap(({ map }) => map?.keeperSets.flat() ?? []),
    );
  }

  #peers(): readonly GrantPeer[] {
    const { gossip, self, health, isLeaving } = this.#options;
    const peers: GrantPeer[] = [...gossip.live];
    if (!isLeaving() || peers.length === 0) {
      peers.push({ ...self, hasStore: health.isReachable });
    }
    return peers;
  }

  #sendKeyCounts(): void {
    const { gossip, self, clock, latencyFactorsOf: serverFactorsOf } =
      this.#options;
    const intervalMs = gossip.vmCount * KEY_COUNTS_PER_VM_MS;
    if (clock.nowMs() - this.#countsSentAtMs < intervalMs) return;
    this.#countsSentAtMs = clock.nowMs();
    for (const [service, counts] of this.#counts) {
      if (counts.size === 0) continue;
      const told = [...counts].sort((a, b) => b[1] - a[1])
        .slice(0, KEYS_PER_MESSAGE).flat();
      counts.clear();
      const owner = this.#services.get(service)!;
      const mover = owner.leaderVm;
      const serverFactors = Object.fromEntries(serverFactorsOf(service));
      const message = { service, counts: told, serverFactors };
      if (mover === self.vm) owner.noteKeyCounts(message);
      else if (mover !== undefined) {
        gossip.send(messages.KEY_COUNTS_METHOD, message, [mover]);
      }
    }
  }
}
