/** The other entry VMs as the ownership tasks see them. */
import * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { PeerTask } from "../vms/peer_task.ts";
import type { PeerView, TimedReply } from "./service_context.ts";

/** Peer method that takes in an assignment and answers what is known then. */
export const ASSIGNMENT_METHOD = "assignment";

/** Peer method that answers which assignment revision is known. */
export const KNOWN_REVISION_METHOD = "known-revision";

/** Options of {@link MembershipPeerView}. */
export interface MembershipPeerViewOptions {
  readonly self: PeerView["self"];
  readonly membership: decisions.Membership;
  readonly peers: PeerTask;
  readonly clock: contracts.Clock;
  readonly timeoutMs: number;
}

/** Longest time for which lists of members are kept. */
const MEMBER_LISTS_TTL_MS = 1_000;

interface MemberLists {
  readonly live: readonly contracts.VmId[];
  readonly all: readonly contracts.VmId[];
}

/** Joins membership and the links to peers. */
export class MembershipPeerView implements PeerView {
  readonly #options: MembershipPeerViewOptions;
  #listed: ReadonlySet<contracts.VmId> | undefined;
  #lists: MemberLists = { live: [], all: [] };
  #listsUntilMs = Number.NEGATIVE_INFINITY;

  constructor(options: MembershipPeerViewOptions) {
    this.#options = options;
    options.peers.onMemberChange(() => {
      this.#listsUntilMs = Number.NEGATIVE_INFINITY;
    });
  }

  get self(): PeerView["self"] {
    return this.#options.self;
  }

  live(): readonly contracts.VmId[] {
    return this.#current().live;
  }

  all(): readonly contracts.VmId[] {
    return this.#current().all;
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
    return this.#listed;
  }

  pin(vms: Iterable<contracts.VmId>): void {
    this.#options.membership.pin(vms);
  }

  /** Takes the platform's list. */
  noteVmList(vms: readonly contracts.ListedVm[]): void {
    const names = vms.flatMap(({ vm }) => vm === undefined ? [] : [vm]);
    this.#listed = new Set(names);
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
    const askedAtMs = clock.nowMs();
    const answer = await peers.link(vm)?.call(method, {
      params,
      schema: contracts.knownRevisionReplySchema,
      timeoutMs,
    });
    return answer?.isOk()
      ? { ...answer.value, requestedAtMs: askedAtMs }
      : undefined;
  }

  /**
   * The ownership tasks ask many times a second; the lists change with an
   * event of membership, or slowly with the platform's list.
   */
  #current(): MemberLists {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#listsUntilMs) return this.#lists;
    const others = this.#options.membership.members(nowMs);
    const alive = others.filter(({ state }) => state === "alive");
    const kept = others.filter(({ state }) => state !== "left");
    const lists = {
      live: [this.self.vm, ...alive.map(({ vm }) => vm)],
      all: [this.self.vm, ...kept.map(({ vm }) => vm)],
    };
    this.#listsUntilMs = nowMs + MEMBER_LISTS_TTL_MS;
    // The same list stays the same object, so that others can tell a change.
    if (JSON.stringify(lists) !== JSON.stringify(this.#lists)) {
      this.#lists = lists;
    }
    return this.#lists;
  }
}
