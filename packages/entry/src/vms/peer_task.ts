/**
 * Beats to other entry VMs and answers their beats. One beat serves
 * membership, evidence for assignment revisions and the spread of newer
 * state: each participating part fills in its fields and reads the answers.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { ServerTls } from "../utils/http_server.ts";
import type { Logger } from "../utils/log.ts";
import type { PeerServer } from "./peer_server.ts";
import type { PeerError } from "./peer_error.ts";
import { type PeerAddress, PeerClient } from "./peer_client.ts";

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

/** Where a member listens; absent once it has been forgotten. */
export interface PeerEndpoint extends PeerAddress {
  readonly vm: contracts.VmId;
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
  /** When there, peers are called over TLS with this certificate. */
  readonly tls?: ServerTls;
  readonly heartbeatMs: number;
  /** Time that a peer has to answer a beat. */
  readonly heartbeatTimeoutMs: number;
  readonly peerServer: PeerServer;
  readonly membership: decisions.Membership;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** Owns the links to all peers. */
export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #links = new Map<contracts.VmId, PeerClient>();
  readonly #participants: HeartbeatParticipant[] = [];
  readonly #waiting = new Set<contracts.VmId>();
  readonly #listeners = new Set<(event: decisions.MemberEvent) => void>();
  #isLeaving = false;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    options.peerServer.register(
      "heartbeat",
      contractsValues.peerHeartbeatSchema,
      (beat) => this.#answer(beat),
    );
    options.peerServer.register(
      "member",
      contractsValues.memberStatusRequestSchema,
      ({ about }) =>
        options.membership.answerIndirectProbe(about, this.#nowMs()),
    );
  }

  /** Adds a part whose fields travel in beats. */
  addParticipant(participant: HeartbeatParticipant): void {
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
    lifeCycle.every(
      this.#options.heartbeatMs,
      () => void this.sendHeartbeats(),
    );
  }

  /** Calls back with each change of membership. */
  onMemberChange(listener: (event: decisions.MemberEvent) => void): void {
    this.#listeners.add(listener);
  }

  /** Takes the platform's list of VMs. */
  noteVmList(vms: readonly contracts.ListedVm[]): void {
    this.#tell(this.#options.membership.noteVmList(vms, this.#nowMs()));
  }

  /** Beats to all targets at once, for example after a new revision. */
  async sendHeartbeats(): Promise<void> {
    const effects = this.#options.membership.heartbeat(this.#nowMs());
    this.#tell(effects.events);
    await Promise.all([
      ...effects.targets.map((vm) => this.#beat(vm)),
      ...effects.indirectProbes.map((question) => this.#askHelper(question)),
    ]);
  }

  /** The link to a member, made when first needed. */
  link(vm: contracts.VmId): PeerClient | undefined {
    const member = this.#options.membership.member(vm, this.#nowMs());
    if (member === undefined) return undefined;
    const address = { host: member.host, port: member.peerPort };
    const known = this.#links.get(vm);
    if (known !== undefined && isSameAddress(known.address, address)) {
      return known;
    }
    void known?.close();
    const link = new PeerClient(address, this.#options);
    this.#links.set(vm, link);
    return link;
  }

  async #beat(vm: contracts.VmId): Promise<void> {
    // A peer that does not answer must not collect a call for every beat.
    if (this.#waiting.has(vm)) return;
    const link = this.link(vm);
    if (link === undefined) return;
    this.#waiting.add(vm);
    const askedAtMs = this.#nowMs();
    const result = await link.call("heartbeat", {
      params: this.#draft(),
      schema: contractsValues.peerHeartbeatReplySchema,
      timeoutMs: this.#options.heartbeatTimeoutMs,
    });
    this.#waiting.delete(vm);
    result.match(
      (reply) => this.#noteReply(reply, askedAtMs),
      (error) => this.#noteFailure(vm, error),
    );
  }

  async #askHelper(question: decisions.IndirectProbe): Promise<void> {
    const askedAtMs = this.#nowMs();
    const result = await this.link(question.to)?.call("member", {
      params: { about: question.about },
      schema: contractsValues.memberStatusReplySchema,
      timeoutMs: this.#options.heartbeatTimeoutMs,
    });
    if (result === undefined || result.isErr()) return;
    const times = { askedAtMs, nowMs: this.#nowMs() };
    this.#tell(this.#options.membership.noteIndirectReply(result.value, times));
  }

  #noteReply(reply: contracts.PeerHeartbeatReply, askedAtMs: number): void {
    const { membership } = this.#options;
    const nowMs = this.#nowMs();
    this.#tell(
      membership.noteReply(reply.vm, reply.incarnation, { askedAtMs, nowMs }),
    );
    this.#tell(membership.noteUpdates(reply.news, nowMs));
    for (const part of this.#participants) part.noteReply?.(reply, askedAtMs);
  }

  #noteFailure(vm: contracts.VmId, error: PeerError): void {
    this.#options.log.debug("beat not answered", {
      peer: vm,
      kind: error.kind,
    });
    this.#tell(this.#options.membership.noteFailure(vm, this.#nowMs()));
  }

  #answer(beat: contracts.PeerHeartbeat): contracts.PeerHeartbeatReply {
    const { membership } = this.#options;
    const nowMs = this.#nowMs();
    this.#tell(membership.noteHeartbeat(beat, nowMs));
    this.#tell(membership.noteUpdates(beat.news, nowMs));
    const draft: HeartbeatReplyDraft = {
      vm: this.#options.self.vm,
      incarnation: this.#options.self.incarnation,
      known: [],
      configRevision: 0,
      news: membership.takeUpdates(),
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
      news: this.#options.membership.takeUpdates(),
    };
    for (const part of this.#participants) part.fill?.(draft);
    return draft;
  }

  #tell(events: readonly decisions.MemberEvent[]): void {
    for (const event of events) {
      this.#options.log.info(`entry VM ${event.kind}`, { vm: event.vm });
      for (const listener of this.#listeners) listener(event);
    }
  }

  #nowMs(): number {
    return this.#options.clock.nowMs();
  }

  async #tellLeaving(): Promise<void> {
    this.#isLeaving = true;
    this.#waiting.clear();
    await this.sendHeartbeats();
  }

  async #closeLinks(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.close()));
  }
}

function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return left.host === right.host && left.port === right.port;
}
