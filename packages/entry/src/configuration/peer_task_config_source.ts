/** Transports the configuration in the peer task's heartbeats and calls. */
import type * as contracts from "@guavatide/contracts";
import type * as decisions from "@guavatide/decisions";
import * as neverthrow from "neverthrow";
import type { PeerServer } from "../vms/peer_server.ts";
import type { PeerTask } from "../vms/peer_task.ts";
import * as source from "./peer_config_source.ts";

/** Options of {@link PeerTaskConfigSource}. */
export interface PeerTaskConfigSourceOptions {
  readonly vm: contracts.VmId;
  readonly peers: PeerTask;
  readonly door: PeerServer;
  readonly membership: decisions.Membership;
  readonly clock: contracts.Clock;
}

/** {@link source.PeerConfigSource} on top of the peer task. */
export class PeerTaskConfigSource implements source.PeerConfigSource {
  readonly #options: PeerTaskConfigSourceOptions;

  constructor(options: PeerTaskConfigSourceOptions) {
    this.#options = options;
  }

  liveVms(): readonly contracts.VmId[] {
    const { clock, membership, vm } = this.#options;
    // A listed VM counts before its first heartbeat. Otherwise each VM would
    // see only itself right after the whole cluster has started, and all of
    // them would watch the store.
    const others = membership.members(clock.nowMs())
      .filter((member) => member.state !== "lost" && member.state !== "left")
      .filter((member) => member.vm !== vm);
    return [vm, ...others.map((member) => member.vm)];
  }

  serve(provider: source.ConfigProvider): void {
    this.#options.peers.addParticipant({
      fill: (draft) => {
        draft.configRevision = provider.revision;
      },
      answer: (heartbeat, draft) => {
        provider.notePeerRevision(heartbeat.vm, heartbeat.configRevision);
        draft.configRevision = provider.revision;
      },
      noteReply: (reply) =>
        provider.notePeerRevision(reply.vm, reply.configRevision),
    });
    this.#options.door.register(
      source.CONFIG_METHOD,
      source.configRequestSchema,
      ({ haveRevision }) => provider.deltaSince(haveRevision) ?? null,
    );
  }

  fetch(
    vm: contracts.VmId,
    options: source.PeerConfigFetchOptions,
  ): neverthrow.ResultAsync<
    decisions.ConfigDelta | null,
    source.PeerConfigError
  > {
    const client = this.#options.peers.link(vm);
    if (client === undefined) {
      const message = `Entry VM "${vm}" is no longer a member: ask another`;
      return neverthrow.errAsync({ kind: "unreachable", message });
    }
    return client.call(source.CONFIG_METHOD, {
      params: { haveRevision: options.haveRevision },
      schema: source.configReplySchema,
      timeoutMs: options.timeoutMs,
    });
  }

  announce(): void {
    void this.#options.peers.sendHeartbeats();
  }
}
