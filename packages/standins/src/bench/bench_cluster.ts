/** Starts and stops the processes of one bench run. */
import type * as contracts from "@guavatide/contracts";
import * as url from "node:url";
import { ChildProgram } from "../processes/child_program.ts";
import * as standIns from "../processes/stand_ins.ts";
import type {
  CallerArgument,
  EntrySetup,
  EntryUsage,
} from "./bench_messages.ts";
import type { BenchService } from "./bench_scenarios.ts";
import type { JournalEntry } from "../backend_server/journal.ts";

/** Options of {@link BenchCluster.start}. */
export interface BenchClusterOptions {
  readonly service: BenchService;
  readonly policy: string;
  readonly meanServiceMs: number;
  readonly seed: number;
  /** Folder for CPU profiles of the entry processes. */
  readonly profileFolder?: string;
}

/** Sigma of the lognormal run times; their median is below the mean. */
const SERVICE_TIME_SIGMA = 0.5;
const COLD_START_MS = 1000;
const STOP_TIMEOUT_MS = 10_000;

interface BackendProgram {
  readonly server: contracts.ServerId;
  readonly zone: contracts.ZoneId;
  program: ChildProgram;
  /** Journal entries of the server's former processes. */
  readonly journals: JournalEntry[];
}

interface EntryPorts {
  readonly callerPort: number;
  readonly peerPort: number;
}

/** Running clusters, to be killed if a signal stops the bench. */
const runningClusters = new Set<BenchCluster>();

/** Backend servers and entry VMs of one service. */
export class BenchCluster {
  readonly #options: BenchClusterOptions;
  readonly #backends: BackendProgram[] = [];
  readonly #entries: ChildProgram[] = [];

  private constructor(options: BenchClusterOptions) {
    this.#options = options;
  }

  /** Starts all processes. Errors: rejects if one doesn't start. */
  static async start(options: BenchClusterOptions): Promise<BenchCluster> {
    const cluster = new BenchCluster(options);
    runningClusters.add(cluster);
    try {
      await cluster.#startBackends();
      await cluster.#startEntries();
      await cluster.configureEntries();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  /** Kills every process of every cluster. */
  static killAll(): void {
    for (const cluster of runningClusters) {
      for (const program of cluster.#programs()) program.kill("SIGKILL");
    }
  }

  /** Origins of the entry VMs for callers. */
  get callerOrigins(): string[] {
    return this.#entries.map((entry) =>
      standIns.originOf(portsOf(entry).callerPort)
    );
  }

  get backendOrigins(): string[] {
    return this.#backends.map(({ program }) => standIns.originOf(program.port));
  }

  get backends(): readonly BackendProgram[] {
    return this.#backends;
  }

  get entries(): readonly ChildProgram[] {
    return this.#entries;
  }

  /** Sends the current servers and peers to every entry process. */
  async configureEntries(): Promise<void> {
    const body = this.#setup();
    await Promise.all(
      this.#entries.map((entry) =>
        standIns.postJson(`${standIns.originOf(entry.port)}/setup`, body)
      ),
    );
  }

  /** Kills a server and restarts it cold. */
  async restartCold(index: number): Promise<void> {
    const backend = this.#backends[index]!;
    backend.journals.push(...await this.#journalOf(backend));
    backend.program.kill("SIGKILL");
    await backend.program.exited();
    const { server, zone } = backend;
    backend.program = await this.#startBackend({ server, zone }, {
      coldStartMs: COLD_START_MS,
    });
    await this.configureEntries();
  }

