/**
 * Sends heartbeats to other entry VMs and replies to theirs. Heartbeats serve
 * membership, the confirmation of assignment revisions and the distribution of
 * newer state: each participant fills in its fields and reads the replies.
 */
import type * as contracts from "@guavatide/contracts";
import * as contractsValues from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { LifeCycle } from "../utils/life_cycle.ts";
import type { ServerTls } from "../utils/http_server.ts";
import type { Logger } from "../utils/log.ts";
import type { PeerServer } from "./peer_server.ts";
import type { PeerError } from "./peer_error.ts";
import { PeerClient } from "./peer_client.ts";

/** A heartbeat that participants fill in. */
export type HeartbeatDraft = contracts.PeerHeartbeat;
/** A reply that participants fill in. */
export type HeartbeatReplyDraft = contracts.PeerHeartbeatReply;

/** A component that exchanges data in heartbeats. All methods are optional. */
export interface HeartbeatParticipant {
  /** Adds the participant's fields to a heartbeat before it's sent. */
  fill?(draft: HeartbeatDraft): void;
  /** Handles a peer's heartbeat and adds the participant's fields to the reply. */
  answer?(
    heartbeat: contracts.PeerHeartbeat,
    draft: HeartbeatReplyDraft,
  ): void;
  /** Handles the reply to a heartbeat that was sent at `sentAtMs`. */
  noteReply?(
    reply: contracts.PeerHeartbeatReply,
    sentAtMs: number,
  ): void;
}

/** Address that a member listens on. */
export interface PeerEndpoint extends contracts.NetworkAddress {
  readonly vm: contracts.VmId;
}

/** Options of {@link PeerTask}. */
export interface PeerTaskOptions {
  readonly self: {
    readonly vm: contracts.VmId;
    readonly incarnation: contracts.Incarnation;
    readonly zone: contracts.ZoneId;
    /** IP address and port that peers call. */
    readonly host: string;
    readonly peerPort: number;
  };
  /** Secret shared by all entry VMs of one deployment. */
  readonly secret: string;
  /** If set, peers are called over TLS with this certificate. */
  readonly tls?: ServerTls;
  /** Heartbeat interval. */
  readonly heartbeatMs: number;
  /** Timeout of one heartbeat. */
  readonly heartbeatTimeoutMs: number;
  readonly peerServer: PeerServer;
  readonly membership: decisions.Membership;
  readonly clock: contracts.Clock;
  readonly log: Logger;
}

