/** The other entry VMs as the ownership tasks see them. */
import * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import type { PeerTask } from "../vms/peer_task.ts";
import type { PeerView, TimedReceipt } from "./service_context.ts";

/** Peer method that takes in an assignment and answers what is known then. */
export const ASSIGNMENT_METHOD = "assignment";

/** Peer method that answers which assignment revision is known. */
export const KNOWN_METHOD = "known-revision";

/** Options of {@link MembershipPeerView}. */
export interface MembershipPeerViewOptions {
  readonly self: PeerView["self"];
  readonly membership: decisions.Membership;
  readonly peers: PeerTask;
  readonly clock: contracts.Clock;
  readonly timeoutMs: number;
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

  push(
    vm: contracts.VmId,
    assignment: contracts.Assignment,
  ): Promise<TimedReceipt | undefined> {
    return this.#call(vm, ASSIGNMENT_METHOD, assignment);
  }

  ask(
    vm: contracts.VmId,
    service: contracts.ServiceId,
  ): Promise<TimedReceipt | undefined> {
    return this.#call(vm, KNOWN_METHOD, { service });
  }

  async #call(
    vm: contracts.VmId,
    method: string,
    params: unknown,
  ): Promise<TimedReceipt | undefined> {
    const { peers, clock, timeoutMs } = this.#options;
    const askedAtMs = clock.nowMs();
    const answer = await peers.link(vm)?.call(method, {
      params,
      schema: contracts.knownReceiptSchema,
      timeoutMs,
    });
    return answer?.isOk() ? { ...answer.value, askedAtMs } : undefined;
  }

  #members(): decisions.MemberView[] {
    const { membership, clock } = this.#options;
    return membership.members(clock.nowMs());
  }
}
