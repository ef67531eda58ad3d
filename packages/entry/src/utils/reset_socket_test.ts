import { expect } from "earl";
import { once } from "node:events";
import * as net from "node:net";
import { test } from "node:test";
import { resetSocket } from "./reset_socket.ts";

async function connect(): Promise<
  {
    readonly server: net.Server;
    readonly client: net.Socket;
    readonly peer: net.Socket;
  }
> {
  const server = net.createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const client = net.connect(port, "127.0.0.1");
  const [[peer]] = await Promise.all([
    once(server, "connection"),
    once(client, "connect"),
  ]);
  return { server, client, peer };
}

/** A socket that Node never closed kept the process of a passed soak alive. */
test("should close a connection that is reset while it ends", async () => {
  const { server, client, peer } = await connect();
  peer.on("error", () => {});
  client.end();
  resetSocket(client);
  await once(client, "close");
  expect(client.destroyed).toEqual(true);
  server.close();
});

/** A normal close delivers data that a reset discards. */
test("should reset a connection that is open", async () => {
  const { server, client, peer } = await connect();
  resetSocket(client);
  const [error] = await once(peer, "error");
  expect(error.code).toEqual("ECONNRESET");
  server.close();
});
