/** What this process knows of one other entry VM. */
import type * as contracts from "@guavatide/contracts";

/**
 * `alive`: gave a sign of life since it was last asked. `suspect`: asked and
 * silent, or listed and never heard. `lost`: silent for longer, and others do
 * not hear it either. `left`: it or the VM list said that it leaves.
 */
export type MemberState = "alive" | "suspect" | "lost" | "left";

/** Where an entry VM listens for its peers. */
export interface MemberAddress {
  readonly zone: contracts.ZoneId;
  /** IP number. */
  readonly host: string;
  readonly peerPort: number;
}

/** A member as shown to the rest of the process. */
export interface MemberView extends MemberAddress {
  readonly vm: contracts.VmId;
  /** Absent until the VM was heard from. */
  readonly incarnation: contracts.Incarnation | undefined;
  readonly state: MemberState;
  /** It answered our own latest question; false behind a one-way cut. */
  readonly reachable: boolean;
  /** Whether the VM list names it at present. */
  readonly listed: boolean;
  /** Time since the last sign of life; absent when there was none. */
  readonly silentMs: number | undefined;
}

/** Earlier incarnations remembered for each VM. */
const REMEMBERED_INCARNATIONS = 4;

/** Times and facts about one VM; {@link Membership} draws the conclusions. */
export class Member {
  readonly vm: contracts.VmId;
  address: MemberAddress;
  state: MemberState = "suspect";
  listed = false;
  /** The VM list calls it leaving. */
  isListedLeaving = false;
  /** It said itself, in its present incarnation, that it leaves. */
  hasAnnouncedLeave = false;
  incarnation: contracts.Incarnation | undefined;
  lastSeenMs: number | undefined;
  lastReplyMs: number | undefined;
  /** When the oldest question since the last sign of life was sent. */
  unansweredSinceMs: number | undefined;
  /** When the oldest question since the last reply was sent. */
  unrepliedSinceMs: number | undefined;
  /** Others that do not hear this VM either, since it became suspect. */
  readonly confirmedBy = new Set<contracts.VmId>();
  readonly #earlier: contracts.Incarnation[] = [];

  constructor(vm: contracts.VmId, address: MemberAddress) {
    this.vm = vm;
    this.address = address;
  }

  /**
   * Takes note of the incarnation of a sign of life. `stale` means that it
   * came from a run that a newer one has replaced: a delayed heartbeat of the
   * old run would otherwise make a restarted VM look like the old one, and
   * its forgotten promises would count. Remembering replaced runs prevents it.
   */
  adoptIncarnation(
    incarnation: contracts.Incarnation,
  ): "same" | "new" | "stale" {
    if (this.incarnation === incarnation) return "same";
    if (this.#earlier.includes(incarnation)) return "stale";
    if (this.incarnation !== undefined) this.#earlier.push(this.incarnation);
    if (this.#earlier.length > REMEMBERED_INCARNATIONS) this.#earlier.shift();
    this.incarnation = incarnation;
    this.hasAnnouncedLeave = false;
    return "new";
  }

  /** A sign of life as of `atMs`; an older one changes nothing. */
  noteSeen(atMs: number): void {
    this.lastSeenMs = Math.max(this.lastSeenMs ?? atMs, atMs);
    if (this.unansweredSinceMs === undefined) return;
    if (atMs < this.unansweredSinceMs) return;
    this.unansweredSinceMs = undefined;
    this.confirmedBy.clear();
  }

  /** An answer to our question of `askedAtMs`. */
  noteReply(askedAtMs: number): void {
    this.lastReplyMs = Math.max(this.lastReplyMs ?? askedAtMs, askedAtMs);
    const unreplied = this.unrepliedSinceMs;
    if (unreplied !== undefined && askedAtMs >= unreplied) {
      this.unrepliedSinceMs = undefined;
    }
    this.noteSeen(askedAtMs);
  }

  noteProbe(nowMs: number): void {
    this.unansweredSinceMs ??= nowMs;
    this.unrepliedSinceMs ??= nowMs;
  }

  /** How long it has been asked in vain, not counting our own pause. */
  unansweredMs(nowMs: number, resumedAtMs: number): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return nowMs - Math.max(this.unansweredSinceMs, resumedAtMs);
  }

  isLeaving(): boolean {
    return this.hasAnnouncedLeave || this.isListedLeaving;
  }
}
