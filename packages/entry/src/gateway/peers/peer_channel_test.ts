import { expect } from "earl";
import * as dgram from "node:dgram";
import { test } from "node:test";
import { waitUntil } from "../../requests/fakes_test_support.ts";
import { LifeCycle } from "../../utils/life_cycle.ts";
import { PeerChannel } from "./peer_channel.ts";
import { encodeMessage } from "./peer_codec.ts";

const HOST = "127.0.0.1";

async function freePort(): Promise<number> {
  const socket = dgram.createSocket("udp4");
  await new Promise<void>((resolve) => socket.bind(0, HOST, resolve));
  const { port } = socket.address();
  await new Promise<void>((resolve) => socket.close(resolve));
  return port;
}

/** Guards against a VM that ends over one message of a peer. */
test("should handle messages after one whose handler throws", async () => {
  const errors: string[] = [];
  const port = await freePort();
  const channel = new PeerChannel({
    host: HOST,
    port,
    log: {
      debug() {},
      info() {},
      warn() {},
      error: (message) => errors.push(message),
    },
    onSent: () => {},
  });
  const handled: number[] = [];
  channel.onGuarded(
    "count",
    (params): params is { readonly count: number } => params !== null,
    ({ count }) => {
      if (count === 1) throw new TypeError("not iterable");
      handled.push(count);
    },
  );
  const lifeCycle = new LifeCycle();
  await channel.listen(lifeCycle);
  const sender = dgram.createSocket("udp4");
  try {
    for (const count of [1, 2]) {
      sender.send(encodeMessage("count", { count }), port, HOST);
    }
    await waitUntil(() => handled.length > 0);
  } finally {
    sender.close();
    await lifeCycle.stop();
  }
  expect(handled).toEqual([2]);
  expect(errors).toEqual(["Handling a datagram failed."]);
});
