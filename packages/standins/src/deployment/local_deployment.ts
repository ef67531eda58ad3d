/**
 * Starts a whole deployment on this machine as separate processes: store, VM
 * list, backend servers and entry VMs, for the demo, the bench and the
 * proofs. Every process is ended by `stop`.
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
/** Bearer token of the one operator of a local deployment. */
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
  /** Replaces the store's address for entry VMs, for example by a relay. */
  readonly storeUrlFor?: (vm: string, storeUrl: string) => Promise<string>;
  /** Lag of the VM list. */
  readonly vmListLagMs?: number;
  /** Folder in which each backend server keeps its journal. */
  readonly journalFolder?: string;
  /** Replaces a backend server's listed port, for example by a relay's. */
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

  /** Starts every process of the plan. Errors: rejects, all ended. */
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

  /** Where callers reach an entry VM. */
  callerUrl(vm: string): string {
    return processes.originOf(this.entries.get(vm)!.ports.callers);
  }

  /** Where monitoring reaches an entry VM. */
  metricsUrl(vm: string): string {
    return processes.originOf(this.entries.get(vm)!.ports.metrics);
  }

  /** Where operators reach an entry VM. */
  administrationUrl(vm: string): string {
    return processes.originOf(this.entries.get(vm)!.ports.administration);
  }

  /** Sets faults of the store, the VM list or one backend server. */
  async setFaults(target: "store" | "vm-list" | string, faults: object) {
    await processes.postJson(`${this.#controlUrl(target)}/faults`, faults);
  }

  /** Starts a backend server and lists it. */
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

  /** Where a backend server keeps its journal, if it does. */
  journalFileOf(server: string): string | undefined {
    const { journalFolder } = this.#options;
    if (journalFolder === undefined) return undefined;
    return path.join(journalFolder, `${server}.jsonl`);
  }

  /** Restarts an ended backend server on its old port. */
  async restartServer(id: string): Promise<void> {
    const server = this.servers.get(id)!;
    await this.startServer({ ...server.argument, port: server.port });
  }

  /** Puts a backend server on the VM list. */
  async addToVmList(id: string, state: "live" | "leaving"): Promise<void> {
    const { argument, port } = this.servers.get(id)!;
    const { server, service, zone } = argument;
    const listedPort = await this.#options.listedPortFor?.(id, port) ?? port;
    await this.#changeList({
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

  /** Takes a VM or a backend server off the list. */
  async removeFromVmList(id: string): Promise<void> {
    await this.#changeList({ drop: [id] });
  }

  /** Starts an entry VM and lists it; a known one keeps its ports. */
  async startEntry(vm: string, zone: string): Promise<LocalEntryVm> {
    const program = await this.#runEntry(vm, zone);
    const ready = JSON.parse(program.readyLine) as { ready: wire.EntryPorts };
    const entry: LocalEntryVm = {
      vm: vm as contracts.VmId,
      zone: zone as contracts.ZoneId,
      program,
      ports: ready.ready,
    };
    this.entries.set(vm, entry);
    await this.#changeList({
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
   * The system may have given a lost VM's port to some outgoing connection
   * meanwhile; the VM then comes back on others, as the list and beats tell.
   */
  async #runEntry(vm: string, zone: string): Promise<processes.ChildProgram> {
    const ports = this.entries.get(vm)?.ports;
    try {
      return await this.#runEntryOn(vm, zone, ports);
    } catch (error) {
      const isPortTaken = String(error).includes("EADDRINUSE");
      if (ports === undefined || !isPortTaken) throw error;
      return await this.#runEntryOn(vm, zone, undefined);
    }
  }

  async #runEntryOn(
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

  /** Ends every process; what does not end in time is killed. */
  async stop(): Promise<void> {
    const all = [
      ...[...this.entries.values()].map((entry) => entry.program),
      ...[...this.servers.values()].map((server) => server.program),
    ];
    await Promise.all(all.map((program) => program.stop(STOP_TIMEOUT_MS)));
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
    await this.#publish();
    await Promise.all(
      this.#serverArguments().map((argument) => this.startServer(argument)),
    );
    await Promise.all(
      this.#entryNames().map(({ vm, zone }) => this.startEntry(vm, zone)),
    );
  }

  async #publish(): Promise<void> {
    const store = new platform.HttpPlatformStore(this.storeUrl);
    await publishing.publishInitial(store, plans.toConfigObjects(this.plan));
    await store.close();
  }

  #serverArguments(): processes.BackendSettingsInput[] {
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

  #entryNames(): { vm: string; zone: string }[] {
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

  async #changeList(change: object): Promise<void> {
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
