import { expect } from "earl";
import { LifeCycle } from "guavatide/utils/life_cycle";
import { PeerServer } from "guavatide/vms/peer_server";
import { PeerClient } from "guavatide/vms/peer_client";
import { test } from "node:test";
import * as z from "zod";
import { TcpRelay } from "../relay/tcp_relay.ts";

const SECRET = "secret-of-the-peers";

for (const mode of ["silent", "cut"] as const) {
  test(`peers: should leave a connection that went ${mode}`, async () => {
    // Something between two entry VMs has lost track of their connection. It
    // looks open at both ends; heartbeats over it get no answer. If it were
    // kept, each VM would take the other for lost although both run.
    const lifeCycle = new LifeCycle();
    const door = new PeerServer({ host: "127.0.0.1", port: 0, secret: SECRET });
    door.register("echo", z.string(), (text) => text);
    const port = await door.listen(lifeCycle);
    const relay = new TcpRelay({ host: "127.0.0.1", port });
    const relayPort = await relay.listen(0);
    const link = new PeerClient(
      { host: "127.0.0.1", port: relayPort },
      { secret: SECRET },
    );
    const call = (timeoutMs: number) =>
      link.call("echo", { params: "hello", schema: z.string(), timeoutMs });
    try {
      expect((await call(10_000)).isOk()).toEqual(true);
      relay.setFaults({ mode });
      // Whether the call meets the old connection is undici's choice; when it
      // does, it ends by its deadline and the connection is gone.
      await call(60);
      relay.setFaults({ mode: "pass" });
      await call(60);
      expect((await call(10_000)).isOk()).toEqual(true);
    } finally {
      await link.close();
      await relay.close();
      await lifeCycle.stop();
    }
  });
}
