import { expect } from "earl";
import { LifeCycle } from "guavatide/utils/life_cycle";
import { PeerServer } from "guavatide/vms/peer_server";
import { PeerClient } from "guavatide/vms/peer_client";
import { test } from "node:test";
import * as z from "zod";
import { TcpRelay } from "../relay/tcp_relay.ts";

const SECRET = "secret-of-the-peers";

for (const mode of ["silent", "cut"] as const) {
  test(`peers: should replace a connection that went ${mode}`, async () => {
    // A middlebox between two entry VMs drops the state of their connection. It
    // looks open at both ends, but heartbeats over it get no answer. If it were
    // kept, each VM would consider the other failed although both run.
    const lifeCycle = new LifeCycle();
    const server = new PeerServer({
      host: "127.0.0.1",
      port: 0,
      secret: SECRET,
    });
    server.register("echo", z.string(), (text) => text);
    const port = await server.listen(lifeCycle);
    const relay = new TcpRelay({ host: "127.0.0.1", port });
    const relayPort = await relay.listen(0);
    const connection = new PeerClient(
      { host: "127.0.0.1", port: relayPort },
      { secret: SECRET },
    );
    const call = (timeoutMs: number) =>
      connection.call("echo", {
        params: "hello",
        schema: z.string(),
        timeoutMs,
      });
    try {
      expect((await call(10_000)).isOk()).toEqual(true);
      relay.setFaults({ mode });
      // undici may send this call over the old connection; then the call ends
      // at its deadline and closes the connection.
      await call(60);
      relay.setFaults({ mode: "pass" });
      await call(60);
      expect((await call(10_000)).isOk()).toEqual(true);
    } finally {
      await connection.close();
      await relay.close();
      await lifeCycle.stop();
    }
  });
}
