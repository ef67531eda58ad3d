/**
 * Which ownership orders one process sends to the servers of one service, and
 * what their replies tell. An order grants only when it bears a stamp that
 * the server gave, and evidence that was asked after the server's present run
 * was first seen.
 */
import type * as contracts from "@guavatide/contracts";
import { NEVER_MS } from "./assignment_tracker.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { SliceMap } from "./slice_map.ts";

/** Orders to one server that may wait for a reply at once. */
const MAX_OUTSTANDING_COMMANDS = 3;

/** What the book decides from. */
export interface LeaseCommandContext {
  readonly nowMs: number;
  readonly service: contracts.ServiceId;
  /** Highest revision known; 1 while there is no assignment. */
  readonly revision: number;
  /** Slices of that revision; absent while there is no assignment. */
  readonly slices?: SliceMap;
  /** See `EvidenceBook.evidenceAskedAtMs`. */
  readonly confirmedAtMs: number;
  /** In force at the revision. */
  readonly timings: contracts.LeaseTimings;
  /** Servers that this process sends orders to. */
  readonly servers: readonly contracts.ServerId[];
}

/** What is known of a server from its replies. */
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
  /** Send again without waiting for the interval: a stamp has just come. */
  isUrgent: boolean;
  reply?: contracts.LeaseCommandReply;
  /** When the order left whose reply is kept. */
  replyRequestSentAtMs: number;
  lastReplyAtMs: number;
  /** When this process first saw the server's present run. */
  instanceSeenAtMs: number;
}

/** Orders of one process for one service. */
export class LeaseCommandScheduler {
  readonly #settings: OwnershipSettings;
  readonly #servers = new Map<contracts.ServerId, ServerState>();

  constructor(settings: OwnershipSettings) {
    this.#settings = settings;
  }

  /** The orders that are to leave now; they count as sent. */
  takeDue(due: LeaseCommandContext): contracts.LeaseCommand[] {
    const orders: contracts.LeaseCommand[] = [];
    for (const server of due.servers) {
      const state = this.#stateOf(server);
      if (!this.#isDue(state, due)) continue;
      orders.push(this.#compose(server, state, due));
      state.lastSentAtMs = due.nowMs;
      state.lastSentRevision = due.revision;
      state.isUrgent = false;
      state.outstanding++;
    }
    return orders;
  }

  /** Sends to these servers at the next chance, for example after a move. */
  markUrgent(servers: Iterable<contracts.ServerId>): void {
    for (const server of servers) this.#stateOf(server).isUrgent = true;
  }

  /**
   * A reply to an order that left at `sentAtMs`. Late replies are dropped: one
   * of an earlier run of the server would bring back a stamp that is void.
   */
  noteReply(
    server: contracts.ServerId,
    reply: contracts.LeaseCommandReply,
    times: { readonly sentAtMs: number; readonly nowMs: number },
  ): void {
    const state = this.#stateOf(server);
    state.outstanding = Math.max(0, state.outstanding - 1);
    if (times.sentAtMs < state.replyRequestSentAtMs) return;
    const isNewRun = state.reply?.instance !== reply.instance;
    if (isNewRun) state.instanceSeenAtMs = times.nowMs;
    // A refused stamp is replaced by this reply's; send it back without delay.
    if (isNewRun || !reply.accepted) state.isUrgent = true;
    state.reply = reply;
    state.replyRequestSentAtMs = times.sentAtMs;
    state.lastReplyAtMs = times.nowMs;
  }

  /** No reply came to an order. */
  noteFailure(server: contracts.ServerId): void {
    const state = this.#stateOf(server);
    state.outstanding = Math.max(0, state.outstanding - 1);
  }

  /** What a server's last reply told; undefined before the first. */
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

  #isDue(state: ServerState, due: LeaseCommandContext): boolean {
    if (due.nowMs >= state.lastSentAtMs + this.#settings.renewMs) return true;
    if (state.outstanding >= MAX_OUTSTANDING_COMMANDS) return false;
    return state.isUrgent || state.lastSentRevision < due.revision;
  }

  #compose(
    server: contracts.ServerId,
    state: ServerState,
    due: LeaseCommandContext,
  ): contracts.LeaseCommand {
    const order = {
      service: due.service,
      server,
      revision: due.revision,
      leaseMs: due.timings.leaseMs,
      slices: due.slices?.ownedBy(server) ?? [],
    };
    if (state.reply === undefined || !this.mayGrant(state, due)) return order;
    return {
      ...order,
      stampMs: state.reply.stampMs,
      stampInstance: state.reply.instance,
    };
  }

  /**
   * A server that restarts after it released a slice has forgotten that it
   * did. Evidence from before this process saw the new run could still be for
   * the revision before the release, and the new run would take the slice
   * back while the next owner has it. So the evidence must be younger.
   */
  protected mayGrant(
    state: { readonly instanceSeenAtMs: number },
    due: LeaseCommandContext,
  ): boolean {
    const isFresh = due.nowMs <
      due.confirmedAtMs + due.timings.evidenceMs;
    return isFresh && due.confirmedAtMs >= state.instanceSeenAtMs;
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
