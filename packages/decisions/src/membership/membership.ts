/**
 * Failure detector for the entry VMs. Safety does not depend on it: a wrong
 * decision costs time, as by a needless change of leader or a call to a failed
 * voter, but never leads to a second owner.
 *
 * Each VM probes its peers by heartbeats at a fixed interval. The time without
 * an answer counts from an unanswered probe, so a peer that is rarely probed in
 * a large fleet is not suspected for that. Before an unresponsive VM counts as
 * lost, other peers are asked about it (an indirect probe, as in SWIM).
 */
import type * as contracts from "@guavatide/contracts";
import type * as effects from "./effects.ts";
import { Member, type MemberState, type MemberView } from "./member.ts";
import { type MemberUpdate, UpdateQueue } from "./update_queue.ts";
import * as targets from "./probe_targets.ts";

/** The members, and the rules by which their states change. */
export class Membership {
  readonly #options: effects.MembershipOptions;
  readonly #members = new Map<contracts.VmId, Member>();
  readonly #updates: UpdateQueue;
  readonly #sampler: targets.SamplePicker;
  #pinned: ReadonlySet<contracts.VmId> = new Set();
  #heartbeats = 0;
  #lastHeartbeatMs: number | undefined;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: effects.MembershipOptions) {
    this.#options = options;
    this.#updates = new UpdateQueue(options.updatesPerMessage);
    this.#sampler = new targets.SamplePicker(options.random);
  }

  /**
   * Sets the peers that get every heartbeat also in a large fleet: the other
   * voters of the services that this VM votes for.
   */
  pin(vms: Iterable<contracts.VmId>): void {
    this.#pinned = new Set(vms);
  }

  /**
   * Takes the VM list, which lags. A VM that is not in it stays a member while
   * it answers, because a new VM sends heartbeats before it is listed.
   */
  noteVmList(
    vms: readonly contracts.ListedVm[],
    nowMs: number,
  ): effects.MemberEvent[] {
    const listedVms = new Set<contracts.VmId>();
    for (const listed of vms) {
      if (listed.kind !== "entry" || listed.vm === undefined) continue;
      if (listed.vm === this.#options.vm) continue;
      listedVms.add(listed.vm);
      this.#noteListed(listed.vm, listed);
    }
    for (const member of this.#members.values()) {
      member.listed = listedVms.has(member.vm);
      if (!member.listed) member.isListedLeaving = false;
    }
    return this.#reviewAll(nowMs);
  }

  /** Call at each heartbeat interval. Returns what to send; sends nothing. */
  heartbeat(nowMs: number): effects.HeartbeatEffects {
    this.#notePause(nowMs);
    const events = this.#reviewAll(nowMs);
    const chosen = this.#chooseTargets();
    for (const vm of chosen) this.#members.get(vm)?.noteProbe(nowMs);
    return {
      targets: chosen,
      indirectProbes: this.#chooseIndirectProbes(nowMs),
      events,
    };
  }

  /**
   * Notes a peer's reply to the heartbeat sent at `askedAtMs`. The sign of life
   * dates from then: the reply may have been buffered while either process was
   * paused, so its arrival says nothing about the present.
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

  /** Notes that a heartbeat failed or timed out. */
  noteFailure(vm: contracts.VmId, nowMs: number): effects.MemberEvent[] {
    const member = this.#members.get(vm);
    return member === undefined ? [] : this.#review(member, nowMs);
  }

  /** Notes a peer's heartbeat; it adds an unknown peer. */
  noteHeartbeat(
    heartbeat: contracts.PeerHeartbeat,
    nowMs: number,
  ): effects.MemberEvent[] {
    if (heartbeat.vm === this.#options.vm) return [];
    const member = this.#getOrAdd(heartbeat.vm, heartbeat);
    const adopted = this.#adopt(member, heartbeat.incarnation);
    if (adopted === undefined) return [];
    member.address = addressOf(heartbeat);
    member.hasAnnouncedLeave = heartbeat.leaving;
    member.noteSeen(nowMs);
    return [...adopted, ...this.#review(member, nowMs)];
  }

  /** Notes the reply to an indirect probe that was sent at `askedAtMs`. */
  noteIndirectReply(
    reply: effects.IndirectProbeReply,
    { askedAtMs, nowMs }: {
      readonly askedAtMs: number;
      readonly nowMs: number;
    },
  ): effects.MemberEvent[] {
    const member = this.#members.get(reply.about);
    if (member?.unansweredSinceMs === undefined) return [];
    const seenAtMs = askedAtMs - (reply.seenAgeMs ?? Number.POSITIVE_INFINITY);
    if (seenAtMs < member.unansweredSinceMs || !reply.incarnation) {
      member.confirmedBy.add(reply.from);
      return this.#review(member, nowMs);
    }
    const adopted = this.#adopt(member, reply.incarnation);
    if (adopted === undefined) return [];
    member.noteSeen(seenAtMs);
    return [...adopted, ...this.#review(member, nowMs)];
  }

  /** Replies to a peer's indirect probe. */
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

  /** Updates to piggyback on the next message, limited in number. */
  takeUpdates(): MemberUpdate[] {
    return this.#updates.take(this.#members.size);
  }

  /**
   * Takes updates from a peer. They only cause a probe of the VM concerned at
   * the next heartbeat: taken as facts, the updates of one VM that resumes
   * from a pause would make the whole fleet drop healthy members.
   */
  noteUpdates(
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): effects.MemberEvent[] {
    const events: effects.MemberEvent[] = [];
    for (const update of updates) {
      const member = this.#members.get(update.vm);
      if (member === undefined || update.state === "alive") continue;
      if (member.state !== "alive") continue;
      if (member.incarnation !== update.incarnation) continue;
      this.#sampler.prioritize(update.vm);
      // Only the VM itself announces its leave, and never revokes it while it
      // runs.
      if (update.state === "left") member.hasAnnouncedLeave = true;
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
    const member = this.#getOrAdd(vm, address);
    if (member.incarnation === undefined) member.address = address;
    member.isListedLeaving = listed.state === "leaving";
  }

  #getOrAdd(vm: contracts.VmId, address: Member["address"]): Member {
    const known = this.#members.get(vm);
    if (known !== undefined) return known;
    const member = new Member(vm, addressOf(address));
    this.#members.set(vm, member);
    return member;
  }

  /**
   * Returns the event of a new incarnation; undefined when the incarnation has
   * been replaced by a newer one.
   */
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
   * After a pause of this process every peer looks unresponsive, although it
   * was this process that did not listen, and leadership would change for
   * nothing. A late heartbeat tick reveals the pause; the time without an
   * answer counts anew from then.
   */
  #notePause(nowMs: number): void {
    const { heartbeatIntervalMs, pauseThresholdMs } = this.#options;
    const last = this.#lastHeartbeatMs;
    this.#lastHeartbeatMs = nowMs;
    if (
      last !== undefined &&
      nowMs - last > heartbeatIntervalMs + pauseThresholdMs
    ) {
      this.#resumedAtMs = nowMs;
    }
  }

  #chooseTargets(): contracts.VmId[] {
    const { sampleVms, sampleEveryHeartbeats } = this.#options;
    this.#heartbeats++;
    const isSampling = this.#heartbeats % sampleEveryHeartbeats === 0;
    return targets.chooseProbeTargets(this.#members, {
      ...this.#options,
      sampleVms: isSampling ? sampleVms : 0,
      pinned: this.#pinned,
      picker: this.#sampler,
    });
  }

  /**
   * Peers are asked before a VM becomes suspect: with one broken link, a VM
   * that they reach would otherwise alternate between alive and suspect.
   */
  #chooseIndirectProbes(nowMs: number): effects.IndirectProbe[] {
    const probeAfterMs = this.#options.suspectAfterMs / 2;
    const unresponsive: Member[] = [];
    for (const member of this.#members.values()) {
      const unansweredMs = member.unansweredMs(nowMs, this.#resumedAtMs);
      const isUndecided = member.state === "alive" ||
        member.state === "suspect";
      if (isUndecided && member.incarnation && unansweredMs >= probeAfterMs) {
        unresponsive.push(member);
      }
    }
    return targets.chooseIndirectProbes(this.#members, {
      ...this.#options,
      unresponsive,
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
    const next = this.#nextState(member, nowMs);
    if (next === member.state) return [];
    member.state = next;
    const { vm, incarnation } = member;
    this.#updates.enqueue({ vm, incarnation, state: next });
    return [{ kind: next, vm }];
  }

  #nextState(member: Member, nowMs: number): MemberState {
    const options = this.#options;
    const unansweredMs = member.unansweredMs(nowMs, this.#resumedAtMs);
    if (unansweredMs < options.suspectAfterMs) {
      if (member.isLeaving()) return "left";
      return member.incarnation === undefined
        ? "suspect"
        : this.#aliveUnlessDown(member);
    }
    if (member.state === "left") return "left";
    if (member.state === "lost") return "lost";
    const isConfirmed = member.confirmedBy.size > 0;
    const waitMs = isConfirmed
      ? options.lostAfterMs
      : options.lostUnconfirmedAfterMs;
    return unansweredMs >= waitMs ? "lost" : "suspect";
  }

  /** A suspect or lost VM stays so until a sign of life. */
  #aliveUnlessDown(member: Member): MemberState {
    const isUnanswered = member.unansweredSinceMs !== undefined;
    const wasDown = member.state === "suspect" || member.state === "lost";
    if (isUnanswered && wasDown) return member.state;
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
