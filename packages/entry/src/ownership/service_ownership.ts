/** All ownership tasks of one service in one entry process. */
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

/** Ownership of one service. */
export class ServiceOwnership {
  readonly #context: ServiceContext;
  readonly #refresh: AssignmentRefreshTask;
  readonly #leaseCommands: LeaseCommandTask;
  readonly #election: LeaderElectionTask;
  readonly #controller: AssignmentControllerTask;
  readonly #inFlight = new InFlightRequests();

  constructor(context: ServiceContext, options: ServiceOwnershipOptions) {
    this.#context = context;
    this.#leaseCommands = new LeaseCommandTask(context);
    this.#election = new LeaderElectionTask(context);
    this.#controller = new AssignmentControllerTask(context, {
      ...options,
      leaseCommands: this.#leaseCommands,
      busyServers: () => this.#busyServers(),
      config: () => options.config(),
    });
    this.#refresh = new AssignmentRefreshTask(
      context,
      () =>
        this.#leaseCommands.isRenewing || this.#unfencedServers().length > 0,
    );
  }

  get known(): ServiceContext["known"] {
    return this.#context.known;
  }

  /** Whether this VM is the service's leader now. */
  get isLeader(): boolean {
    return this.#election.isLeader;
  }

  tick(nowMs: number): void {
    this.#refresh.tick(nowMs);
    this.#election.tick(nowMs);
    this.#controller.tick(nowMs, this.#election.isLeader);
    this.#leaseCommands.tick(nowMs);
  }

  lookup(keyHash: number): OwnerLookup {
    const { slices, revision } = this.known;
    if (slices === undefined) return { kind: "none" };
    const slice = slices.find(keyHash);
    const hasNoOwner = slice.state === "vacating" ||
      this.#isDraining(slice.server);
    if (hasNoOwner) return { kind: "vacating", revision };
    return {
      kind: "owned",
      server: slice.server,
      slice: contractsValues.sliceIdOf(slice),
      fence: slice.fence,
      revision,
    };
  }

  /**
   * A server that checks fencing tokens refuses outdated requests by itself.
   * For any other server, the known assignment must be confirmed at this
   * moment.
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
    return !this.#unfencedServers().includes(server);
  }

  noteForwarded(server: contracts.ServerId): { done(): void } {
    return this.#inFlight.begin(server);
  }

  noteNotOwner(revision: number): void {
    if (this.known.revision <= revision) this.#refresh.requestRead();
  }

  /** This VM's report to its peers about the service. */
  knownRevision(): contracts.KnownRevision {
    const unresponsive = this.#leaseCommands.unresponsiveServers(
      this.#context.clock.nowMs(),
    );
    const busyServers = this.#busyServers();
    return {
      ...this.known.knownRevision(),
      silent: unresponsive.length > 0 ? unresponsive : undefined,
      busyServers: busyServers.length > 0 ? busyServers : undefined,
      holdsDuty: this.#election.isLeader ? true : undefined,
    };
  }

  /** Records a peer's report, see {@link AssignmentControllerTask.notePeer}. */
  notePeer(
    peer: PeerIdentity,
    known: contracts.KnownRevision,
    requestedAtMs?: number,
  ): void {
    this.#leaseCommands.notePeerReport(peer.vm, known);
    this.#controller.notePeer(peer, known, requestedAtMs);
  }

  /** Resigns as leader and closes the connections to the servers. */
  async stop(): Promise<void> {
    await this.#election.stop();
    await this.#leaseCommands.close();
  }

  /**
   * Whether the server itself reports that it is draining: it refuses new work,
   * and its slices are about to be handed over. A server that only an operator
   * drains serves its slices until they are handed over.
   */
  #isDraining(server: contracts.ServerId): boolean {
    return this.#context.servers.saysDraining(server);
  }

  #unfencedServers(): readonly contracts.ServerId[] {
    return this.known.assignment?.unfencedServers ?? [];
  }

  #busyServers(): contracts.ServerId[] {
    return this.#unfencedServers().filter((server) =>
      this.#inFlight.isBusy(server)
    );
  }
}
