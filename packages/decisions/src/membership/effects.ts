/** Options of membership, and the actions that it asks the peer task for. */
import type * as contracts from "@guavatide/contracts";
import type { MemberState } from "./member.ts";

/** Timings and limits of membership. */
export interface MembershipOptions {
  readonly vm: contracts.VmId;
  readonly random: contracts.RandomSource;
  readonly heartbeatIntervalMs: number;
  /** A peer that leaves heartbeats unanswered for this long is suspect. */
  readonly suspectAfterMs: number;
  /** Time without an answer until a suspect is lost, if another VM confirms. */
  readonly lostAfterMs: number;
  /** Time without an answer until a suspect is lost without confirmation. */
  readonly lostUnconfirmedAfterMs: number;
  /** A heartbeat tick that is this late means that the process was paused. */
  readonly pauseThresholdMs: number;
  /** A lost VM that is not in the VM list is removed after this time. */
  readonly forgetAfterMs: number;
  /** Up to this many peers, each gets every heartbeat. */
  readonly fullMeshVms: number;
  /**
   * In a larger fleet, sampled peers that get a heartbeat beside pinned ones.
   */
  readonly sampleVms: number;
  /** In a larger fleet, number of heartbeats from one sample to the next. */
  readonly sampleEveryHeartbeats: number;
  /** Lost peers that get each heartbeat, to notice their return. */
  readonly lostProbes: number;
  /** Peers asked about each unresponsive VM. */
  readonly indirectProbes: number;
  /** Member updates gossiped in one message. */
  readonly updatesPerMessage: number;
}

/** Defaults of all options except the process's own id and random source. */
export const DEFAULT_MEMBERSHIP = {
  heartbeatIntervalMs: 250,
  suspectAfterMs: 750,
  lostAfterMs: 1200,
  lostUnconfirmedAfterMs: 4000,
  pauseThresholdMs: 500,
  forgetAfterMs: 60_000,
  fullMeshVms: 40,
  sampleVms: 1,
  sampleEveryHeartbeats: 8,
  lostProbes: 2,
  indirectProbes: 2,
  updatesPerMessage: 6,
} as const;

/** A change of a member that the process logs and may act on. */
export interface MemberEvent {
  readonly kind: "joined" | "restarted" | MemberState;
  readonly vm: contracts.VmId;
}

/** Asks `to` when it last had a sign of life of `about`. */
export interface IndirectProbe {
  readonly to: contracts.VmId;
  readonly about: contracts.VmId;
}

/** Actions for the peer task at one heartbeat. */
export interface HeartbeatEffects {
  /** Peers to send a heartbeat to now. */
  readonly targets: readonly contracts.VmId[];
  readonly indirectProbes: readonly IndirectProbe[];
  readonly events: readonly MemberEvent[];
}

/** Reply to an {@link IndirectProbe}. */
export interface IndirectProbeReply {
  readonly from: contracts.VmId;
  readonly about: contracts.VmId;
  readonly incarnation?: contracts.Incarnation;
  /** Age of the last sign of life of `about`; absent when there was none. */
  readonly seenAgeMs?: number;
}
