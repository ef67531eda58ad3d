/**
 * A deployment of real processes under caller load for the failure proofs. It
 * keeps the servers' journals in files, can place relays in front of servers
 * and store, and waits for conditions with a deadline.
 */
import * as contracts from "@guavatide/contracts";
import { leaderRecordSchema } from "@guavatide/decisions/ownership/leader_lease";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import type * as z from "zod";
import {
  type JournalEntry,
  readJournalFile,
} from "../backend_server/journal.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";
import * as processes from "../processes/mod.ts";
import { CallerLoad, type CallerLoadOptions } from "./caller_load.ts";
import type { CallerRecord } from "./caller_record.ts";
import * as plan from "./proof_plan.ts";
import { Relays } from "./relays.ts";
import type { Observations } from "./violations.ts";

const POLL_INTERVAL_MS = 25;
const DEADLINE_MS = 30_000;

/** One deployment, its caller load and the callers' records. */
export class ProofCluster {
  readonly deployment: LocalDeployment;
  readonly relays: Relays;
  /** Entry VMs that are out of service; callers send them nothing. */
  readonly downVms = new Set<string>();
  readonly #journalFolder: string;
  readonly #loads: CallerLoad[] = [];
  readonly #records: CallerRecord[] = [];
  #loadsStarted = 0;

  private constructor(
    deployment: LocalDeployment,
    relays: Relays,
    journalFolder: string,
  ) {
    this.deployment = deployment;
    this.relays = relays;
    this.#journalFolder = journalFolder;
  }

