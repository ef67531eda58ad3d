/**
 * The simplest ownership that can be right with the store up: equal slices
 * written once, and orders sent on the evidence of a store read. It never
 * moves a key; the ownership tasks replace it.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type {
  ConfigView,
  OwnerLookup,
  OwnerView,
  ServerAddress,
  ServerView,
} from "../contracts/views.ts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";

const POLL_INTERVAL_MS = 300;
const LEASE_MS = 1_200;
const CALL_TIMEOUT_MS = 500;

/** Options of {@link ThinOwnership}. */
export interface ThinOwnershipOptions {
  readonly vm: contracts.VmId;
  readonly incarnation: contracts.Incarnation;
  readonly store: contracts.PlatformStore;
  readonly config: ConfigView & { services(): readonly contracts.Service[] };
  readonly servers: ServerView;
  connect(address: ServerAddress): contracts.BackendControl;
  readonly log: PartLog;
}

/** Reads assignments, sends orders, answers look-ups. */
export class ThinOwnership implements OwnerView {
  readonly #options: ThinOwnershipOptions;
  readonly #assignments = new Map<contracts.ServiceId, contracts.Assignment>();
  readonly #controls = new Map<string, contracts.BackendControl>();
  readonly #stamps = new Map<string, contracts.OwnershipReply>();
  #isRunning = false;

  constructor(options: ThinOwnershipOptions) {
    this.#options = options;
  }

  start(lifeCycle: LifeCycle): void {
    lifeCycle.every(POLL_INTERVAL_MS, () => void this.#run());
  }

  lookup(service: contracts.ServiceId, keyHash: number): OwnerLookup {
    const assignment = this.#assignments.get(service);
    const slice = assignment?.slices.find((candidate) =>
      candidate.fromHash <= keyHash && keyHash < candidate.toHash
    );
    if (assignment === undefined || slice === undefined) {
      return { kind: "none" };
    }
    return {
      kind: "owned",
      server: slice.server,
      slice: contractsValues.sliceIdOf(slice),
      fence: slice.fence,
      revision: assignment.revision,
    };
  }

  /** The newest assignment read. */
  assignment(
    service: contracts.ServiceId,
  ): contracts.Assignment | undefined {
    return this.#assignments.get(service);
  }

  mayForward(): boolean {
    return true;
  }

  noteForwarded(): { done(): void } {
    return { done() {} };
  }

  onChange(): () => void {
    return () => {};
  }

  noteNotOwner(): void {}

  async #run(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    for (const service of this.#options.config.services()) {
      if (service.keyed) await this.#runService(service.name);
    }
    this.#isRunning = false;
  }

  async #runService(service: contracts.ServiceId): Promise<void> {
    const read = await this.#options.store.get(`assignments/${service}`, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (read.isErr()) {
      if (read.error.kind === "not-found") await this.#create(service);
      return;
    }
    const assignment = contractsValues.assignmentSchema.parse(
      JSON.parse(read.value.value),
    );
    this.#assignments.set(service, assignment);
    await Promise.all(
      this.#options.servers.servers(service)
        .map((address) => this.#order(assignment, address)),
    );
  }

  async #create(service: contracts.ServiceId): Promise<void> {
    const servers = this.#options.servers.servers(service);
    if (servers.length === 0) return;
    const width = Math.ceil(contractsValues.HASH_SPACE / servers.length);
    const assignment: contracts.Assignment = {
      service,
      revision: 1,
      writer: this.#options.vm,
      writerIncarnation: this.#options.incarnation,
      nonce: crypto.randomUUID(),
      keeperSets: [[{ vm: this.#options.vm }]],
      slices: servers.map((address, index) => ({
        fromHash: index * width,
        toHash: Math.min((index + 1) * width, contractsValues.HASH_SPACE),
        state: "owned",
        server: address.server,
        fence: 1,
        from: [],
      })),
    };
    const written = await this.#options.store.put(
      `assignments/${service}`,
      JSON.stringify(assignment),
      { timeoutMs: CALL_TIMEOUT_MS, condition: { kind: "absent" } },
    );
    this.#options.log.info("first assignment written", {
      service,
      servers: servers.length,
      acknowledged: written.isOk(),
    });
  }

  async #order(
    assignment: contracts.Assignment,
    address: ServerAddress,
  ): Promise<void> {
    const last = this.#stamps.get(address.server);
    const reply = await this.#control(address).order({
      service: assignment.service,
      server: address.server,
      revision: assignment.revision,
      stampMs: last?.stampMs,
      stampInstance: last?.instance,
      leaseMs: LEASE_MS,
      slices: assignment.slices
        .filter((slice) => slice.server === address.server)
        .map((slice) => ({
          slice: contractsValues.sliceIdOf(slice),
          fromHash: slice.fromHash,
          toHash: slice.toHash,
          fence: slice.fence,
        })),
    }, { timeoutMs: CALL_TIMEOUT_MS });
    if (reply.isOk()) this.#stamps.set(address.server, reply.value);
  }

  #control(address: ServerAddress): contracts.BackendControl {
    const name = `${address.host}:${address.port}`;
    const known = this.#controls.get(name);
    if (known !== undefined) return known;
    const control = this.#options.connect(address);
    this.#controls.set(name, control);
    return control;
  }
}
