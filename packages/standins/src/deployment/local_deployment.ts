/**
 * Starts a complete deployment on this machine as separate processes: store,
 * VM list, backend servers and entry VMs. For the demo, benchmarks and
 * end-to-end tests. `stop` ends all processes.
 */
import type * as contracts from "@guavatide/contracts";
import * as platform from "guavatide/platform/mod";
import type * as wire from "guavatide/wire";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import type { BackendSettings } from "../backend_server/settings.ts";
import * as processes from "../processes/mod.ts";
import * as publishing from "./config_publish.ts";
import * as plans from "./deployment_plan.ts";

const STOP_TIMEOUT_MS = 20_000;
const PEER_SECRET = "local-deployment-secret";
/** Bearer token of the only operator of a local deployment. */
export const LOCAL_OPERATOR_TOKEN = "local-operator-token";

/** A running entry VM. */
export interface LocalEntryVm {
  readonly vm: contracts.VmId;
  readonly zone: contracts.ZoneId;
  program: processes.ChildProgram;
  ports: wire.EntryPorts;
}

/** A running backend server. */
export interface LocalServer {
  readonly argument: processes.BackendSettingsInput;
  program: processes.ChildProgram;
  port: number;
}

/** Options of {@link LocalDeployment.start}. */
export interface LocalDeploymentOptions {
  readonly plan: plans.DeploymentPlan;
  /** Merged into each entry VM's settings. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** Merged into each backend server's settings. */
  readonly backendSettings?: Partial<BackendSettings>;
  /** Store URL for an entry VM, for example that of a relay to the store. */
  readonly storeUrlFor?: (vm: string, storeUrl: string) => Promise<string>;
  /** Lag of the VM list; 0 by default. */
  readonly vmListLagMs?: number;
  /** Folder for the journals of the backend servers; none by default. */
  readonly journalFolder?: string;
  /** Port of a backend server in the VM list, for example that of a relay. */
  readonly listedPortFor?: (server: string, port: number) => Promise<number>;
}

/** All processes of one deployment. */
export class LocalDeployment {
  readonly plan: plans.DeploymentPlan;
  readonly entries = new Map<string, LocalEntryVm>();
  readonly servers = new Map<string, LocalServer>();
  readonly #options: LocalDeploymentOptions;
  readonly #folder: string;
  #store: processes.ChildProgram | undefined;
  #vmList: processes.ChildProgram | undefined;

  private constructor(options: LocalDeploymentOptions) {
    this.plan = options.plan;
    this.#options = options;
    this.#folder = fs.mkdtempSync(path.join(os.tmpdir(), "guavatide-"));
  }

