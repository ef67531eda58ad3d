/** The other entry VMs as seen by the ownership tasks. */
import * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { PeerTask } from "../vms/peer_task.ts";
import type { PeerView, TimedReply } from "./service_context.ts";

/** Peer method that applies an assignment and returns the known revision. */
export const ASSIGNMENT_METHOD = "assignment";

/** Peer method that returns the known assignment revision. */
export const KNOWN_REVISION_METHOD = "known-revision";

/** Options of {@link MembershipPeerView}. */
export interface MembershipPeerViewOptions {
  readonly self: PeerView["self"];
  readonly membership: decisions.Membership;
  readonly peers: PeerTask;
  readonly clock: contracts.Clock;
  /** Timeout of one call to a peer. */
  readonly timeoutMs: number;
}

/** Maximum age of the cached member lists. */
const MEMBER_LISTS_TTL_MS = 1_000;

interface MemberLists {
  readonly live: readonly contracts.VmId[];
  readonly all: readonly contracts.VmId[];
}

/** {@link PeerView} on top of membership and the peer clients. */
export class MembershipPeerView implements PeerView {
  readonly #options: MembershipPeerViewOptions;
  #listedVms: ReadonlySet<contracts.VmId> | undefined;
  #memberLists: MemberLists = { live: [], all: [] };
  #memberListsExpireMs = Number.NEGATIVE_INFINITY;

  constructor(options: MembershipPeerViewOptions) {
    this.#options = options;
    options.peers.onMemberChange(() => {
      this.#memberListsExpireMs = Number.NEGATIVE_INFINITY;
    });
  }

  get self(): PeerView["self"] {
    return this.#options.self;
  }

  live(): readonly contracts.VmId[] {
    return this.#currentLists().live;
  }

  all(): readonly contracts.VmId[] {
    return this.#currentLists().all;
  }

  isLost(vm: contracts.VmId, incarnation: contracts.Incarnation): boolean {
    if (vm === this.self.vm) return incarnation !== this.self.incarnation;
    const { membership, clock } = this.#options;
    const member = membership.member(vm, clock.nowMs());
    if (member === undefined) return false;
    if (member.state === "lost" || member.state === "left") return true;
    const current = member.incarnation;
    return current !== undefined && current !== incarnation;
  }

  listed(): ReadonlySet<contracts.VmId> | undefined {
    return this.#listedVms;
  }

  pin(vms: Iterable<contracts.VmId>): void {
    this.#options.membership.pin(vms);
  }

  /** Stores the platform's list of VMs. */
  noteVmList(vms: readonly contracts.ListedVm[]): void {
    const names = vms.flatMap(({ vm }) => vm === undefined ? [] : [vm]);
    this.#listedVms = new Set(names);
  }

  push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<TimedReply | undefined> {
    return this.#call(vm, ASSIGNMENT_METHOD, assignment);
  }

  fetchKnownRevision(
    vm: contracts.VmId,
    service: contracts.ServiceId,
  ): Promise<TimedReply | undefined> {
    return this.#call(vm, KNOWN_REVISION_METHOD, { service });
  }

  async #call(
    vm: contracts.VmId,
    method: string,
    params: unknown,
  ): Promise<TimedReply | undefined> {
    const { peers, clock, timeoutMs } = this.#options;
    const requestedAtMs = clock.nowMs();
    const reply = await peers.link(vm)?.call(method, {
      params,
      schema: contracts.knownRevisionReplySchema,
      timeoutMs,
    });
    return reply?.isOk() ? { ...reply.value, requestedAtMs } : undefined;
  }

  /**
   * Cached, because the ownership tasks read the lists many times a second and
   * they change only with a membership event or with the platform's list.
   */
  #currentLists(): MemberLists {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#memberListsExpireMs) return this.#memberLists;
    const others = this.#options.membership.members(nowMs);
    const alive = others.filter(({ state }) => state === "alive");
    const known = others.filter(({ state }) => state !== "left");
    const lists = {
      live: [this.self.vm, ...alive.map(({ vm }) => vm)],
      all: [this.self.vm, ...known.map(({ vm }) => vm)],
    };
    this.#memberListsExpireMs = nowMs + MEMBER_LISTS_TTL_MS;
    // Unchanged lists stay the same object, so callers compare by identity.
    if (JSON.stringify(lists) !== JSON.stringify(this.#memberLists)) {
      this.#memberLists = lists;
    }
    return this.#memberLists;
  }
}
