/**
 * Delivers the published configuration to this entry VM. Two VMs watch the
 * store. All others learn of a new revision from heartbeats and fetch it from a
 * peer. A few VMs, picked at random each time, also compare their revision with
 * the store in case a watch has stalled. The configuration in force is never
 * replaced by an older revision.
 */
import type * as contracts from "@guavatide/contracts";
import * as decisions from "@guavatide/decisions";
import type { ConfigView } from "../contracts/views.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";
import { ConfigReader } from "./config_reader.ts";
import type { ConfigReadError } from "./current_config.ts";
import type { ConfigProvider, PeerConfigSource } from "./peer_config_source.ts";
import * as storeWatch from "./store_watch.ts";

/** Options of {@link ConfigTask}. */
export interface ConfigTaskOptions {
  readonly vm: contracts.VmId;
  readonly store: contracts.PlatformStore;
  readonly peers: PeerConfigSource;
  readonly watcherSelector: decisions.WatcherSelector;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly log: Logger;
  /** Maximum wait of one long poll of the store watch. */
  readonly watchWaitMs: number;
  /** Mean time between random decisions whether to compare with the store. */
  readonly compareIntervalMs: number;
  /** After a start, how long to collect peers' revisions before a fetch. */
  readonly peerDiscoveryMs: number;
  /** Timeout of one store call. */
  readonly storeTimeoutMs: number;
  /** Timeout of one call to a peer. */
  readonly peerTimeoutMs: number;
}

/** The revision that an entry VM last reported to have in force. */
export interface VmRevision {
  readonly vm: contracts.VmId;
  readonly revision: number;
  /** Age of the report; 0 for this VM. */
  readonly ageMs: number;
}

/** Called after a configuration has come into force. */
export type ConfigListener = (config: contracts.PublishedConfig) => void;

/** Holds the configuration in force and keeps it up to date. */
export class ConfigTask implements ConfigView, ConfigProvider {
  readonly #options: ConfigTaskOptions;
  readonly #state: decisions.ConfigState;
  readonly #history = new decisions.ConfigHistory();
  readonly #reader: ConfigReader;
  readonly #watch: storeWatch.StoreWatch;
  readonly #listeners = new Set<ConfigListener>();
  readonly #peerRevisions = new Map<
    contracts.VmId,
    { readonly revision: number; readonly atMs: number }
  >();
  #services = new Map<contracts.ServiceId, contracts.Service>();
  #partners = new Map<contracts.PartnerId, contracts.Partner>();
  #confirmedAtMs: number | undefined;
  #isFetching = false;
  #isFullFetchNeeded = false;

