import { expect } from "earl";
import * as net from "node:net";
import { test } from "node:test";
import { probeConnection } from "./connection_probe.ts";

const RESET_AFTER_MS = 10;
const STALL_MS = 60;

/** Keeps this process from reading its sockets for a while. */
function stall(): void {
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

/** A late reset must not look like a server that is reached again. */
test("should notice a reset that waits to be read after a stall", async () => {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS);
    setImmediate(stall);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const options = { timeoutMs: 1_000, stayMs: 25 };
  const outcome = await probeConnection({ host: "127.0.0.1", port }, options);
  server.close();
  expect(outcome).toEqual("broken");
});

/** Guards against a process that ends over a rejection that nobody handles. */
test("should resolve for a port that no socket accepts", async () => {
  const target = { host: "127.0.0.1", port: 70_000 };
  const outcome = await probeConnection(target, { timeoutMs: 100 });
  expect(outcome).toEqual("broken");
});
