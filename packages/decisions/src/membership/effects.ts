/** Settings of membership, and what it asks the peer task to do. */
import type * as contracts from "@guavatide/contracts";
import type { MemberState } from "./member.ts";

/** Times and bounds of membership. */
export interface MembershipOptions {
  readonly vm: contracts.VmId;
  readonly random: contracts.RandomSource;
  readonly beatMs: number;
  /** Unanswered for this long: suspect. */
  readonly suspectAfterMs: number;
  /** Unanswered for this long, and others agree: lost. */
  readonly lostAfterMs: number;
  /** Unanswered for this long: lost, also when nobody else could be asked. */
  readonly lostAloneAfterMs: number;
  /** A beat this much late means that this process was paused. */
  readonly pauseMs: number;
  /** A lost VM that the list does not name is forgotten after this. */
  readonly forgetAfterMs: number;
  /** Up to this many peers, each is asked at each beat. */
  readonly fullMeshVms: number;
  /** In a larger fleet, peers asked at each beat besides the pinned ones. */
  readonly sampleVms: number;
  /** In a larger fleet, the sample is asked at every so many beats. */
  readonly sampleEveryBeats: number;
  /** Lost peers asked at each beat, to notice their return. */
  readonly lostProbes: number;
  /** Others asked about a suspect. */
  readonly helpers: number;
  /** Pieces of news in one message. */
  readonly newsPerMessage: number;
}

/** Defaults for everything but the process's own id and random source. */
export const DEFAULT_MEMBERSHIP = {
  beatMs: 250,
  suspectAfterMs: 750,
  lostAfterMs: 1200,
  lostAloneAfterMs: 4000,
  pauseMs: 500,
  forgetAfterMs: 60_000,
  fullMeshVms: 40,
  sampleVms: 1,
  sampleEveryBeats: 8,
  lostProbes: 2,
  helpers: 2,
  newsPerMessage: 6,
} as const;

/** A change that the process may act on and logs. */
export interface MemberEvent {
  readonly kind: "joined" | "restarted" | MemberState;
  readonly vm: contracts.VmId;
}

/** "Do you hear `about`?", to be sent to `to`. */
export interface HelperQuestion {
  readonly to: contracts.VmId;
  readonly about: contracts.VmId;
}

/** What one beat asks the peer task to do. */
export interface BeatEffects {
  /** Peers that get a heartbeat now. */
  readonly targets: readonly contracts.VmId[];
  readonly questions: readonly HelperQuestion[];
  readonly events: readonly MemberEvent[];
}

/** A helper's answer: how long ago it had a sign of life, if ever. */
export interface HelperAnswer {
  readonly from: contracts.VmId;
  readonly about: contracts.VmId;
  readonly incarnation?: contracts.Incarnation;
  readonly seenAgeMs?: number;
}
