/** All tasks of one service's ownership in one entry process. */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type { OwnerLookup } from "../contracts/views.ts";
import { DutyTask } from "./duty_task.ts";
import { EvidenceTask } from "./evidence_task.ts";
import { ForwardCounter } from "./forward_counter.ts";
import { type LoadSource, MoveTask, type TellingPeer } from "./move_task.ts";
import { OrderTask } from "./order_task.ts";
import type { ServiceContext } from "./service_context.ts";

/** Options of {@link ServiceOwnership}. */
export interface ServiceOwnershipOptions {
  readonly load: LoadSource;
  config(): contracts.Service | undefined;
}

/** One service's ownership. */
export class ServiceOwnership {
  readonly #context: ServiceContext;
  readonly #evidence: EvidenceTask;
  readonly #orders: OrderTask;
  readonly #duty: DutyTask;
  readonly #moves: MoveTask;
  readonly #forwards = new ForwardCounter();

  constructor(context: ServiceContext, options: ServiceOwnershipOptions) {
    this.#context = context;
    this.#orders = new OrderTask(context);
    this.#duty = new DutyTask(context);
    this.#moves = new MoveTask(context, {
      ...options,
      orders: this.#orders,
      busyServers: () => this.#busyServers(),
      config: () => options.config(),
    });
    this.#evidence = new EvidenceTask(
      context,
      () => this.#orders.isRenewing || this.#unfenced().length > 0,
    );
  }

  get known(): ServiceContext["known"] {
    return this.#context.known;
  }

  /** Whether this VM plans the service's moves now. */
  get holdsDuty(): boolean {
    return this.#duty.holds;
  }

  tick(nowMs: number): void {
    this.#evidence.tick(nowMs);
    this.#duty.tick(nowMs);
    this.#moves.tick(nowMs, this.#duty.holds);
    this.#orders.tick(nowMs);
  }

  lookup(keyHash: number): OwnerLookup {
    const { slices, revision } = this.known;
    if (slices === undefined) return { kind: "none" };
    const slice = slices.find(keyHash);
    const isBetween = slice.state === "vacating" ||
      this.#isDraining(slice.server);
    if (isBetween) return { kind: "vacating", revision };
    return {
      kind: "owned",
      server: slice.server,
      slice: contractsValues.sliceIdOf(slice),
      fence: slice.fence,
      revision,
    };
  }

  /**
   * A server that checks fences refuses by itself. For any other, this VM
   * must be sure at this moment that the server still owns the slice.
   */
  mayForward(
    server: contracts.ServerId,
    slice: contracts.SliceId,
    fence: number,
  ): boolean {
    if (this.checksFences(server)) return true;
    const owned = this.known.slices?.byId(slice);
    return owned?.state === "owned" && owned.server === server &&
      owned.fence === fence &&
      this.known.hasEvidence(this.#context.clock.nowMs());
  }

  checksFences(server: contracts.ServerId): boolean {
    return !this.#unfenced().includes(server);
  }

  noteForwarded(server: contracts.ServerId): { done(): void } {
    return this.#forwards.begin(server);
  }

  noteNotOwner(revision: number): void {
    if (this.known.revision <= revision) this.#evidence.hint();
  }

  /** What this VM tells its peers of the service. */
  tell(): contracts.KnownRevision {
    const silent = this.#orders.silentServers(this.#context.clock.nowMs());
    const busyServers = this.#busyServers();
    return {
      ...this.known.known(),
      silent: silent.length > 0 ? silent : undefined,
      busyServers: busyServers.length > 0 ? busyServers : undefined,
      holdsDuty: this.#duty.holds ? true : undefined,
    };
  }

  /** A peer told what it knows. */
  notePeer(
    peer: TellingPeer,
    known: contracts.KnownRevision,
    askedAtMs?: number,
  ): void {
    this.#orders.notePeer(peer.vm, known);
    this.#moves.notePeer(peer, known, askedAtMs);
  }

  /** Hands duty back and closes the links to the servers. */
  async stop(): Promise<void> {
    await this.#duty.stop();
    await this.#orders.close();
  }

  /**
   * It refuses all new work, and its slices are about to be taken from it. A
   * server that only an operator drains serves until that has happened.
   */
  #isDraining(server: contracts.ServerId): boolean {
    return this.#context.servers.saysDraining(server);
  }

  #unfenced(): readonly contracts.ServerId[] {
    return this.known.assignment?.unfencedServers ?? [];
  }

  #busyServers(): contracts.ServerId[] {
    return this.#unfenced().filter((server) => this.#forwards.isBusy(server));
  }
}
