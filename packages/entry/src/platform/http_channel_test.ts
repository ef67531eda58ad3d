import { expect } from "earl";
import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { HttpChannel } from "./http_channel.ts";

const REQUEST = { method: "POST", path: "/", body: "{}" } as const;
const LARGE_BODY = "x".repeat(1_000_000);
const TIMEOUT_MS = 100;
/** Longer than a connection takes to be established. */
const CONNECTED_TIMEOUT_MS = 5_000;
/** Longer than the timeout of a call and much shorter than a connect timeout. */
const MAX_DELAY_MS = 400;

/** Listens but never accepts a connection, because its thread is blocked. */
const BLOCKED_LISTENER = `
  const { parentPort } = require("node:worker_threads");
  const server = require("node:net").createServer();
  server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;
/** More connections than the accept queue of that listener holds. */
const QUEUED_CONNECTIONS = 4;

/** Guards against calls that exceed their deadline while connecting. */
test("should end a call at its deadline while it is connecting", async () => {
  const worker = new Worker(BLOCKED_LISTENER, { eval: true });
  const [port] = await once(worker, "message");
  const queued = Array.from(
    { length: QUEUED_CONNECTIONS },
    () => net.connect(port, "127.0.0.1").on("error", () => {}),
  );
  await timers.setTimeout(MAX_DELAY_MS);
  const channel = new HttpChannel(`http://127.0.0.1:${port}`);
  try {
    const startMs = performance.now();
    const result = await channel.call(REQUEST, { timeoutMs: TIMEOUT_MS });
    expect(result.isErr() && result.error.kind).toEqual("timeout");
    expect(performance.now() - startMs).toBeLessThan(MAX_DELAY_MS);
  } finally {
    await channel.close();
    for (const socket of queued) socket.destroy();
    await worker.terminate();
  }
});

/** Answers each request after half the timeout, in a thread of its own. */
const SLOW_SERVER = `
  const { parentPort } = require("node:worker_threads");
  const server = require("node:http").createServer((_, response) =>
    setTimeout(() => response.end("{}"), ${TIMEOUT_MS / 2})
  );
  server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** A process that was paused took a server that had answered in time for lost. */
test("should return an answer that arrived while the process was paused", async () => {
  const worker = new Worker(SLOW_SERVER, { eval: true });
  const [port] = await once(worker, "message");
  const channel = new HttpChannel(`http://127.0.0.1:${port}`);
  try {
    await channel.call(REQUEST, { timeoutMs: 5_000 });
    const call = channel.call(REQUEST, { timeoutMs: TIMEOUT_MS });
    // The request has left by then, and is not answered yet.
    await timers.setTimeout(TIMEOUT_MS / 4);
    // Timers run next, before sockets are read.
    await timers.setImmediate();
    const endMs = performance.now() + MAX_DELAY_MS;
    while (performance.now() < endMs);
    expect((await call).isOk()).toEqual(true);
  } finally {
    await channel.close();
    await worker.terminate();
  }
});

/** Runs a test with a server that reads everything and never responds. */
async function withUnresponsiveServer(
  run: (
    channel: HttpChannel,
    received: { connections: number; bytes: number },
  ) => Promise<void>,
): Promise<void> {
  const received = { connections: 0, bytes: 0 };
  const server = net.createServer((socket) => {
    received.connections++;
    socket.on("data", ({ length }) => received.bytes += length);
    socket.on("error", () => {});
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const channel = new HttpChannel(`http://127.0.0.1:${port}`);
  try {
    await run(channel, received);
  } finally {
    await channel.close();
    server.close();
  }
}

/** Guards against a needless new connection. */
test("should not reconnect for a call that has timed out", () =>
  withUnresponsiveServer(async (channel, received) => {
    const result = await channel.call(REQUEST, { timeoutMs: TIMEOUT_MS });
    expect(result.isErr()).toEqual(true);
    await timers.setTimeout(MAX_DELAY_MS);
    expect(received.connections).toEqual(1);
    expect(received.bytes > 0).toEqual(true);
  }));

/** Guards against a grant sent long after its confirmation was checked. */
test("should not write a call whose deadline passed during event loop lag", () =>
  withUnresponsiveServer(async (channel, received) => {
    const pending = channel.call(REQUEST, { timeoutMs: TIMEOUT_MS });
    const blockUntilMs = performance.now() + 2 * TIMEOUT_MS;
    while (performance.now() < blockUntilMs);
    const result = await pending;
    expect(result.isErr() && result.error.kind).toEqual("timeout");
    await timers.setTimeout(MAX_DELAY_MS);
    expect(received.bytes).toEqual(0);
  }));

/** Guards against sending a grant that is no longer permitted. */
test("should not send a call that its sender no longer permits", () =>
  withUnresponsiveServer(async (channel, received) => {
    const request = { ...REQUEST, mayLeave: () => false };
    const result = await channel.call(request, {
      timeoutMs: CONNECTED_TIMEOUT_MS,
    });
    expect(result.isErr() && result.error.kind).toEqual("kept");
    await timers.setTimeout(MAX_DELAY_MS);
    expect(received.bytes).toEqual(0);
  }));

/** The limit on bytes that are no body ended connections with large answers. */
test("should keep its connection over answers with more bytes than a head may have", async () => {
  let connections = 0;
  const server = http.createServer((_, response) => response.end(LARGE_BODY))
    .on("connection", () => connections++);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const channel = new HttpChannel(`http://127.0.0.1:${port}`, {
    connections: 1,
  });
  try {
    for (let call = 0; call < 3; call++) {
      const response = await channel.call(REQUEST, {
        timeoutMs: CONNECTED_TIMEOUT_MS,
      });
      expect(response._unsafeUnwrap().bytes.length).toEqual(LARGE_BODY.length);
    }
    expect(connections).toEqual(1);
  } finally {
    await channel.close();
    server.close();
  }
});

/** Guards against a list that is given up again and again over a slow link. */
test("should not give up an answer that is arriving", async () => {
  const parts = 10;
  const server = http.createServer(async (_, response) => {
    response.writeHead(200, { "content-length": parts });
    for (let part = 0; part < parts; part++) {
      response.write("x");
      await timers.setTimeout(2 * TIMEOUT_MS / parts);
    }
    response.end();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const channel = new HttpChannel(`http://127.0.0.1:${port}`);
  try {
    const onProgress = () => {};
    const options = { timeoutMs: TIMEOUT_MS, onProgress };
    const result = await channel.call(REQUEST, options);
    expect(result.isOk() && result.value.bytes.length).toEqual(parts);
    const plain = await channel.call(REQUEST, { timeoutMs: TIMEOUT_MS });
    expect(plain.isErr() && plain.error.kind).toEqual("timeout");
  } finally {
    await channel.close();
    server.closeAllConnections();
    server.close();
  }
});
