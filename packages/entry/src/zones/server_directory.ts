/**
 * Backend servers and entry VMs as the platform's lagging list gives them,
 * joined with what servers say themselves. A list that cannot be had leaves
 * the last one in place.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";

/** How long a server's word that it drains counts, unless it is repeated. */
const DRAIN_REPORT_TTL_MS = 15_000;

/** Options of {@link ServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly vmList: contracts.VmList;
  readonly pollIntervalMs: number;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** Polls the VM list and answers where servers are. */
export class ServerDirectory implements ServerView {
  readonly #options: ServerDirectoryOptions;
  readonly #byId = new Map<contracts.ServerId, ServerAddress>();
  readonly #byService = new Map<contracts.ServiceId, ServerAddress[]>();
  /** Servers that said so themselves, with the time of their last word. */
  readonly #drainingSinceMs = new Map<contracts.ServerId, number>();
  #operatorDrains: ReadonlySet<contracts.ServerId> = new Set();
  #vms: contracts.ListedVm[] = [];
  readonly #listeners = new Set<(vms: contracts.ListedVm[]) => void>();
  #isPolling = false;

  constructor(options: ServerDirectoryOptions) {
    this.#options = options;
  }

  /** Polls until the process stops. Resolves after the first poll. */
  async start(lifeCycle: LifeCycle): Promise<void> {
    lifeCycle.every(this.#options.pollIntervalMs, () => void this.#poll());
    await this.#poll();
  }

  /** Calls back with every list that arrives. */
  onVmList(listener: (vms: contracts.ListedVm[]) => void): void {
    this.#listeners.add(listener);
  }

  servers(service: contracts.ServiceId): readonly ServerAddress[] {
    return this.#byService.get(service) ?? [];
  }

  server(id: contracts.ServerId): ServerAddress | undefined {
    return this.#byId.get(id);
  }

  noteDraining(id: contracts.ServerId): void {
    const isNews = !this.saysDraining(id);
    this.#drainingSinceMs.set(id, this.#options.clock.nowMs());
    if (!isNews) return;
    const known = this.#byId.get(id);
    if (known === undefined) return;
    this.#options.log.info("server drains and gets no new work", {
      server: id,
    });
    this.#put({ ...known, state: "draining" });
  }

  /**
   * Whether the server itself said lately that it drains. Nobody may tell when
   * that is over, for example after a restart under the same id, and such a
   * server would get no work for good; so it is asked again after a while.
   */
  saysDraining(id: contracts.ServerId): boolean {
    const sinceMs = this.#drainingSinceMs.get(id);
    return sinceMs !== undefined &&
      this.#options.clock.nowMs() < sinceMs + DRAIN_REPORT_TTL_MS;
  }

  /** The server takes work again, for example after a restart. */
  noteNotDraining(id: contracts.ServerId): void {
    if (!this.#drainingSinceMs.delete(id) || this.#operatorDrains.has(id)) {
      return;
    }
    const known = this.#byId.get(id);
    if (known?.state === "draining") this.#put({ ...known, state: "live" });
  }

  /** Takes the servers that operators drain, in place of the last set. */
  setOperatorDrains(servers: Iterable<contracts.ServerId>): void {
    this.#operatorDrains = new Set(servers);
    this.#index();
  }

  async #poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    const result = await this.#options.vmList.fetch({
      timeoutMs: this.#options.pollIntervalMs * 2,
    });
    this.#isPolling = false;
    if (result.isErr()) {
      this.#options.log.warn("VM list not read, the last one stays", {
        reason: result.error.message,
      });
      return;
    }
    this.#apply(result.value.vms);
  }

  #index(): void {
    this.#byId.clear();
    this.#byService.clear();
    for (const vm of this.#vms) {
      const address = this.#toAddress(vm);
      if (address !== undefined) this.#put(address);
    }
  }

  #apply(vms: contracts.ListedVm[]): void {
    this.#vms = vms;
    this.#index();
    for (const listener of this.#listeners) listener(vms);
  }

  #toAddress(vm: contracts.ListedVm): ServerAddress | undefined {
    if (vm.kind !== "backend") return undefined;
    if (vm.server === undefined || vm.service === undefined) return undefined;
    const isTold = this.saysDraining(vm.server) ||
      this.#operatorDrains.has(vm.server);
    const isDraining = isTold && vm.state === "live";
    return {
      server: vm.server,
      service: vm.service,
      zone: vm.zone,
      host: vm.host,
      port: vm.port,
      state: isDraining ? "draining" : vm.state,
    };
  }

  #put(address: ServerAddress): void {
    this.#byId.set(address.server, address);
    const others = (this.#byService.get(address.service) ?? [])
      .filter((other) => other.server !== address.server);
    this.#byService.set(address.service, [...others, address]);
  }
}
