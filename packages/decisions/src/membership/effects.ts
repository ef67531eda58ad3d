/** Settings of membership, and what it asks the peer task to do. */
import type * as contracts from "@guavatide/contracts";
import type { MemberState } from "./member.ts";

/** Times and bounds of membership. */
export interface MembershipOptions {
  readonly vm: contracts.VmId;
  readonly random: contracts.RandomSource;
  readonly heartbeatIntervalMs: number;
  /** Unanswered for this long: suspect. */
  readonly suspectAfterMs: number;
  /** Unanswered for this long, and others agree: lost. */
  readonly lostAfterMs: number;
  /** Unanswered for this long: lost, also when nobody else could be asked. */
  readonly lostUnconfirmedAfterMs: number;
  /** A beat this much late means that this process was paused. */
  readonly pauseThresholdMs: number;
  /** A lost VM that the list does not name is forgotten after this. */
  readonly forgetAfterMs: number;
  /** Up to this many peers, each is asked at each beat. */
  readonly fullMeshVms: number;
  /** In a larger fleet, peers asked at each beat besides the pinned ones. */
  readonly sampleVms: number;
  /** In a larger fleet, the sample is asked at every so many beats. */
  readonly sampleEveryHeartbeats: number;
  /** Lost peers asked at each beat, to notice their return. */
  readonly lostProbes: number;
  /** Others asked about a suspect. */
  readonly indirectProbes: number;
  /** Pieces of news in one message. */
  readonly updatesPerMessage: number;
}

/** Defaults for everything but the process's own id and random source. */
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

/** A change that the process may act on and logs. */
export interface MemberEvent {
  readonly kind: "joined" | "restarted" | MemberState;
  readonly vm: contracts.VmId;
}

/** "Do you hear `about`?", to be sent to `to`. */
export interface IndirectProbe {
  readonly to: contracts.VmId;
  readonly about: contracts.VmId;
}

/** What one beat asks the peer task to do. */
export interface HeartbeatEffects {
  /** Peers that get a heartbeat now. */
  readonly targets: readonly contracts.VmId[];
  readonly indirectProbes: readonly IndirectProbe[];
  readonly events: readonly MemberEvent[];
}

/** A helper's answer: how long ago it had a sign of life, if ever. */
export interface IndirectProbeReply {
  readonly from: contracts.VmId;
  readonly about: contracts.VmId;
  readonly incarnation?: contracts.Incarnation;
  readonly seenAgeMs?: number;
}
