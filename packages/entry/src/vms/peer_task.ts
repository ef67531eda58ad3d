/**
 * Beats to other entry VMs and answers their beats. One beat serves
 * membership, evidence for assignment revisions and the spread of newer
 * state: each participating part fills in its fields and reads the answers.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { PartLog } from "../utils/log.ts";
import type { PeerDoor } from "./peer_door.ts";
import type { PeerError } from "./peer_error.ts";
import { type PeerAddress, PeerLink } from "./peer_link.ts";

/** A beat before its participants have filled it in. */
export type HeartbeatDraft = contracts.PeerHeartbeat;
/** An answer before its participants have filled it in. */
export type HeartbeatReplyDraft = contracts.PeerHeartbeatReply;

/** A part that takes part in beats. Every method is optional. */
export interface HeartbeatParticipant {
  /** Adds the part's own fields to a beat that is about to leave. */
  fill?(draft: HeartbeatDraft): void;
  /** A peer's beat arrived; adds the part's fields to the answer. */
  answer?(beat: contracts.PeerHeartbeat, draft: HeartbeatReplyDraft): void;
  /** A peer answered a beat that left at `askedAtMs`. */
  noteReply?(reply: contracts.PeerHeartbeatReply, askedAtMs: number): void;
}

/** A peer to beat to. */
export interface BeatTarget extends PeerAddress {
  readonly vm: contracts.VmId;
}

/** Membership as this task needs it; decided elsewhere. */
export interface BeatMembership {
  beat(nowMs: number): { readonly targets: readonly BeatTarget[] };
  noteReply(
    vm: contracts.VmId,
    incarnation: contracts.Incarnation,
    askedAtMs: number,
    nowMs: number,
  ): void;
  noteFailure(vm: contracts.VmId, nowMs: number): void;
  noteHeard(beat: contracts.PeerHeartbeat, nowMs: number): void;
}

/** Options of {@link PeerTask}. */
export interface PeerTaskOptions {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
    readonly zone: contracts.ZoneId;
    /** IP number and port that peers call. */
    readonly host: string;
    readonly peerPort: number;
  };
  readonly secret: string;
  readonly heartbeatMs: number;
  /** Time that a peer has to answer a beat. */
  readonly heartbeatTimeoutMs: number;
  readonly door: PeerDoor;
  readonly membership: BeatMembership;
  readonly clock: contracts.Clock;
  readonly log: PartLog;
}

/** Owns the links to all peers. */
export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #links = new Map<contracts.VmId, PeerLink>();
  readonly #participants: HeartbeatParticipant[] = [];
  readonly #waiting = new Set<contracts.VmId>();
  #isLeaving = false;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    options.door.register(
      "heartbeat",
      contractsValues.peerHeartbeatSchema,
      (beat) => this.#answer(beat),
    );
  }

  /** Adds a part whose fields travel in beats. */
  join(participant: HeartbeatParticipant): void {
    this.#participants.push(participant);
  }

  /** Beats until the process stops; the last beat says that it leaves. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: "peer links",
      timeoutMs: 1_000,
      run: () => this.#closeLinks(),
    });
    lifeCycle.onStop({
      name: "tell peers",
      timeoutMs: this.#options.heartbeatTimeoutMs + 100,
      run: () => this.#tellLeaving(),
    });
    lifeCycle.every(this.#options.heartbeatMs, () => void this.beatNow());
  }

  /** Beats to all targets at once, for example after a new revision. */
  async beatNow(): Promise<void> {
    const { targets } = this.#options.membership.beat(
      this.#options.clock.nowMs(),
    );
    await Promise.all(targets.map((target) => this.#beat(target)));
  }

  /** The link to a peer, made when first needed. */
  link(target: BeatTarget): PeerLink {
    const known = this.#links.get(target.vm);
    if (known !== undefined && isSameAddress(known.address, target)) {
      return known;
    }
    void known?.close();
    const link = new PeerLink(
      { host: target.host, port: target.port },
      this.#options.secret,
    );
    this.#links.set(target.vm, link);
    return link;
  }

  async #beat(target: BeatTarget): Promise<void> {
    // A peer that does not answer must not collect a call for every beat.
    if (this.#waiting.has(target.vm)) return;
    this.#waiting.add(target.vm);
    const askedAtMs = this.#options.clock.nowMs();
    const result = await this.link(target).call("heartbeat", {
      params: this.#draft(),
      schema: contractsValues.peerHeartbeatReplySchema,
      timeoutMs: this.#options.heartbeatTimeoutMs,
    });
    this.#waiting.delete(target.vm);
    result.match(
      (reply) => this.#noteReply(reply, askedAtMs),
      (error) => this.#noteFailure(target, error),
    );
  }

  #noteReply(reply: contracts.PeerHeartbeatReply, askedAtMs: number): void {
    this.#options.membership.noteReply(
      reply.vm,
      reply.incarnation,
      askedAtMs,
      this.#options.clock.nowMs(),
    );
    for (const part of this.#participants) part.noteReply?.(reply, askedAtMs);
  }

  #noteFailure(target: BeatTarget, error: PeerError): void {
    this.#options.log.debug("beat not answered", {
      peer: target.vm,
      kind: error.kind,
    });
    this.#options.membership.noteFailure(
      target.vm,
      this.#options.clock.nowMs(),
    );
  }

  #answer(beat: contracts.PeerHeartbeat): contracts.PeerHeartbeatReply {
    this.#options.membership.noteHeard(beat, this.#options.clock.nowMs());
    const draft: HeartbeatReplyDraft = {
      vm: this.#options.self.vm,
      incarnation: this.#options.self.incarnation,
      known: [],
      configRevision: 0,
      newer: [],
    };
    for (const part of this.#participants) part.answer?.(beat, draft);
    return draft;
  }

  #draft(): HeartbeatDraft {
    const draft: HeartbeatDraft = {
      ...this.#options.self,
      leaving: this.#isLeaving,
      known: [],
      configRevision: 0,
    };
    for (const part of this.#participants) part.fill?.(draft);
    return draft;
  }

  async #tellLeaving(): Promise<void> {
    this.#isLeaving = true;
    this.#waiting.clear();
    await this.beatNow();
  }

  async #closeLinks(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.close()));
  }
}

function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return left.host === right.host && left.port === right.port;
}
