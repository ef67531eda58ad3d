/**
 * Which entry VMs are there, as far as this process can tell. Nothing that
 * must be safe rests on it: a wrong verdict costs time (a needless takeover of
 * control duty, a question to a dead keeper), never a second owner.
 *
 * Each VM asks its peers at a fixed beat. A VM counts as silent only from a
 * question that it left unanswered, so a peer that is rarely asked in a large
 * fleet is not suspected for that. Before a silent VM counts as lost, others
 * are asked whether they hear it.
 */
import type * as contracts from "@guavatide/contracts";
import type * as effects from "./effects.ts";
import { Member, type MemberState, type MemberView } from "./member.ts";
import { type MemberUpdate, UpdateQueue } from "./update_queue.ts";
import * as targets from "./probe_targets.ts";

/** The members and the rules by which their states change. */
export class Membership {
  readonly #options: effects.MembershipOptions;
  readonly #members = new Map<contracts.VmId, Member>();
  readonly #news: UpdateQueue;
  readonly #picker: targets.SamplePicker;
  #pinned: ReadonlySet<contracts.VmId> = new Set();
  #beats = 0;
  #lastBeatMs: number | undefined;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: effects.MembershipOptions) {
    this.#options = options;
    this.#news = new UpdateQueue(options.updatesPerMessage);
    this.#picker = new targets.SamplePicker(options.random);
  }

  /** Peers asked at every beat: keepers of the services this VM keeps. */
  pin(vms: Iterable<contracts.VmId>): void {
    this.#pinned = new Set(vms);
  }

  /**
   * Takes the lagging VM list. A VM missing from it stays a member for as
   * long as it is heard: a new VM beats before the list names it.
   */
  noteVmList(
    vms: readonly contracts.ListedVm[],
    nowMs: number,
  ): effects.MemberEvent[] {
    const named = new Set<contracts.VmId>();
    for (const listed of vms) {
      if (listed.kind !== "entry" || listed.vm === undefined) continue;
      if (listed.vm === this.#options.vm) continue;
      named.add(listed.vm);
      this.#noteListed(listed.vm, listed);
    }
    for (const member of this.#members.values()) {
      member.listed = named.has(member.vm);
      if (!member.listed) member.isListedLeaving = false;
    }
    return this.#reviewAll(nowMs);
  }

  /** Call at each beat. Sends nothing itself. */
  heartbeat(nowMs: number): effects.HeartbeatEffects {
    this.#notePause(nowMs);
    const events = this.#reviewAll(nowMs);
    const chosen = this.#chooseTargets();
    for (const vm of chosen) this.#members.get(vm)?.noteProbe(nowMs);
    return {
      targets: chosen,
      indirectProbes: this.#chooseQuestions(nowMs),
      events,
    };
  }

  /**
   * A peer answered the heartbeat of `askedAtMs`. The sign of life dates from
   * the question: the answer may have lain in a buffer while either end was
   * paused, so its arrival proves nothing about now.
   */
  noteReply(
    vm: contracts.VmId,
    incarnation: contracts.Incarnation,
    { askedAtMs, nowMs }: {
      readonly askedAtMs: number;
      readonly nowMs: number;
    },
  ): effects.MemberEvent[] {
    const member = this.#members.get(vm);
    if (member === undefined) return [];
    const adopted = this.#adopt(member, incarnation);
    if (adopted === undefined) return [];
    member.noteReply(askedAtMs);
    return [...adopted, ...this.#review(member, nowMs)];
  }

  /** A heartbeat failed or timed out. Silence is counted from the question. */
  noteFailure(vm: contracts.VmId, nowMs: number): effects.MemberEvent[] {
    const member = this.#members.get(vm);
    return member === undefined ? [] : this.#review(member, nowMs);
  }

  /** A peer's heartbeat came in; the peer may be unknown so far. */
  noteHeartbeat(
    heartbeat: contracts.PeerHeartbeat,
    nowMs: number,
  ): effects.MemberEvent[] {
    if (heartbeat.vm === this.#options.vm) return [];
    const member = this.#ensure(heartbeat.vm, heartbeat);
    const adopted = this.#adopt(member, heartbeat.incarnation);
    if (adopted === undefined) return [];
    member.address = addressOf(heartbeat);
    member.hasAnnouncedLeave = heartbeat.leaving;
    member.noteSeen(nowMs);
    return [...adopted, ...this.#review(member, nowMs)];
  }

  /** The answer to a {@link effects.IndirectProbe} that was sent at `askedAtMs`. */
  noteIndirectReply(
    answer: effects.IndirectProbeReply,
    { askedAtMs, nowMs }: {
      readonly askedAtMs: number;
      readonly nowMs: number;
    },
  ): effects.MemberEvent[] {
    const member = this.#members.get(answer.about);
    if (member?.unansweredSinceMs === undefined) return [];
    const seenAtMs = askedAtMs - (answer.seenAgeMs ?? Number.POSITIVE_INFINITY);
    if (seenAtMs < member.unansweredSinceMs || !answer.incarnation) {
      member.confirmedBy.add(answer.from);
      return this.#review(member, nowMs);
    }
    const adopted = this.#adopt(member, answer.incarnation);
    if (adopted === undefined) return [];
    member.noteSeen(seenAtMs);
    return [...adopted, ...this.#review(member, nowMs)];
  }

  /** This process's answer to another's question. */
  answerIndirectProbe(
    about: contracts.VmId,
    nowMs: number,
  ): effects.IndirectProbeReply {
    const member = this.#members.get(about);
    return {
      from: this.#options.vm,
      about,
      incarnation: member?.incarnation,
      seenAgeMs: member?.lastSeenMs === undefined
        ? undefined
        : nowMs - member.lastSeenMs,
    };
  }

  /** News to put into the next message to a peer; bounded. */
  takeUpdates(): MemberUpdate[] {
    return this.#news.take(this.#members.size);
  }

  /**
   * News of a peer. It is a reason to ask the VM concerned at the next beat,
   * never a verdict: otherwise one paused VM, on waking, would have the whole
   * fleet drop members that are well.
   */
  noteUpdates(
    news: readonly MemberUpdate[],
    nowMs: number,
  ): effects.MemberEvent[] {
    const events: effects.MemberEvent[] = [];
    for (const item of news) {
      const member = this.#members.get(item.vm);
      if (member === undefined || item.state === "alive") continue;
      if (member.state !== "alive") continue;
      if (member.incarnation !== item.incarnation) continue;
      this.#picker.prioritize(item.vm);
      // A VM says itself that it leaves and never takes it back in that run.
      if (item.state === "left") member.hasAnnouncedLeave = true;
      events.push(...this.#review(member, nowMs));
    }
    return events;
  }

  /** Every known peer. */
  members(nowMs: number): MemberView[] {
    return [...this.#members.values()].map((member) =>
      this.#view(member, nowMs)
    );
  }

  /** One peer. */
  member(vm: contracts.VmId, nowMs: number): MemberView | undefined {
    const member = this.#members.get(vm);
    return member === undefined ? undefined : this.#view(member, nowMs);
  }

  #view(member: Member, nowMs: number): MemberView {
    const seenMs = member.lastSeenMs;
    const unreplied = member.unrepliedSinceMs;
    const waitedMs = unreplied === undefined ? 0 : nowMs - unreplied;
    return {
      ...member.address,
      vm: member.vm,
      incarnation: member.incarnation,
      state: member.state,
      reachable: member.lastReplyMs !== undefined &&
        waitedMs < this.#options.suspectAfterMs,
      listed: member.listed,
      silentMs: seenMs === undefined ? undefined : nowMs - seenMs,
    };
  }

  #noteListed(vm: contracts.VmId, listed: contracts.ListedVm): void {
    const address = {
      zone: listed.zone,
      host: listed.host,
      peerPort: listed.port,
    };
    const member = this.#ensure(vm, address);
    if (member.incarnation === undefined) member.address = address;
    member.isListedLeaving = listed.state === "leaving";
  }

  #ensure(vm: contracts.VmId, address: Member["address"]): Member {
    const known = this.#members.get(vm);
    if (known !== undefined) return known;
    const member = new Member(vm, addressOf(address));
    this.#members.set(vm, member);
    return member;
  }

  /** Undefined when the sign of life came from a run that was replaced. */
  #adopt(
    member: Member,
    incarnation: contracts.Incarnation,
  ): effects.MemberEvent[] | undefined {
    const isFirst = member.incarnation === undefined;
    const adopted = member.adoptIncarnation(incarnation);
    if (adopted === "stale") return undefined;
    if (adopted === "same") return [];
    return [{ kind: isFirst ? "joined" : "restarted", vm: member.vm }];
  }

  /**
   * When this process was stopped, every peer looks silent on waking although
   * it was we who did not listen; users would see a needless takeover. The
   * beat that comes late tells, and silence is counted anew from there.
   */
  #notePause(nowMs: number): void {
    const { heartbeatIntervalMs: beatMs, pauseThresholdMs: pauseMs } =
      this.#options;
    const last = this.#lastBeatMs;
    this.#lastBeatMs = nowMs;
    if (last !== undefined && nowMs - last > beatMs + pauseMs) {
      this.#resumedAtMs = nowMs;
    }
  }

  #chooseTargets(): contracts.VmId[] {
    const { sampleVms, sampleEveryHeartbeats: sampleEveryBeats } =
      this.#options;
    this.#beats++;
    const isSampling = this.#beats % sampleEveryBeats === 0;
    return targets.chooseProbeTargets(this.#members, {
      ...this.#options,
      sampleVms: isSampling ? sampleVms : 0,
      pinned: this.#pinned,
      picker: this.#picker,
    });
  }

  /**
   * Others are asked before the verdict: behind a cut of one link, a VM that
   * they hear would otherwise go from alive to suspect and back at each round.
   */
  #chooseQuestions(nowMs: number): effects.IndirectProbe[] {
    const quietMs = this.#options.suspectAfterMs / 2;
    const quiet: Member[] = [];
    for (const member of this.#members.values()) {
      const silentMs = member.unansweredMs(nowMs, this.#resumedAtMs);
      const isOpen = member.state === "alive" || member.state === "suspect";
      if (isOpen && member.incarnation && silentMs >= quietMs) {
        quiet.push(member);
      }
    }
    return targets.chooseIndirectProbes(this.#members, {
      ...this.#options,
      unresponsive: quiet,
    });
  }

  #reviewAll(nowMs: number): effects.MemberEvent[] {
    const events: effects.MemberEvent[] = [];
    for (const member of this.#members.values()) {
      events.push(...this.#review(member, nowMs));
      if (this.#isForgotten(member, nowMs)) this.#members.delete(member.vm);
    }
    return events;
  }

  #review(member: Member, nowMs: number): effects.MemberEvent[] {
    const next = this.#judge(member, nowMs);
    if (next === member.state) return [];
    member.state = next;
    const { vm, incarnation } = member;
    this.#news.enqueue({ vm, incarnation, state: next });
    return [{ kind: next, vm }];
  }

  #judge(member: Member, nowMs: number): MemberState {
    const options = this.#options;
    const silentMs = member.unansweredMs(nowMs, this.#resumedAtMs);
    if (silentMs < options.suspectAfterMs) {
      if (member.isLeaving()) return "left";
      return member.incarnation === undefined ? "suspect" : this.#kept(member);
    }
    if (member.state === "left") return "left";
    if (member.state === "lost") return "lost";
    const agreed = member.confirmedBy.size > 0;
    const waitMs = agreed
      ? options.lostAfterMs
      : options.lostUnconfirmedAfterMs;
    return silentMs >= waitMs ? "lost" : "suspect";
  }

  /** A suspect or lost VM stays so until a sign of life clears it. */
  #kept(member: Member): MemberState {
    const isSilent = member.unansweredSinceMs !== undefined;
    const wasDown = member.state === "suspect" || member.state === "lost";
    if (isSilent && wasDown) return member.state;
    return "alive";
  }

  #isForgotten(member: Member, nowMs: number): boolean {
    if (member.listed) return false;
    if (member.state !== "lost" && member.state !== "left") return false;
    const seenMs = member.lastSeenMs ?? Number.NEGATIVE_INFINITY;
    return nowMs - seenMs > this.#options.forgetAfterMs;
  }
}

function addressOf(from: Member["address"]): Member["address"] {
  return { zone: from.zone, host: from.host, peerPort: from.peerPort };
}
