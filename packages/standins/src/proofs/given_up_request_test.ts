import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { ServerConnection } from "guavatide/links/server_connection";
import * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { TcpRelay } from "../relay/tcp_relay.ts";

/** Longer than held-back bytes or a reset take to arrive. */
const ARRIVAL_MS = 200;

/**
 * Guards against a server running a request after its caller was told that it
 * timed out. It comes about when the network holds the bytes back and delivers
 * them later.
 */
test("should not deliver an abandoned request after its connection heals", async () => {
  let arrivedBytes = 0;
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", ({ length }) => arrivedBytes += length);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const relay = new TcpRelay({ host: "127.0.0.1", port });
  const connection = new ServerConnection({
    host: "127.0.0.1",
    port: await relay.listen(0),
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    answerLimitBytes: 10_000,
    decoder: { decode: () => ({ kind: "bad", message: "No answer is due" }) },
  });
  try {
    relay.setFaults({ mode: "hold" });
    const sent = connection.send({
      id: "1" as contracts.RequestId,
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      maySend: () => true,
      onServerStamp: () => {},
    });
    await timers.setTimeout(ARRIVAL_MS);
    connection.abandon("timeout-after-send", "No answer before the deadline");
    expect((await sent).kind).toEqual("unknown");
    await timers.setTimeout(ARRIVAL_MS);
    relay.setFaults({ mode: "pass" });
    await timers.setTimeout(ARRIVAL_MS);
    expect(arrivedBytes).toEqual(0);
  } finally {
    connection.retire();
    await relay.close();
    server.close();
  }
});
