/** Dependencies that the ownership tasks of one service share. */
import type * as contracts from "@guavatide/contracts";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { LoggerFactory } from "../utils/log.ts";
import type { AssignmentStore } from "./assignment_store.ts";
import type { KnownAssignment } from "./known_assignment.ts";

/** A peer's reply with the time at which the request was sent. */
export interface TimedReply extends contracts.KnownRevisionReply {
  readonly requestedAtMs: number;
}

/** The other entry VMs as seen by the ownership tasks. */
export interface PeerView {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  /** Entry VMs that are alive, including this one. */
  live(): readonly contracts.VmId[];
  /** Entry VMs that may forward requests, alive or not. */
  all(): readonly contracts.VmId[];
  /** Whether an incarnation of a VM is known to have ended. */
  isLost(vm: contracts.VmId, incarnation: contracts.Incarnation): boolean;
  /** Entry VMs on the platform's list; undefined before its first read. */
  listed(): ReadonlySet<contracts.VmId> | undefined;
  /** Sets the peers that every round of heartbeats must contact. */
  pin(vms: Iterable<contracts.VmId>): void;
  /** Sends an assignment to a VM. Resolves with the revision it then knows. */
  push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<TimedReply | undefined>;
  /** Fetches the revision that a VM knows. Undefined if the call fails. */
  fetchKnownRevision(
    vm: contracts.VmId,
    service: contracts.ServiceId,
  ): Promise<TimedReply | undefined>;
}

/** Control connection to a backend server. */
export interface ServerControl extends contracts.BackendControl {
  close(): Promise<void>;
}

/** Timings of the ownership tasks. */
export interface OwnershipTimings extends ownership.OwnershipSettings {
  readonly storeTimeoutMs: number;
  readonly dutyLeaseMs: number;
  readonly dutyRenewMs: number;
  readonly vmGoneGraceMs: number;
  readonly planMs: number;
}

/** Changes made by one acknowledged update of an assignment. */
export interface AssignmentSteps {
  readonly service: contracts.ServiceId;
  readonly revision: number;
  readonly steps: readonly ownership.SliceChange[];
}

/** Records changes of assignments. */
export interface MoveRecorder {
  noteSteps(update: AssignmentSteps): void;
}

/** Dependencies of every ownership task of one service. */
export interface ServiceContext {
  readonly service: contracts.ServiceId;
  readonly timings: OwnershipTimings;
  readonly clock: contracts.BoundedClock;
  readonly random: contracts.RandomSource;
  readonly hasher: ownership.KeyHasher;
  readonly log: LoggerFactory;
  readonly store: contracts.PlatformStore;
  readonly assignments: AssignmentStore;
  readonly known: KnownAssignment;
  readonly peers: PeerView;
  readonly servers: ServerView & {
    noteNotDraining(id: contracts.ServerId): void;
    /** Whether the server reported recently that it takes no new work. */
    saysDraining(id: contracts.ServerId): boolean;
  };
  /** Records acknowledged changes for operators. */
  readonly moveRecorder: MoveRecorder;
  connect(address: ServerAddress): ServerControl;
}