  async usages(): Promise<EntryUsage[]> {
    return await Promise.all(
      this.#entries.map((entry) =>
        standIns.getJson(`${standIns.originOf(entry.port)}/usage`)
      ),
    ) as EntryUsage[];
  }

  /** Journal entries of all servers. */
  async journals(): Promise<JournalEntry[]> {
    const all = await Promise.all(this.#backends.map(async (backend) => [
      ...backend.journals,
      ...await this.#journalOf(backend),
    ]));
    return all.flat();
  }

  /** Runs a caller process to its end. Errors: rejects if it fails. */
  async runCaller(argument: CallerArgument): Promise<void> {
    const script = scriptOf("bench_caller_main");
    const caller = await ChildProgram.start({
      name: "caller",
      script,
      args: [JSON.stringify(argument)],
    });
    const end = await caller.exited();
    if (end.code === 0) return;
    throw new Error(
      `The caller process failed; its output was: ${caller.lines.join("\n")}`,
    );
  }

  /** Stops every process of this cluster. */
  async stop(): Promise<void> {
    runningClusters.delete(this);
    for (const { program } of this.#backends) program.kill("SIGKILL");
    const programs = this.#programs();
    await Promise.all(programs.map((program) => program.stop(STOP_TIMEOUT_MS)));
  }

  #programs(): ChildProgram[] {
    return [...this.#entries, ...this.#backends.map((it) => it.program)];
  }

  async #journalOf(backend: BackendProgram): Promise<JournalEntry[]> {
    const origin = standIns.originOf(backend.program.port);
    return await standIns.getJson(`${origin}/journal`) as JournalEntry[];
  }

  async #startBackends(): Promise<void> {
    const { service } = this.#options;
    const started = Array.from(
      { length: service.servers },
      async (_, index) => {
        const backend = {
          server: `s${index}` as contracts.ServerId,
          zone: service.zones[index % service.zones.length] as contracts.ZoneId,
        };
        const program = await this.#startBackend(backend, {});
        return { ...backend, program, journals: [] };
      },
    );
    this.#backends.push(...await Promise.all(started));
  }

  #startBackend(
    backend: Pick<BackendProgram, "server" | "zone">,
    options: { readonly coldStartMs?: number },
  ): Promise<ChildProgram> {
    const { service, meanServiceMs, seed } = this.#options;
    const medianMs = meanServiceMs / Math.exp(SERVICE_TIME_SIGMA ** 2 / 2);
    return standIns.startStandIn("backend_server/backend_main", {
      ...backend,
      service: service.name,
      keyed: false,
      slots: service.slots,
      connectionLimit: service.connections,
      serviceTimeMs: { kind: "lognormal", medianMs, sigma: SERVICE_TIME_SIGMA },
      seed: seed + Number(backend.server.slice(1)),
      linkDelayMs: service.linkDelayMs,
      newConnectionMs: 1,
      ...options,
    });
  }

  async #startEntries(): Promise<void> {
    const { service } = this.#options;
    const started = Array.from(
      { length: service.entryVms },
      (_, index) =>
        ChildProgram.start({
          name: `entry ${index}`,
          ...this.#entryScript(JSON.stringify({
            vm: `vm${index}`,
            peerDelayMs: service.linkDelayMs,
            secret: "bench",
          })),
        }),
    );
    this.#entries.push(...await Promise.all(started));
  }

  #entryScript(argument: string): { script: string; args: string[] } {
    const script = scriptOf("bench_entry_main");
    const { profileFolder } = this.#options;
    if (profileFolder === undefined) return { script, args: [argument] };
    const folder = `--cpu-prof-dir=${profileFolder}`;
    return { script: "--cpu-prof", args: [folder, script, argument] };
  }

  #setup(): EntrySetup {
    const { service, policy } = this.#options;
    const partner = "partner" as contracts.PartnerId;
    return {
      service: {
        kind: "service",
        name: service.name as contracts.ServiceId,
        partner,
        places: service.zones as contracts.ZoneId[],
        keyed: false,
        slotsPerServer: service.slots,
        connectionsPerServer: service.connections,
        idempotentMethods: ["GET", "HEAD"],
        timeoutMs: 2000,
        queueRequests: 64,
        imbalanceWeight: 1,
        churnWeight: 1,
        policy,
      },
      // High enough that caller limits don't affect these runs.
      partner: {
        kind: "partner",
        name: partner,
        requestsPerSecond: 1_000_000,
        burstRequests: 1_000_000,
      },
      servers: this.#backends.map(({ server, zone, program }) => ({
        server,
        zone,
        port: program.port,
      })),
      peers: this.#entries.map((entry, index) => ({
        vm: `vm${index}` as contracts.VmId,
        port: portsOf(entry).peerPort,
      })),
    };
  }
}

function portsOf(entry: ChildProgram): EntryPorts {
  return JSON.parse(entry.readyLine) as EntryPorts;
}

function scriptOf(name: string): string {
  return url.fileURLToPath(new URL(`./${name}.js`, import.meta.url));
}
