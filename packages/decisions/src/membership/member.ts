/** State of one peer as this process knows it. */
import type * as contracts from "@guavatide/contracts";

/**
 * `alive`: has given a sign of life since it was last probed. `suspect`: left a
 * probe unanswered, or is in the VM list and never sent a message. `lost`:
 * unresponsive for longer, sooner if another VM confirms it. `left`: it or the
 * VM list announced that it leaves.
 */
export type MemberState = "alive" | "suspect" | "lost" | "left";

/** Where an entry VM listens for its peers. */
export interface MemberAddress {
  readonly zone: contracts.ZoneId;
  /** IP address. */
  readonly host: string;
  readonly peerPort: number;
}

/** A member as the rest of the process sees it. */
export interface MemberView extends MemberAddress {
  readonly vm: contracts.VmId;
  /** Undefined until the first message of the VM. */
  readonly incarnation: contracts.Incarnation | undefined;
  readonly state: MemberState;
  /** Whether it answers this VM's heartbeats, and not only sends its own. */
  readonly reachable: boolean;
  /** Whether it is in the VM list. */
  readonly listed: boolean;
  /** Time since the last sign of life; undefined when there was none. */
  readonly silentMs: number | undefined;
}

/** Earlier incarnations remembered per VM. */
const REMEMBERED_INCARNATIONS = 4;

/** Times and facts about one VM, from which `Membership` derives its state. */
export class Member {
  readonly vm: contracts.VmId;
  address: MemberAddress;
  state: MemberState = "suspect";
  listed = false;
  /** Whether the VM list marks it as leaving. */
  isListedLeaving = false;
  /** Whether its present incarnation announced that it leaves. */
  hasAnnouncedLeave = false;
  incarnation: contracts.Incarnation | undefined;
  lastSeenMs: number | undefined;
  lastReplyMs: number | undefined;
  /** When the first probe since the last sign of life was sent. */
  unansweredSinceMs: number | undefined;
  /** When the first probe since the last reply was sent. */
  unrepliedSinceMs: number | undefined;
  /** Peers that confirmed that the VM is unresponsive. */
  readonly confirmedBy = new Set<contracts.VmId>();
  readonly #earlier: contracts.Incarnation[] = [];

  constructor(vm: contracts.VmId, address: MemberAddress) {
    this.vm = vm;
    this.address = address;
  }

  /**
   * Notes the incarnation of a sign of life. `stale` means that a newer one has
   * replaced it. Replaced incarnations are remembered because a delayed
   * heartbeat would otherwise make a restarted VM look like its old process,
   * and acknowledgements that it has forgotten would count.
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

  /** Notes a sign of life at `atMs`; an older one changes nothing. */
  noteSeen(atMs: number): void {
    this.lastSeenMs = Math.max(this.lastSeenMs ?? atMs, atMs);
    if (this.unansweredSinceMs === undefined) return;
    if (atMs < this.unansweredSinceMs) return;
    this.unansweredSinceMs = undefined;
    this.confirmedBy.clear();
  }

  /** Notes a reply to the probe sent at `sentAtMs`. */
  noteReply(sentAtMs: number): void {
    this.lastReplyMs = Math.max(this.lastReplyMs ?? sentAtMs, sentAtMs);
    const unreplied = this.unrepliedSinceMs;
    if (unreplied !== undefined && sentAtMs >= unreplied) {
      this.unrepliedSinceMs = undefined;
    }
    this.noteSeen(sentAtMs);
  }

  /** Notes that a probe is sent now. */
  noteProbe(nowMs: number): void {
    this.unansweredSinceMs ??= nowMs;
    this.unrepliedSinceMs ??= nowMs;
  }

  /** How long probes have been unanswered, without a pause of this process. */
  unansweredMs(nowMs: number, resumedAtMs: number): number {
    if (this.unansweredSinceMs === undefined) return 0;
    return nowMs - Math.max(this.unansweredSinceMs, resumedAtMs);
  }

  isLeaving(): boolean {
    return this.hasAnnouncedLeave || this.isListedLeaving;
  }
}
