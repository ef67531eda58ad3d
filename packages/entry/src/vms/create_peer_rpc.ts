/** Gives the request path access to the other entry VMs. */
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

/** Makes calls through the clients of a peer task. */
export function createPeerRpc(
  task: PeerTask,
  options: CreatePeerRpcOptions,
): PeerRpc {
  const { self, peerServer, membership, clock } = options;
  // Cached, because every request reads it and it changes only a few times a
  // day.
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
      peerServer.register(method, schema, handler),
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
