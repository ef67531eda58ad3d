/** All tasks of one service's ownership in one entry process. */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type { OwnerLookup } from "../contracts/views.ts";
import { LeaderElectionTask } from "./leader_election_task.ts";
import { AssignmentRefreshTask } from "./assignment_refresh_task.ts";
import { InFlightRequests } from "./in_flight_requests.ts";
import {
  AssignmentControllerTask,
  type LoadSource,
  type PeerIdentity,
} from "./assignment_controller_task.ts";
import { LeaseCommandTask } from "./lease_command_task.ts";
import type { ServiceContext } from "./service_context.ts";

/** Options of {@link ServiceOwnership}. */
export interface ServiceOwnershipOptions {
  readonly load: LoadSource;
  config(): contracts.Service | undefined;
}

/** One service's ownership. */
export class ServiceOwnership {
  readonly #context: ServiceContext;
  readonly #evidence: AssignmentRefreshTask;
  readonly #orders: LeaseCommandTask;
  readonly #duty: LeaderElectionTask;
  readonly #moves: AssignmentControllerTask;
  readonly #forwards = new InFlightRequests();

  constructor(context: ServiceContext, options: ServiceOwnershipOptions) {
    this.#context = context;
    this.#orders = new LeaseCommandTask(context);
    this.#duty = new LeaderElectionTask(context);
    this.#moves = new AssignmentControllerTask(context, {
      ...options,
      leaseCommands: this.#orders,
      busyServers: () => this.#busyServers(),
      config: () => options.config(),
    });
    this.#evidence = new AssignmentRefreshTask(
      context,
      () => this.#orders.isRenewing || this.#unfenced().length > 0,
    );
  }

  get known(): ServiceContext["known"] {
    return this.#context.known;
  }

  /** Whether this VM plans the service's moves now. */
  get isLeader(): boolean {
    return this.#duty.isLeader;
  }

  tick(nowMs: number): void {
    this.#evidence.tick(nowMs);
    this.#duty.tick(nowMs);
    this.#moves.tick(nowMs, this.#duty.isLeader);
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
      this.known.isConfirmed(this.#context.clock.nowMs());
  }

  checksFences(server: contracts.ServerId): boolean {
    return !this.#unfenced().includes(server);
  }

  noteForwarded(server: contracts.ServerId): { done(): void } {
    return this.#forwards.begin(server);
  }

  noteNotOwner(revision: number): void {
    if (this.known.revision <= revision) this.#evidence.requestRead();
  }

  /** What this VM tells its peers of the service. */
  knownRevision(): contracts.KnownRevision {
    const silent = this.#orders.unresponsiveServers(
      this.#context.clock.nowMs(),
    );
    const busyServers = this.#busyServers();
    return {
      ...this.known.knownRevision(),
      silent: silent.length > 0 ? silent : undefined,
      busyServers: busyServers.length > 0 ? busyServers : undefined,
      holdsDuty: this.#duty.isLeader ? true : undefined,
    };
  }

  /** A peer told what it knows. */
  notePeer(
    peer: PeerIdentity,
    known: contracts.KnownRevision,
    askedAtMs?: number,
  ): void {
    this.#orders.notePeerReport(peer.vm, known);
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
