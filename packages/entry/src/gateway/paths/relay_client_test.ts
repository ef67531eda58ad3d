/** Replies of relaying peers that belong to another message. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as http from "node:http";
import type * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import type { PeerHello } from "../peers/peer_messages.ts";
import { RelayClient, type RelayOutcome } from "./relay_client.ts";
import * as messages from "./relay_messages.ts";

const SERVER = { server: "s1", bornMs: 1 } as contracts.RegisteredServer;
const SELF = {
  vm: "vm1" as contracts.VmId,
  incarnation: "r1" as contracts.Incarnation,
  host: "127.0.0.1",
};

function attempt(client: RelayClient, port: number): Promise<RelayOutcome> {
  const vm = "vm2" as contracts.VmId;
  const peer = { vm, host: "127.0.0.1", port } as PeerHello;
  return client.attempt(peer, SERVER, {
    id: "q1" as contracts.RequestId,
    method: "GET",
    path: "/x",
    headers: [],
    body: undefined,
    maySend: () => true,
    onServerStamp: () => {},
  }, {
    timeoutMs: 300,
    expectedMs: 50,
    isIdempotent: true,
    priority: 0,
    signal: new AbortController().signal,
    request: { host: "h", key: undefined, caller: "" },
    onPathLost: () => false,
  });
}

for (const delayMs of [20, 40, 200]) {
  /** A request that has run would count as not sent, and run again. */
  test(`should not take a peer's extra reply ${delayMs} ms late for that to the next message`, async () => {
    let calls = 0;
    const reply = messages.encodeRelayMessage({
      kind: "declined",
      reason: "stopping",
    });
    // Answers the first message twice and no other.
    const peer = http.createServer((request, response) => {
      request.resume();
      if (calls++ > 0) return;
      const { socket } = request;
      const id = request.headers[contracts.REQUEST_ID_HEADER];
      const answer = () =>
        socket.write(
          `HTTP/1.1 200 OK\r\n${contracts.REQUEST_ID_HEADER}: ${id}\r\n` +
            `content-length: ${reply.length}\r\n\r\n${Buffer.from(reply)}`,
        );
      response.detachSocket(socket);
      answer();
      setTimeout(answer, delayMs);
    });
    await new Promise<void>((resolve) => peer.listen(0, "127.0.0.1", resolve));
    const { port } = peer.address() as net.AddressInfo;
    const client = new RelayClient({ self: SELF, count: () => {} });
    try {
      expect((await attempt(client, port)).kind).toEqual("declined");
      await timers.setTimeout(5);
      const second = await attempt(client, port);
      expect(second.kind === "ended" && second.result.kind).toEqual("unknown");
    } finally {
      client.keepOnly(new Set());
      peer.closeAllConnections();
      peer.close();
    }
  });
}