  /** Starts a deployment and waits until every key is served. */
  static async start(
    options: plan.ProofClusterOptions = {},
  ): Promise<ProofCluster> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "guavatide-proof-"));
    const relays = await Relays.start();
    const deployment = await LocalDeployment.start({
      plan: plan.planOf(options),
      journalFolder: folder,
      backendSettings: { queueLimit: 8, drainGraceMs: 3000 },
      entrySettings: { administration: { tokens: [plan.operatorAccess()] } },
      ...(options.relaysServers === true
        ? {
          listedPortFor: (server: string, port: number) =>
            relays.portOf(`server/${server}`, port),
        }
        : {}),
      ...(options.relaysStore === true
        ? {
          storeUrlFor: async (vm: string, storeUrl: string) => {
            const port = Number(new URL(storeUrl).port);
            return processes.originOf(await relays.portOf(`store/${vm}`, port));
          },
        }
        : {}),
    });
    const cluster = new ProofCluster(deployment, relays, folder);
    try {
      await cluster.untilServed();
    } catch (error) {
      await cluster.stop();
      throw error;
    }
    return cluster;
  }

  /** Names of the entry VMs that callers can reach. */
  get vms(): readonly string[] {
    return [...this.deployment.entries.keys()]
      .filter((vm) => !this.downVms.has(vm));
  }

  /** Base URL of an entry VM's admin API. */
  administrationUrl(vm: string): string {
    const { ports } = this.deployment.entries.get(vm)!;
    return processes.originOf(ports.administration);
  }

  /** The process of an entry VM. */
  entry(vm: string): processes.ChildProgram {
    return this.deployment.entries.get(vm)!.program;
  }

  /** The process of a backend server. */
  server(id: string): processes.ChildProgram {
    return this.deployment.servers.get(id)!.program;
  }

  /** Kills an entry VM; callers send only to the others from now on. */
  async killEntry(vm: string): Promise<void> {
    this.downVms.add(vm);
    this.entry(vm).kill("SIGKILL");
    await this.entry(vm).exited();
  }

  /** Restarts a killed entry VM without any of its former state. */
  async restartEntry(vm: string): Promise<void> {
    const { zone } = this.deployment.entries.get(vm)!;
    await this.deployment.startEntry(vm, zone);
    // A load balancer sends no callers before the VM reports that it is ready.
    const url = `${this.deployment.metricsUrl(vm)}/readyz`;
    await this.until(`${vm} ready`, async () => (await fetch(url)).ok);
    this.downVms.delete(vm);
  }

  /** Kills a backend server. */
  async killServer(id: string): Promise<void> {
    this.server(id).kill("SIGKILL");
    await this.server(id).exited();
  }

  /** Every stored object that the schema accepts. */
  async storedObjects<T>(schema: z.ZodType<T>): Promise<T[]> {
    const url = `${this.deployment.storeUrl}/objects?prefix=`;
    const listed = await processes.getJson(url) as {
      objects: contracts.StoredObject[];
    };
    return listed.objects.flatMap((object) => {
      const parsed = schema.safeParse(JSON.parse(object.value));
      return parsed.success ? [parsed.data] : [];
    });
  }

  /** The keyed service's assignment as the store holds it. */
  async assignment(): Promise<contracts.Assignment> {
    const found = await this.storedObjects(contracts.assignmentSchema);
    const keyed = found.find((assignment) => assignment.service === plan.KEYED);
    if (keyed === undefined) throw new Error("No assignment in the store yet");
    return keyed;
  }

  /** Entry VM that holds the leader lease according to the store. */
  async leader(): Promise<string> {
    const [record] = await this.storedObjects(leaderRecordSchema);
    if (record === undefined) throw new Error("No leader lease is held yet");
    return record.holder;
  }

  /**
   * Waits until the server starts no request while callers receive `answers`
   * answers. Returns how many requests it has started in all.
   */
  async untilNoNewWork(server: string, answers = 150): Promise<number> {
    let before = -1;
    await this.until(`no new work at ${server}`, async () => {
      before = this.startsAt(server);
      await this.untilAnswered(answers);
      return this.startsAt(server) === before;
    });
    return before;
  }

  /** Makes a server drain by itself: it refuses new work. */
  async drainServer(id: string): Promise<void> {
    const { port } = this.deployment.servers.get(id)!;
    const url = `${processes.originOf(port)}/control/drain`;
    await processes.postJson(url, { draining: true });
  }

  /** Requests that a server has started. */
  startsAt(server: string): number {
    return this.journalOf(server)
      .filter((entry) => entry.step === "start").length;
  }

  /** Starts callers, which run until {@link ProofCluster.finish}. */
  startLoad(options: Partial<CallerLoadOptions> = {}): CallerLoad {
    const load = new CallerLoad({
      service: plan.KEYED,
      entryUrls: () => this.vms.map((vm) => this.deployment.callerUrl(vm)),
      keys: plan.KEYS,
      workers: 16,
      timeoutMs: 1000,
      pauseMs: 4,
      name: `load${++this.#loadsStarted}`,
      ...options,
    });
    this.#loads.push(load);
    return load;
  }

  /** Records of all loads so far. */
  get records(): readonly CallerRecord[] {
    return [
      ...this.#records,
      ...this.#loads.flatMap((load) => [...load.records]),
    ];
  }

  /** Journal entries of all servers. */
  journal(): JournalEntry[] {
    return [...this.deployment.servers.keys()]
      .flatMap((server) => this.journalOf(server));
  }

  /** Journal entries of one server, over all its restarts. */
  journalOf(server: string): JournalEntry[] {
    return readJournalFile(this.deployment.journalFileOf(server)!);
  }

  /** Stops the loads and returns the journals and records to check. */
  async finish(): Promise<Observations> {
    for (const load of this.#loads.splice(0)) {
      this.#records.push(...await load.stop());
    }
    return { journal: this.journal(), records: this.#records };
  }

  /** Stops every process and removes the journals. */
  async stop(): Promise<void> {
    await this.finish();
    for (const { program } of this.deployment.entries.values()) program.wake();
    for (const { program } of this.deployment.servers.values()) program.wake();
    await this.deployment.stop();
    await this.relays.stop();
    fs.rmSync(this.#journalFolder, { recursive: true, force: true });
  }

  /**
   * Sends a request for a key through an entry VM. Returns the server that
   * answered, or undefined if none did.
   */
  async probeKey(vm: string, key: string): Promise<string | undefined> {
    const url = `${this.deployment.callerUrl(vm)}/s/${plan.KEYED}/probe`;
    try {
      const response = await fetch(url, {
        headers: {
          [contracts.KEY_HEADER]: key,
          [contracts.TIMEOUT_HEADER]: "1000",
        },
        signal: AbortSignal.timeout(3000),
      });
      const text = await response.text();
      const outcome = response.headers.get(contracts.OUTCOME_HEADER);
      if (outcome !== "answered") return undefined;
      return (JSON.parse(text) as { server: string }).server;
    } catch {
      return undefined;
    }
  }

  /** The server that owns a key now. */
  async ownerOf(key: string): Promise<string> {
    let owner: string | undefined;
    await this.until(`owner of ${key}`, async () => {
      owner = await this.probeKey(this.vms[0]!, key);
      return owner !== undefined;
    });
    return owner!;
  }

  /** Keys by the server that owns them now. */
  async keysByOwner(): Promise<Map<string, string[]>> {
    const found = new Map<string, string[]>();
    for (const key of plan.KEYS) {
      const owner = await this.ownerOf(key);
      found.set(owner, [...found.get(owner) ?? [], key]);
    }
    return found;
  }

  /** Waits until every key is served through every given entry VM. */
  async untilServed(
    vms: readonly string[] = this.vms,
    keys: readonly string[] = plan.KEYS,
  ): Promise<void> {
    await Promise.all(
      vms.flatMap((vm) =>
        keys.map((key) =>
          this.until(
            `key ${key} served through ${vm}`,
            async () => await this.probeKey(vm, key) !== undefined,
          )
        )
      ),
    );
  }

  /** Polls until a condition holds. Errors: rejects after `deadlineMs`. */
  async until(
    what: string,
    holds: () => Promise<boolean> | boolean,
    deadlineMs = DEADLINE_MS,
  ): Promise<void> {
    const endMs = performance.now() + deadlineMs;
    while (!await holds()) {
      if (performance.now() > endMs) {
        throw new Error(`Not seen within ${deadlineMs} ms: ${what}`);
      }
      await pause(POLL_INTERVAL_MS);
    }
  }

  /** Waits until callers have received `count` more answers. */
  async untilAnswered(count: number): Promise<void> {
    const before = this.#answered();
    await this.until(
      `${count} more answers`,
      () => this.#answered() >= before + count,
    );
  }

  #answered(): number {
    return this.records.filter((record) => record.outcome === "answered")
      .length;
  }
}

/** Waits so that a fault lasts; no check may depend on it. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
