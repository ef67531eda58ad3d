/**
 * Backend servers and entry VMs from the platform's VM list, which lags behind,
 * merged with the drain reports of servers. When the list can't be fetched, the
 * previous one stays in use.
 */
import type * as contracts from "@guavatide/contracts";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { Logger } from "../utils/log.ts";

/** Time for which a server's report that it is draining stays valid. */
const DRAIN_REPORT_TTL_MS = 15_000;

/** Options of {@link ServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly vmList: contracts.VmList;
  /** Interval of polls; a poll times out after twice this time. */
  readonly pollIntervalMs: number;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** Polls the VM list and looks up addresses of servers. */
export class ServerDirectory implements ServerView {
  readonly #options: ServerDirectoryOptions;
  readonly #byId = new Map<contracts.ServerId, ServerAddress>();
  readonly #byService = new Map<contracts.ServiceId, ServerAddress[]>();
  /** Monotonic time of the last drain report of each server. */
  readonly #drainReportedMs = new Map<contracts.ServerId, number>();
  #operatorDrains: ReadonlySet<contracts.ServerId> = new Set();
  #vms: contracts.ListedVm[] = [];
  readonly #listeners = new Set<(vms: contracts.ListedVm[]) => void>();
  #isPolling = false;

  constructor(options: ServerDirectoryOptions) {
    this.#options = options;
  }

  /** Polls until the process stops. Resolves after the first attempt. */
  async start(lifeCycle: LifeCycle): Promise<void> {
    lifeCycle.every(
      this.#options.pollIntervalMs,
      () => this.#poll(),
      "server directory",
    );
    await this.#poll();
  }

  /** Registers a listener for every list that is fetched. */
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
    const isNew = !this.saysDraining(id);
    this.#drainReportedMs.set(id, this.#options.clock.nowMs());
    if (!isNew) return;
    const known = this.#byId.get(id);
    if (known === undefined) return;
    this.#options.log.info("server is draining and gets no new requests", {
      server: id,
    });
    this.#put({ ...known, state: "draining" });
  }

  /**
   * Whether the server itself has a recent report that it is draining. The end
   * of draining may go unreported, for example after a restart under the same
   * id, so a report expires; otherwise the server would never get work again.
   */
  saysDraining(id: contracts.ServerId): boolean {
    const reportedMs = this.#drainReportedMs.get(id);
    return reportedMs !== undefined &&
      this.#options.clock.nowMs() < reportedMs + DRAIN_REPORT_TTL_MS;
  }

  /** Records that the server takes work again, for example after a restart. */
  noteNotDraining(id: contracts.ServerId): void {
    if (!this.#drainReportedMs.delete(id) || this.#operatorDrains.has(id)) {
      return;
    }
    const known = this.#byId.get(id);
    if (known?.state === "draining") this.#put({ ...known, state: "live" });
  }

  /** Replaces the set of servers that operators drain. */
  setOperatorDrains(servers: Iterable<contracts.ServerId>): void {
    this.#operatorDrains = new Set(servers);
    this.#rebuildIndex();
  }

  async #poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    const result = await this.#options.vmList.fetch({
      timeoutMs: this.#options.pollIntervalMs * 2,
    });
    this.#isPolling = false;
    if (result.isErr()) {
      this.#options.log.warn(
        "VM list could not be fetched, the previous one stays in use",
        {
          reason: result.error.message,
        },
      );
      return;
    }
    this.#apply(result.value.vms);
  }

  #rebuildIndex(): void {
    this.#byId.clear();
    this.#byService.clear();
    for (const vm of this.#vms) {
      const address = this.#toAddress(vm);
      if (address !== undefined) this.#put(address);
    }
  }

  #apply(vms: contracts.ListedVm[]): void {
    this.#vms = vms;
    this.#rebuildIndex();
    for (const listener of this.#listeners) listener(vms);
  }

  #toAddress(vm: contracts.ListedVm): ServerAddress | undefined {
    if (vm.kind !== "backend") return undefined;
    if (vm.server === undefined || vm.service === undefined) return undefined;
    const hasDrainRequest = this.saysDraining(vm.server) ||
      this.#operatorDrains.has(vm.server);
    const isDraining = hasDrainRequest && vm.state === "live";
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