  /**
   * Starts all processes of the plan. Errors: ends those already started and
   * rejects.
   */
  static async start(
    options: LocalDeploymentOptions,
  ): Promise<LocalDeployment> {
    const deployment = new LocalDeployment(options);
    try {
      await deployment.#startAll();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  get storeUrl(): string {
    return processes.originOf(this.#store!.port);
  }

  get vmListUrl(): string {
    return processes.originOf(this.#vmList!.port);
  }

  /** URL at which an entry VM serves callers. */
  callerUrl(vm: string): string {
    return processes.originOf(this.entries.get(vm)!.ports.callers);
  }

  /** URL at which an entry VM serves metrics. */
  metricsUrl(vm: string): string {
    return processes.originOf(this.entries.get(vm)!.ports.metrics);
  }

  /** URL at which an entry VM serves the administration API. */
  administrationUrl(vm: string): string {
    return processes.originOf(this.entries.get(vm)!.ports.administration);
  }

  /**
   * Sets faults of the store (`store`), the VM list (`vm-list`) or the backend
   * server with this id. Errors: rejects.
   */
  async setFaults(target: "store" | "vm-list" | string, faults: object) {
    await processes.postJson(`${this.#controlUrl(target)}/faults`, faults);
  }

  /** Starts a backend server and adds it to the VM list. */
  async startServer(
    argument: processes.BackendSettingsInput,
  ): Promise<LocalServer> {
    const program = await processes.startStandIn(
      "backend_server/backend_main",
      {
        ...this.#options.backendSettings,
        ...argument,
        journalFile: this.journalFileOf(argument.server),
      },
    );
    const server = { argument, program, port: program.port };
    this.servers.set(argument.server, server);
    await this.addToVmList(argument.server, "live");
    return server;
  }

  /** Path of a backend server's journal; undefined without a folder. */
  journalFileOf(server: string): string | undefined {
    const { journalFolder } = this.#options;
    if (journalFolder === undefined) return undefined;
    return path.join(journalFolder, `${server}.jsonl`);
  }

  /** Restarts an exited backend server on its previous port. */
  async restartServer(id: string): Promise<void> {
    const server = this.servers.get(id)!;
    await this.startServer({ ...server.argument, port: server.port });
  }

  /** Adds a backend server to the VM list or updates its entry. */
  async addToVmList(id: string, state: "live" | "leaving"): Promise<void> {
    const { argument, port } = this.servers.get(id)!;
    const { server, service, zone } = argument;
    const listedPort = await this.#options.listedPortFor?.(id, port) ?? port;
    await this.#changeVmList({
      put: [{
        kind: "backend",
        server,
        service,
        zone,
        host: "127.0.0.1",
        port: listedPort,
        state,
      }],
    });
  }

  /** Removes an entry VM or a backend server from the VM list. */
  async removeFromVmList(id: string): Promise<void> {
    await this.#changeVmList({ drop: [id] });
  }

  /**
   * Starts an entry VM and adds it to the VM list. One that was started before
   * reuses its ports where possible.
   */
  async startEntry(vm: string, zone: string): Promise<LocalEntryVm> {
    const program = await this.#startEntryProgram(vm, zone);
    const ready = JSON.parse(program.readyLine) as { ready: wire.EntryPorts };
    const entry: LocalEntryVm = {
      vm: vm as contracts.VmId,
      zone: zone as contracts.ZoneId,
      program,
      ports: ready.ready,
    };
    this.entries.set(vm, entry);
    await this.#changeVmList({
      put: [{
        kind: "entry",
        vm,
        zone,
        host: "127.0.0.1",
        port: entry.ports.peers,
        state: "live",
      }],
    });
    return entry;
  }

  /**
   * The operating system may have assigned a port of an exited VM to an outgoing
   * connection. The VM then restarts on other ports, which its peers learn from
   * the VM list and the heartbeats.
   */
  async #startEntryProgram(
    vm: string,
    zone: string,
  ): Promise<processes.ChildProgram> {
    const ports = this.entries.get(vm)?.ports;
    try {
      return await this.#startEntryProgramOn(vm, zone, ports);
    } catch (error) {
      const isPortTaken = String(error).includes("EADDRINUSE");
      if (ports === undefined || !isPortTaken) throw error;
      return await this.#startEntryProgramOn(vm, zone, undefined);
    }
  }

  async #startEntryProgramOn(
    vm: string,
    zone: string,
    ports: wire.EntryPorts | undefined,
  ): Promise<processes.ChildProgram> {
    const file = path.join(this.#folder, `${vm}.json`);
    const settings = await this.#entrySettings(vm, zone, ports);
    fs.writeFileSync(file, JSON.stringify(settings));
    return await processes.ChildProgram.start({
      name: vm,
      script: entryScript(),
      args: ["run", file],
      isReady: (line) => line.startsWith('{"ready":'),
    });
  }

  /** Stops all processes; kills those that do not exit within 20 s. */
  async stop(): Promise<void> {
    const programs = [
      ...[...this.entries.values()].map((entry) => entry.program),
      ...[...this.servers.values()].map((server) => server.program),
    ];
    await Promise.all(programs.map((program) => program.stop(STOP_TIMEOUT_MS)));
    await this.#store?.stop(STOP_TIMEOUT_MS);
    await this.#vmList?.stop(STOP_TIMEOUT_MS);
    fs.rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startAll(): Promise<void> {
    this.#store = await processes.startStandIn(
      "platform_store/store_main",
      {},
    );
    this.#vmList = await processes.startStandIn("vm_list/vm_list_main", {
      lagMs: this.#options.vmListLagMs ?? 0,
    });
    await this.#publishConfig();
    await Promise.all(
      this.#plannedServers().map((argument) => this.startServer(argument)),
    );
    await Promise.all(
      this.#plannedEntries().map(({ vm, zone }) => this.startEntry(vm, zone)),
    );
  }

  async #publishConfig(): Promise<void> {
    const store = new platform.HttpPlatformStore(this.storeUrl);
    await publishing.publishInitial(store, plans.toConfigObjects(this.plan));
    await store.close();
  }

  #plannedServers(): processes.BackendSettingsInput[] {
    return this.plan.services.flatMap((service) =>
      Array.from({ length: service.servers }, (_, index) => ({
        server: `${service.name}-${index + 1}` as contracts.ServerId,
        service: service.name as contracts.ServiceId,
        zone: this.#zoneAt(index),
        slots: service.slots,
        keyed: service.keyed,
        connectionLimit: this.plan.connectionsPerServer,
        linkDelayMs: this.plan.linkDelayMs,
        ...(service.checksFences === undefined
          ? {}
          : { checksFences: service.checksFences }),
        ...(service.serviceTimeMs === undefined
          ? {}
          : { serviceTimeMs: service.serviceTimeMs }),
      }))
    );
  }

  #plannedEntries(): { vm: string; zone: string }[] {
    return Array.from({ length: this.plan.entryVms }, (_, index) => ({
      vm: `entry-${index + 1}`,
      zone: this.#zoneAt(index),
    }));
  }

  #zoneAt(index: number): contracts.ZoneId {
    const { zones } = this.plan;
    return zones[index % zones.length] as contracts.ZoneId;
  }

  async #entrySettings(
    vm: string,
    zone: string,
    ports?: wire.EntryPorts,
  ): Promise<object> {
    const storeUrl = await this.#options.storeUrlFor?.(vm, this.storeUrl) ??
      this.storeUrl;
    return {
      vm,
      zone,
      region: this.plan.region,
      host: "127.0.0.1",
      ports: ports ??
        { callers: 0, peers: 0, administration: 0, metrics: 0 },
      platform: { storeUrl, vmListUrl: this.vmListUrl },
      peerSecret: PEER_SECRET,
      administration: { tokens: [localOperator()] },
      log: { format: "text", level: "info" },
      ...this.#options.entrySettings,
    };
  }

  #controlUrl(target: string): string {
    if (target === "store") return this.storeUrl;
    if (target === "vm-list") return this.vmListUrl;
    return processes.originOf(this.servers.get(target)!.port);
  }

  async #changeVmList(change: object): Promise<void> {
    await processes.postJson(`${this.vmListUrl}/vms/change`, change);
  }
}

function localOperator(): object {
  const digest = crypto.createHash("sha256").update(LOCAL_OPERATOR_TOKEN);
  return {
    tokenSha256: digest.digest("hex"),
    operator: "local-operator",
    partners: "*",
    rights: ["read", "edit", "publish", "drain"],
  };
}

function entryScript(): string {
  return url.fileURLToPath(import.meta.resolve("guavatide/main"));
}
