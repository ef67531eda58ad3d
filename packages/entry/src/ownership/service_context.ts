/** What the tasks of one service's ownership share. */
import type * as contracts from "@guavatide/contracts";
import type * as ownership from "@guavatide/decisions/ownership/mod";
import type { ServerAddress, ServerView } from "../contracts/views.ts";
import type { LoggerFactory } from "../utils/log.ts";
import type { AssignmentStore } from "./assignment_store.ts";
import type { KnownAssignment } from "./known_assignment.ts";

/** A peer's answer with the time at which the question left. */
export interface TimedReply extends contracts.KnownRevisionReply {
  readonly requestedAtMs: number;
}

/** Other entry VMs, as the ownership tasks see them. */
export interface PeerView {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
  };
  /** Entry VMs that are alive, this one among them. */
  live(): readonly contracts.VmId[];
  /** Entry VMs that may forward requests, alive or not. */
  all(): readonly contracts.VmId[];
  /** Whether a run of a VM is known to be over. */
  isLost(vm: contracts.VmId, incarnation: contracts.Incarnation): boolean;
  /** Entry VMs on the platform's list; undefined before its first read. */
  listed(): ReadonlySet<contracts.VmId> | undefined;
  /** Peers that must be asked at every beat. */
  pin(vms: Iterable<contracts.VmId>): void;
  /** Tells a VM an assignment; resolves with what it then knows. */
  push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<TimedReply | undefined>;
  /** Asks a VM which revision it knows. */
  fetchKnownRevision(
    vm: contracts.VmId,
    service: contracts.ServiceId,
  ): Promise<TimedReply | undefined>;
}

/** The control side of a backend server, with an end. */
export interface ServerControl extends contracts.BackendControl {
  close(): Promise<void>;
}

/** Times of the tasks around the decisions. */
export interface OwnershipTimings extends ownership.OwnershipSettings {
  readonly storeTimeoutMs: number;
  readonly dutyLeaseMs: number;
  readonly dutyRenewMs: number;
  readonly vmGoneGraceMs: number;
  readonly planMs: number;
}

/** The steps of one acknowledged update of an assignment. */
export interface AssignmentSteps {
  readonly service: contracts.ServiceId;
  readonly revision: number;
  readonly steps: readonly ownership.SliceChange[];
}

/** Takes note of moves. */
export interface MoveRecorder {
  noteSteps(moved: AssignmentSteps): void;
}

/** Parts that every task of one service uses. */
export interface ServiceContext {
  readonly service: contracts.ServiceId;
  readonly timings: OwnershipTimings;
  readonly clock: contracts.Clock;
  readonly random: contracts.RandomSource;
  readonly hasher: ownership.KeyHasher;
  readonly log: LoggerFactory;
  readonly store: contracts.PlatformStore;
  readonly assignments: AssignmentStore;
  readonly known: KnownAssignment;
  readonly peers: PeerView;
  readonly servers: ServerView & {
    noteNotDraining(id: contracts.ServerId): void;
    /** Whether the server itself said lately that it takes no new work. */
    saysDraining(id: contracts.ServerId): boolean;
  };
  /** Keeps the steps of acknowledged updates for operators. */
  readonly moveRecorder: MoveRecorder;
  connect(address: ServerAddress): ServerControl;
}
