/** Gives the request path its view of the other entry VMs. */
import type * as decisions from "@guavatide/decisions";
import type * as contracts from "@guavatide/contracts";
import type { PeerRpc } from "../requests/peer_rpc.ts";
import type { PeerDoor } from "./peer_door.ts";
import type { PeerTask } from "./peer_task.ts";

/** Options of {@link peerCallsOf}. */
export interface PeerCallsOfOptions {
  readonly self: PeerRpc["self"];
  readonly door: PeerDoor;
  readonly membership: decisions.Membership;
  readonly clock: contracts.Clock;
}

/** Calls through the links that a peer task owns. */
export function peerCallsOf(
  task: PeerTask,
  options: PeerCallsOfOptions,
): PeerRpc {
  const { self, door, membership, clock } = options;
  // Asked for every request, changed a few times a day.
  let members: readonly contracts.VmId[] | undefined;
  task.onMember(() => members = undefined);
  return {
    self,
    members: () => {
      members ??= [self.vm, ...aliveVms(membership, clock.nowMs())];
      return members;
    },
    call: async (vm, method, callOptions) => {
      const result = await task.link(vm)?.call(method, callOptions);
      return result?.isOk() ? result.value : undefined;
    },
    register: (method, schema, handler) =>
      door.register(method, schema, handler),
  };
}

function aliveVms(
  membership: decisions.Membership,
  nowMs: number,
): contracts.VmId[] {
  return membership.members(nowMs)
    .filter((member) => member.state === "alive")
    .map((member) => member.vm);
}
