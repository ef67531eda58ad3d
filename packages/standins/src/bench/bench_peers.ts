/** Connections between the bench's entry processes, with a set delay. */
import type * as contracts from "@guavatide/contracts";
import type { PeerCallOptions, PeerRpc } from "guavatide/requests/peer_rpc";
import type { PeerServer } from "guavatide/vms/peer_server";
import { PeerClient } from "guavatide/vms/peer_client";
import * as crypto from "node:crypto";
import type * as z from "zod";
import * as serve from "../http/serve.ts";
import type { EntryArgument, EntrySetup } from "./bench_messages.ts";

/** Production peer connections to a fixed list of peers. */
export class BenchPeers implements PeerRpc {
  readonly self: PeerRpc["self"];
  readonly #argument: EntryArgument;
  readonly #peerServer: PeerServer;
  readonly #connections = new Map<contracts.VmId, PeerClient>();
  #members: contracts.VmId[] = [];
  #sent = 0;

  constructor(argument: EntryArgument, peerServer: PeerServer) {
    this.#argument = argument;
    this.#peerServer = peerServer;
    this.self = {
      vm: argument.vm,
      incarnation: crypto.randomUUID() as contracts.Incarnation,
    };
  }

  /** Calls made so far. */
  get sent(): number {
    return this.#sent;
  }

  setPeers(peers: EntrySetup["peers"]): void {
    this.#members = peers.map((peer) => peer.vm);
    for (const { vm, port } of peers) {
      if (this.#connections.has(vm)) continue;
      const address = { host: "127.0.0.1", port };
      const { secret } = this.#argument;
      this.#connections.set(vm, new PeerClient(address, { secret }));
    }
  }

  members(): readonly contracts.VmId[] {
    return this.#members;
  }

  async call<Schema extends z.ZodType>(
    vm: contracts.VmId,
    method: string,
    options: PeerCallOptions<Schema>,
  ): Promise<z.infer<Schema> | undefined> {
    this.#sent++;
    const connection = this.#connections.get(vm);
    if (connection === undefined) return undefined;
    await serve.delay(this.#argument.peerDelayMs);
    const result = await connection.call(method, options);
    await serve.delay(this.#argument.peerDelayMs);
    return result.isOk() ? result.value : undefined;
  }

  register<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: (params: z.infer<Schema>) => unknown,
  ): void {
    this.#peerServer.register(method, schema, handler);
  }
}
