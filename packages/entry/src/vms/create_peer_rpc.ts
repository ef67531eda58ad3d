/** Gives the request path its view of the other entry VMs. */
import type * as decisions from "@guavatide/decisions";
import type * as contracts from "@guavatide/contracts";
import type { PeerRpc } from "../requests/peer_rpc.ts";
import type { PeerServer } from "./peer_server.ts";
import type { PeerTask } from "./peer_task.ts";

/** Options of {@link createPeerRpc}. */
export interface CreatePeerRpcOptions {
  readonly self: PeerRpc["self"];
  readonly peerServer: PeerServer;
  readonly membership: decisions.Membership;
  readonly clock: contracts.Clock;
}

/** Calls through the links that a peer task owns. */
export function createPeerRpc(
  task: PeerTask,
  options: CreatePeerRpcOptions,
): PeerRpc {
  const { self, peerServer: door, membership, clock } = options;
  // Asked for every request, changed a few times a day.
  let members: readonly contracts.VmId[] | undefined;
  task.onMemberChange(() => members = undefined);
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
