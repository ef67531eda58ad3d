/**
 * Decides which lease commands one process sends to the servers of one service,
 * and keeps the state that their replies report. A command grants a lease only
 * if it carries a stamp of the server's clock, and the revision was confirmed
 * after this process first saw the server's current incarnation.
 */
import type * as contracts from "@guavatide/contracts";
import { NEVER_MS } from "./assignment_tracker.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { SliceMap } from "./slice_map.ts";

/** Commands to one server that may await a reply at once. */
const MAX_OUTSTANDING_COMMANDS = 3;

/** Input of {@link LeaseCommandScheduler.takeDue}. */
export interface LeaseCommandContext {
  readonly nowMs: number;
  readonly service: contracts.ServiceId;
  /** Highest revision known; 1 while there is no assignment. */
  readonly revision: number;
  /** Slices of that revision; absent while there is no assignment. */
  readonly slices?: SliceMap;
  /** See `AssignmentTracker.confirmedAtMs`. */
  readonly confirmedAtMs: number;
  /** Lease timings of the revision. */
  readonly timings: contracts.LeaseTimings;
  /** Servers to which this process sends commands. */
  readonly servers: readonly contracts.ServerId[];
}

/** Status of a server as its last reply gave it. */
export interface ServerStatus {
  readonly instance: string;
  readonly checksFences: boolean;
  readonly draining: boolean;
  readonly lastReplyAtMs: number;
}

interface ServerState {
  lastSentAtMs: number;
  lastSentRevision: number;
  outstanding: number;
  /**
   * Send at once, not at the next interval: for example, a stamp has just
   * arrived.
   */
  isUrgent: boolean;
  reply?: contracts.LeaseCommandReply;
  /** Send time of the command whose reply is kept. */
  replyRequestSentAtMs: number;
  lastReplyAtMs: number;
  /** Time at which this process first saw the server's current incarnation. */
  instanceSeenAtMs: number;
}

/** Schedules one process's lease commands for one service. */
export class LeaseCommandScheduler {
  readonly #settings: OwnershipSettings;
  readonly #servers = new Map<contracts.ServerId, ServerState>();

  constructor(settings: OwnershipSettings) {
    this.#settings = settings;
  }

  /** The commands to send now; they count as sent. */
  takeDue(ctx: LeaseCommandContext): contracts.LeaseCommand[] {
    const commands: contracts.LeaseCommand[] = [];
    for (const server of ctx.servers) {
      const state = this.#stateOf(server);
      if (!this.#isDue(state, ctx)) continue;
      commands.push(this.#buildCommand(server, state, ctx));
      state.lastSentAtMs = ctx.nowMs;
      state.lastSentRevision = ctx.revision;
      state.isUrgent = false;
      state.outstanding++;
    }
    return commands;
  }

  /**
   * Sends to these servers at the next call, for example after a handover
   * started.
   */
  markUrgent(servers: Iterable<contracts.ServerId>): void {
    for (const server of servers) this.#stateOf(server).isUrgent = true;
  }

  /**
   * A reply to a command sent at `sentAtMs`. A reply to an earlier command than
   * the last one answered is dropped: from an earlier incarnation of the server
   * it would bring back a void stamp.
   */
  noteReply(
    server: contracts.ServerId,
    reply: contracts.LeaseCommandReply,
    times: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    const state = this.#stateOf(server);
    state.outstanding = Math.max(0, state.outstanding - 1);
    if (times.sentAtMs < state.replyRequestSentAtMs) return;
    const isNewIncarnation = state.reply?.instance !== reply.instance;
    if (isNewIncarnation) state.instanceSeenAtMs = times.nowMs;
    // The server refused the stamp; send back the one of this reply at once.
    if (isNewIncarnation || !reply.accepted) state.isUrgent = true;
    state.reply = reply;
    state.replyRequestSentAtMs = times.sentAtMs;
    state.lastReplyAtMs = times.nowMs;
  }

  /** A command got no reply. */
  noteFailure(server: contracts.ServerId): void {
    const state = this.#stateOf(server);
    state.outstanding = Math.max(0, state.outstanding - 1);
  }

  /** The server's status; undefined before its first reply. */
  status(server: contracts.ServerId): ServerStatus | undefined {
    const state = this.#servers.get(server);
    if (state?.reply === undefined) return undefined;
    return {
      instance: state.reply.instance,
      checksFences: state.reply.checksFences,
      draining: state.reply.draining,
      lastReplyAtMs: state.lastReplyAtMs,
    };
  }

  /** Forgets servers that are no longer listed. */
  keepOnly(servers: ReadonlySet<contracts.ServerId>): void {
    for (const server of this.#servers.keys()) {
      if (!servers.has(server)) this.#servers.delete(server);
    }
  }

  #isDue(state: ServerState, ctx: LeaseCommandContext): boolean {
    if (ctx.nowMs >= state.lastSentAtMs + this.#settings.renewMs) return true;
    if (state.outstanding >= MAX_OUTSTANDING_COMMANDS) return false;
    return state.isUrgent || state.lastSentRevision < ctx.revision;
  }

  #buildCommand(
    server: contracts.ServerId,
    state: ServerState,
    ctx: LeaseCommandContext,
  ): contracts.LeaseCommand {
    const command = {
      service: ctx.service,
      server,
      revision: ctx.revision,
      leaseMs: ctx.timings.leaseMs,
      slices: ctx.slices?.ownedBy(server) ?? [],
    };
    if (state.reply === undefined || !this.mayGrant(state, ctx)) return command;
    return {
      ...command,
      stampMs: state.reply.stampMs,
      stampInstance: state.reply.instance,
    };
  }

  /**
   * Whether a command may grant leases. A server that restarts after it
   * released a slice has forgotten the release. A confirmation from before this
   * process saw the new incarnation may be for the revision before the release,
   * and would return the slice while the next owner holds it. So the
   * confirmation must be newer.
   */
  protected mayGrant(
    state: { readonly instanceSeenAtMs: number },
    ctx: LeaseCommandContext,
  ): boolean {
    const isFresh = ctx.nowMs <
      ctx.confirmedAtMs + ctx.timings.evidenceMs;
    return isFresh && ctx.confirmedAtMs >= state.instanceSeenAtMs;
  }

  #stateOf(server: contracts.ServerId): ServerState {
    const known = this.#servers.get(server);
    if (known !== undefined) return known;
    const state: ServerState = {
      lastSentAtMs: NEVER_MS,
      lastSentRevision: 0,
      outstanding: 0,
      isUrgent: true,
      replyRequestSentAtMs: NEVER_MS,
      lastReplyAtMs: NEVER_MS,
      instanceSeenAtMs: NEVER_MS,
    };
    this.#servers.set(server, state);
    return state;
  }
}