  constructor(options: ConfigTaskOptions) {
    this.#options = options;
    this.#state = new decisions.ConfigState({
      peerDiscoveryMs: options.peerDiscoveryMs,
      startedMs: options.clock.nowMs(),
    });
    this.#reader = new ConfigReader({
      store: options.store,
      callTimeoutMs: options.storeTimeoutMs,
    });
    this.#watch = new storeWatch.StoreWatch({
      ...options,
      waitMs: options.watchWaitMs,
      callTimeoutMs: options.storeTimeoutMs,
      roleCheckIntervalMs: options.peerDiscoveryMs,
      isWatcher: () => this.isWatcher,
      onObject: (stored) => this.#applyStored(stored),
    });
    options.peers.serve(this);
  }

  get revision(): number {
    return this.#state.revision;
  }

  /** The configuration in force. Undefined until the first one arrives. */
  get config(): contracts.PublishedConfig | undefined {
    return this.#state.config;
  }

  /** Whether this VM is one of the watchers of the store. */
  get isWatcher(): boolean {
    const live = this.#options.peers.liveVms();
    return this.#options.watcherSelector.select(live).includes(
      this.#options.vm,
    );
  }

  /** Time since the store last confirmed the revision in force, if ever. */
  get confirmedAgeMs(): number | undefined {
    return this.#confirmedAtMs === undefined
      ? undefined
      : this.#options.clock.nowMs() - this.#confirmedAtMs;
  }

  service(id: contracts.ServiceId): contracts.Service | undefined {
    return this.#services.get(id);
  }

  /** All services in force. */
  services(): readonly contracts.Service[] {
    return [...this.#services.values()];
  }

  partner(id: contracts.PartnerId): contracts.Partner | undefined {
    return this.#partners.get(id);
  }

  /** Servers that operators have drained. */
  drains(): readonly contracts.Drain[] {
    return this.config?.drains ?? [];
  }

  /** Calls the listener after each configuration that comes into force. */
  onApplied(listener: ConfigListener): void {
    this.#listeners.add(listener);
  }

  /** Revision in force at each live entry VM, this one first. */
  revisions(): readonly VmRevision[] {
    const nowMs = this.#options.clock.nowMs();
    const own = { vm: this.#options.vm, revision: this.revision, ageMs: 0 };
    const live = new Set(this.#options.peers.liveVms());
    const others = [...this.#peerRevisions]
      .filter(([vm]) => live.has(vm))
      .map(([vm, { revision, atMs }]) => ({
        vm,
        revision,
        ageMs: Math.round(nowMs - atMs),
      }))
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
    return [own, ...others];
  }

  /** Starts watching and comparing, until the process stops. */
  start(lifeCycle: LifeCycle): void {
    const { signal } = lifeCycle;
    lifeCycle.runLoop(
      "watch of the configuration",
      () => this.#watch.run(signal),
    );
    lifeCycle.runLoop(
      "comparison of the configuration",
      () => this.#compareLoop(signal),
    );
  }

  /** Applies a publish through this VM that the store has acknowledged. */
  notePublished(config: contracts.PublishedConfig): void {
    this.#confirmedAtMs = this.#options.clock.nowMs();
    this.#offer(config, "publisher");
    this.#options.peers.announce();
  }

  notePeerRevision(vm: contracts.VmId, revision: number): void {
    this.#peerRevisions.set(vm, {
      revision,
      atMs: this.#options.clock.nowMs(),
    });
    this.#state.notePeerRevision(vm, revision);
    void this.#fetchFromPeer();
  }

  deltaSince(haveRevision: number): decisions.ConfigDelta | undefined {
    return this.#history.since(haveRevision);
  }

  async #fetchFromPeer(): Promise<void> {
    if (this.#isFetching) return;
    const vm = this.#state.nextFetch(this.#options.clock.nowMs());
    if (vm === undefined) return;
    this.#isFetching = true;
    const haveRevision = this.#isFullFetchNeeded ? 0 : this.revision;
    const fetched = await this.#options.peers.fetch(vm, {
      haveRevision,
      timeoutMs: this.#options.peerTimeoutMs,
    });
    this.#isFetching = false;
    const delta = fetched.unwrapOr(null);
    // The next heartbeat of a peer with a newer revision triggers a retry.
    if (delta === null) return this.#state.noteFetchFailed(vm);
    const config = decisions.applyDelta(this.config, delta);
    // The delta doesn't fit if this VM applied another revision meanwhile.
    this.#isFullFetchNeeded = config === undefined;
    if (config !== undefined) this.#offer(config, "peer", vm);
  }

  async #compareLoop(signal: AbortSignal): Promise<void> {
    const { compareIntervalMs, random } = this.#options;
    let waitMs = compareIntervalMs * random.next();
    while (!signal.aborted) {
      await storeWatch.sleep(waitMs, signal);
      if (signal.aborted) return;
      const members = this.#options.peers.liveVms().length;
      if (decisions.shouldCompare(members, random)) await this.#compare();
      waitMs = compareIntervalMs * (0.5 + random.next());
    }
  }

  async #compare(): Promise<void> {
    const before = this.revision;
    const read = await this.#reader.readNewer(before);
    if (read.isErr()) {
      if (read.error.kind === "not-found") this.#noteConfirmed();
      else this.#logReadError(read.error);
      return;
    }
    this.#noteConfirmed();
    const found = read.value;
    // The watch may have delivered it while the store answered.
    if (found === undefined || found.config.revision <= this.revision) return;
    if (before > 0 && this.isWatcher) {
      this.#options.log.warn("store watch missed a revision, restarting it", {
        revision: found.config.revision,
      });
      this.#watch.restart();
    }
    this.#offer(found.config, "store");
  }

  async #applyStored(stored: contracts.StoredObject): Promise<void> {
    const read = await this.#reader.decodeNewer(stored, this.revision);
    if (read.isErr()) return this.#logReadError(read.error);
    this.#noteConfirmed();
    if (read.value !== undefined) this.#offer(read.value.config, "store");
  }

  #offer(
    config: contracts.PublishedConfig,
    source: decisions.ConfigSource,
    vm?: contracts.VmId,
  ): void {
    const result = this.#state.offer(config);
    const fields = { revision: config.revision, source, vm };
    switch (result.kind) {
      case "applied":
        this.#indexObjects(config);
        this.#options.log.info("configuration in force", {
          ...fields,
          from: result.from,
          by: config.publishedBy,
        });
        for (const listener of this.#listeners) listener(config);
        return;
      case "mismatch":
        this.#options.log.error(
          "received the same revision with different objects, publish again",
          fields,
        );
        return;
      case "older":
        this.#options.log.debug("older configuration ignored", {
          ...fields,
          inForce: result.inForce,
        });
        return;
      case "same":
        return;
    }
  }

  #indexObjects(config: contracts.PublishedConfig): void {
    this.#history.add(config);
    this.#services = new Map();
    this.#partners = new Map();
    for (const object of config.objects) {
      if (object.kind === "service") this.#services.set(object.name, object);
      if (object.kind === "partner") this.#partners.set(object.name, object);
    }
  }

  #noteConfirmed(): void {
    this.#confirmedAtMs = this.#options.clock.nowMs();
  }

  /** Logs the error. The next comparison retries. */
  #logReadError(error: ConfigReadError): void {
    const fields = { kind: error.kind, reason: error.message };
    if (error.kind === "unavailable") {
      this.#options.log.debug("published configuration not read", fields);
    } else {
      this.#options.log.error("published configuration not read", fields);
    }
  }
}
