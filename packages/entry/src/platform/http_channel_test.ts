import { expect } from "earl";
import { once } from "node:events";
import * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { HttpChannel } from "./http_channel.ts";

const CALL = { method: "POST", path: "/", body: "{}" } as const;
const TIMEOUT_MS = 100;
/** Longer than a call, and much less than an attempt to connect. */
const SOON_MS = 400;

/** Listens and never accepts, since its thread waits for good. */
const DEAF_LISTENER = `
  const { parentPort } = require("node:worker_threads");
  const server = require("node:net").createServer();
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;
/** More than the queue of a deaf listener takes. */
const FILLERS = 4;

/** Guards against calls that outlast their deadline by an attempt to connect. */
test("should end a call by its deadline while its connection is not up", async () => {
  const worker = new Worker(DEAF_LISTENER, { eval: true });
  const [port] = await once(worker, "message");
  const fillers = Array.from(
    { length: FILLERS },
    () => net.connect(port, "127.0.0.1").on("error", () => {}),
  );
  await timers.setTimeout(SOON_MS);
  const channel = new HttpChannel(`http://127.0.0.1:${port}`);
  try {
    const startMs = performance.now();
    const result = await channel.call(CALL, { timeoutMs: TIMEOUT_MS });
    expect(result.isErr() && result.error.kind).toEqual("timeout");
    expect(performance.now() - startMs).toBeLessThan(SOON_MS);
  } finally {
    await channel.close();
    for (const filler of fillers) filler.destroy();
    await worker.terminate();
  }
});

/** Runs a test on a server that takes everything and answers nothing. */
async function withMuteServer(
  run: (
    channel: HttpChannel,
    seen: { connections: number; bytes: number },
  ) => Promise<void>,
): Promise<void> {
  const seen = { connections: 0, bytes: 0 };
  const server = net.createServer((socket) => {
    seen.connections++;
    socket.on("data", ({ length }) => seen.bytes += length);
    socket.on("error", () => {});
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const channel = new HttpChannel(`http://127.0.0.1:${port}`);
  try {
    await run(channel, seen);
  } finally {
    await channel.close();
    server.close();
  }
}

/** Guards against a connection that is opened for nothing. */
test("should not connect anew for a call that was given up", () =>
  withMuteServer(async (channel, seen) => {
    const result = await channel.call(CALL, { timeoutMs: TIMEOUT_MS });
    expect(result.isErr()).toEqual(true);
    await timers.setTimeout(SOON_MS);
    expect(seen.connections).toEqual(1);
    expect(seen.bytes > 0).toEqual(true);
  }));

/** Guards against a grant that leaves long after its evidence was looked at. */
test("should not write a call whose deadline passed in a late event loop", () =>
  withMuteServer(async (channel, seen) => {
    const ended = channel.call(CALL, { timeoutMs: TIMEOUT_MS });
    const endMs = performance.now() + 2 * TIMEOUT_MS;
    while (performance.now() < endMs);
    const result = await ended;
    expect(result.isErr() && result.error.kind).toEqual("timeout");
    await timers.setTimeout(SOON_MS);
    expect(seen.bytes).toEqual(0);
  }));

/** Guards against a grant that leaves although it may not any more. */
test("should keep a call back that may not leave", () =>
  withMuteServer(async (channel, seen) => {
    const call = { ...CALL, mayLeave: () => false };
    const result = await channel.call(call, { timeoutMs: TIMEOUT_MS });
    expect(result.isErr() && result.error.kind).toEqual("kept");
    await timers.setTimeout(SOON_MS);
    expect(seen.bytes).toEqual(0);
  }));
