/** Requests that peers send for a VM that doesn't reach their servers. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import type { UnreachedServers } from "../peers/peer_messages.ts";
import type { PathSendOptions } from "./path_attempt.ts";
import { PeerReach } from "./peer_reach.ts";
import type { RelayOutcome } from "./relay_client.ts";
import { ServerPaths, type ServerPathsOptions } from "./server_paths.ts";

const PEER = "vm2" as contracts.VmId;
const SERVER = "k1" as contracts.ServerId;
const OTHER_SERVER = "k2" as contracts.ServerId;

/** Paths of a VM that reaches no server and has one peer. */
class Fixture {
  #tell: ((news: UnreachedServers) => void) | undefined;
  #endRelayed: (() => void) | undefined;
  readonly #paths: ServerPaths;
  /** Calls of the request's `onPathLost`. */
  readonly losses: boolean[] = [];

  constructor() {
    const clock = { nowMs: () => 1_000 };
    const paths: ServerPaths = new ServerPaths({
      registry: { ids: () => [SERVER, OTHER_SERVER], find() {}, onChange() {} },
      connections: { hasOpenConnection: () => false },
      gossip: {
        live: [{ vm: PEER, isLeaving: false }],
        roleWeights: new Map(),
      },
      reach: new PeerReach({
        vm: "vm1" as contracts.VmId,
        gossip: {
          onGuarded: (_method, _isParams, handler) => {
            this.#tell = handler as (news: UnreachedServers) => void;
          },
          broadcast() {},
        },
        clock,
        own: () => paths.ownReach,
      }),
      relays: {
        attempt: () =>
          new Promise<RelayOutcome>((resolve) => {
            this.#endRelayed = () => resolve({ kind: "unavailable" });
          }),
      },
      backoffs: { leftMs: () => 0 },
      clock,
      random: { next: () => 0.5 },
      log: { debug() {}, info() {}, warn() {}, error() {} },
    } as unknown as ServerPathsOptions);
    this.#paths = paths;
    for (const server of [SERVER, OTHER_SERVER]) paths.noteFailure(server);
  }

  /** Has the peer send a request. The returned function ends it there. */
  sendByPeer(): () => Promise<void> {
    const sent = this.#paths.send(
      { server: SERVER } as contracts.RegisteredServer,
      { maySend: () => true } as Parameters<ServerPaths["send"]>[1],
      {
        timeoutMs: 3_000,
        signal: new AbortController().signal,
        isIdempotent: true,
        onPathLost: (isCertain) => {
          this.losses.push(isCertain);
          return false;
        },
      } as PathSendOptions,
    );
    return async () => {
      this.#endRelayed!();
      await sent;
    };
  }

  /** The peer tells what it doesn't reach. */
  tellLost(...servers: contracts.ServerId[]): void {
    this.#tell!({ vm: PEER, isCutOff: false, servers });
  }
}

/** A request that hangs at a peer would keep its slot until its deadline. */
test("should give up the path over a peer that no longer reaches the server", async () => {
  const fixture = new Fixture();
  const end = fixture.sendByPeer();
  fixture.tellLost(OTHER_SERVER);
  expect(fixture.losses).toEqual([]);
  fixture.tellLost(SERVER);
  expect(fixture.losses).toEqual([true]);
  await end();
  fixture.tellLost(SERVER);
  expect(fixture.losses).toEqual([true]);
});