/** Exchanges heartbeats with peers and owns the clients for all of them. */
export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #clients = new Map<contracts.VmId, PeerClient>();
  readonly #participants: HeartbeatParticipant[] = [];
  readonly #pending = new Set<contracts.VmId>();
  readonly #listeners = new Set<(event: decisions.MemberEvent) => void>();
  #isLeaving = false;

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    options.peerServer.register(
      "heartbeat",
      contractsValues.peerHeartbeatSchema,
      (heartbeat) => this.#answer(heartbeat),
    );
    options.peerServer.register(
      "member",
      contractsValues.memberStatusRequestSchema,
      ({ about }) =>
        options.membership.answerIndirectProbe(about, this.#nowMs()),
    );
  }

  /** Adds a participant that exchanges data in heartbeats. */
  addParticipant(participant: HeartbeatParticipant): void {
    this.#participants.push(participant);
  }

  /** Sends heartbeats until the process stops. The last one says it leaves. */
  start(lifeCycle: LifeCycle): void {
    lifeCycle.onStop({
      name: "peer links",
      timeoutMs: 1_000,
      run: () => this.#closeClients(),
    });
    lifeCycle.onStop({
      name: "tell peers",
      timeoutMs: this.#options.heartbeatTimeoutMs + 100,
      run: () => this.#announceLeave(),
    });
    lifeCycle.every(
      this.#options.heartbeatMs,
      () => this.sendHeartbeats(),
      "heartbeats",
    );
  }

  /** Calls the listener with each membership event. */
  onMemberChange(listener: (event: decisions.MemberEvent) => void): void {
    this.#listeners.add(listener);
  }

  /** Passes the platform's list of VMs to membership. */
  noteVmList(vms: readonly contracts.ListedVm[]): void {
    this.#emit(this.#options.membership.noteVmList(vms, this.#nowMs()));
  }

  /** Sends a round of heartbeats now, for example after a new revision. */
  async sendHeartbeats(): Promise<void> {
    const effects = this.#options.membership.heartbeat(this.#nowMs());
    this.#emit(effects.events);
    await Promise.all([
      ...effects.targets.map((vm) => this.#sendHeartbeat(vm)),
      ...effects.indirectProbes.map((probe) => this.#probeIndirectly(probe)),
    ]);
  }

  /** Returns the client for a member. Undefined if it isn't a member. */
  link(vm: contracts.VmId): PeerClient | undefined {
    const member = this.#options.membership.member(vm, this.#nowMs());
    if (member === undefined) return undefined;
    const address = { host: member.host, port: member.peerPort };
    const existing = this.#clients.get(vm);
    if (existing !== undefined && isSameAddress(existing.address, address)) {
      return existing;
    }
    void existing?.close();
    const client = new PeerClient(address, this.#options);
    this.#clients.set(vm, client);
    return client;
  }

  async #sendHeartbeat(vm: contracts.VmId): Promise<void> {
    // Calls must not pile up at a peer that doesn't respond.
    if (this.#pending.has(vm)) return;
    const client = this.link(vm);
    if (client === undefined) return;
    this.#pending.add(vm);
    const sentAtMs = this.#nowMs();
    const result = await client.call("heartbeat", {
      params: this.#createHeartbeat(),
      schema: contractsValues.peerHeartbeatReplySchema,
      timeoutMs: this.#options.heartbeatTimeoutMs,
    });
    this.#pending.delete(vm);
    result.match(
      (reply) => this.#noteReply(reply, sentAtMs),
      (error) => this.#noteFailure(vm, error),
    );
  }

  async #probeIndirectly(probe: decisions.IndirectProbe): Promise<void> {
    const sentAtMs = this.#nowMs();
    const result = await this.link(probe.to)?.call("member", {
      params: { about: probe.about },
      schema: contractsValues.memberStatusReplySchema,
      timeoutMs: this.#options.heartbeatTimeoutMs,
    });
    if (result === undefined || result.isErr()) return;
    const times = { askedAtMs: sentAtMs, nowMs: this.#nowMs() };
    this.#emit(this.#options.membership.noteIndirectReply(result.value, times));
  }

  #noteReply(
    reply: contracts.PeerHeartbeatReply,
    sentAtMs: number,
  ): void {
    const { membership } = this.#options;
    const nowMs = this.#nowMs();
    this.#emit(
      membership.noteReply(reply.vm, reply.incarnation, {
        askedAtMs: sentAtMs,
        nowMs,
      }),
    );
    this.#emit(membership.noteUpdates(reply.news, nowMs));
    for (const each of this.#participants) each.noteReply?.(reply, sentAtMs);
  }

  #noteFailure(vm: contracts.VmId, error: PeerError): void {
    this.#options.log.debug("heartbeat not answered", {
      peer: vm,
      kind: error.kind,
    });
    this.#emit(this.#options.membership.noteFailure(vm, this.#nowMs()));
  }

  #answer(heartbeat: contracts.PeerHeartbeat): contracts.PeerHeartbeatReply {
    const { membership } = this.#options;
    const nowMs = this.#nowMs();
    this.#emit(membership.noteHeartbeat(heartbeat, nowMs));
    this.#emit(membership.noteUpdates(heartbeat.news, nowMs));
    const draft: HeartbeatReplyDraft = {
      vm: this.#options.self.vm,
      incarnation: this.#options.self.incarnation,
      known: [],
      configRevision: 0,
      news: membership.takeUpdates(),
      newer: [],
    };
    for (const each of this.#participants) each.answer?.(heartbeat, draft);
    return draft;
  }

  #createHeartbeat(): HeartbeatDraft {
    const draft: HeartbeatDraft = {
      ...this.#options.self,
      leaving: this.#isLeaving,
      known: [],
      configRevision: 0,
      news: this.#options.membership.takeUpdates(),
    };
    for (const each of this.#participants) each.fill?.(draft);
    return draft;
  }

  #emit(events: readonly decisions.MemberEvent[]): void {
    for (const event of events) {
      this.#options.log.info(`entry VM ${event.kind}`, { vm: event.vm });
      for (const listener of this.#listeners) listener(event);
    }
  }

  #nowMs(): number {
    return this.#options.clock.nowMs();
  }

  async #announceLeave(): Promise<void> {
    this.#isLeaving = true;
    this.#pending.clear();
    await this.sendHeartbeats();
  }

  async #closeClients(): Promise<void> {
    await Promise.all(
      [...this.#clients.values()].map((client) => client.close()),
    );
  }
}

function isSameAddress(
  left: contracts.NetworkAddress,
  right: contracts.NetworkAddress,
): boolean {
  return left.host === right.host && left.port === right.port;
}
