/** The other entry VMs as the ownership tasks see them. */
import * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { PeerTask } from "../vms/peer_task.ts";
import type { PeerView } from "./service_context.ts";

/** Peer method that takes in an assignment and answers what is known then. */
export const ASSIGNMENT_METHOD = "assignment";

/** Options of {@link MembershipPeerView}. */
export interface MembershipPeerViewOptions {
  readonly self: PeerView["self"];
  readonly membership: decisions.Membership;
  readonly peers: PeerTask;
  readonly clock: contracts.Clock;
  readonly pushTimeoutMs: number;
}

/** Joins membership and the links to peers. */
export class MembershipPeerView implements PeerView {
  readonly #options: MembershipPeerViewOptions;
  #listed: ReadonlySet<contracts.VmId> | undefined;

  constructor(options: MembershipPeerViewOptions) {
    this.#options = options;
  }

  get self(): PeerView["self"] {
    return this.#options.self;
  }

  live(): contracts.VmId[] {
    const others = this.#members().filter(({ state }) => state === "alive");
    return [this.self.vm, ...others.map(({ vm }) => vm)];
  }

  all(): contracts.VmId[] {
    const others = this.#members().filter(({ state }) => state !== "left");
    return [this.self.vm, ...others.map(({ vm }) => vm)];
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
  noteList(vms: readonly contracts.ListedVm[]): void {
    const names = vms.flatMap(({ vm }) => vm === undefined ? [] : [vm]);
    this.#listed = new Set(names);
  }

  async push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<contracts.KnownRevision | undefined> {
    const { peers, pushTimeoutMs } = this.#options;
    const answer = await peers.link(vm)?.call(ASSIGNMENT_METHOD, {
      params: assignment,
      schema: contracts.knownRevisionSchema,
      timeoutMs: pushTimeoutMs,
    });
    return answer?.isOk() ? answer.value : undefined;
  }

  #members(): decisions.MemberView[] {
    const { membership, clock } = this.#options;
    return membership.members(clock.nowMs());
  }
}
