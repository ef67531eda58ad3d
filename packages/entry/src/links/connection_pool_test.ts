import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { test } from "node:test";
import { ConnectionPool } from "./connection_pool.ts";
import { NativeAnswerDecoder } from "./native_answer_decoder.ts";

const TIMEOUT_MS = 300;

/** A response that says that a request was not run. */
function refusalOf(id: string): string {
  return `HTTP/1.1 503 Busy\r\nguavatide-request-id: ${id}\r\n` +
    "guavatide-not-run: busy\r\ncontent-length: 0\r\n\r\n";
}

/** Runs a test with a server that handles the requests on each connection. */
async function withPool(
  onRequest: (id: string, socket: net.Socket) => void,
  run: (parts: {
    readonly send: (id: string) => Promise<string>;
    /** Ids of the requests on each connection. */
    readonly connections: string[][];
  }) => Promise<void>,
): Promise<void> {
  const connections: string[][] = [];
  const server = net.createServer((socket) => {
    const ids: string[] = [];
    connections.push(ids);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const id = /guavatide-request-id: (.*)\r\n/.exec(bytes.toString())![1]!;
      ids.push(id);
      onRequest(id, socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const pool = new ConnectionPool({
    host: "127.0.0.1",
    port,
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    answerLimitBytes: 10_000,
    decoder: new NativeAnswerDecoder(),
    connectionLimit: 4,
    clock: { nowMs: () => performance.now() },
  });
  const send = async (id: string) => {
    const { kind } = await pool.send({
      id: id as contracts.RequestId,
      method: "POST",
      path: "/",
      headers: ["guavatide-request-id", id],
      body: undefined,
      maySend: () => true,
      onServerStamp: () => {},
    }, { timeoutMs: TIMEOUT_MS, signal: new AbortController().signal });
    return kind;
  };
  try {
    await run({ send, connections });
  } finally {
    pool.close();
    server.close();
  }
}

for (const delayMs of [0, 20, 40, 200]) {
  /** A request that may run once would run again. */
  test(`should not take an extra refusal ${delayMs} ms late for that of the same request sent again`, () => {
    let requests = 0;
    return withPool((id, socket) => {
      // The second time, the request runs and is not answered.
      if (requests++ > 0) return;
      socket.write(refusalOf(id));
      setTimeout(() => socket.write(refusalOf(id)), delayMs);
    }, async ({ send }) => {
      expect(await send("a")).toEqual("refusal");
      await timers.setTimeout(5);
      expect(await send("a")).toEqual("unknown");
    });
  });
}

/** Each new connection has a price, and servers accept a limited number. */
test("should send a refused request again over another idle connection", () =>
  withPool(
    (id, socket) => setTimeout(() => socket.write(refusalOf(id)), 20),
    async ({ send, connections }) => {
      await Promise.all([send("a"), send("b")]);
      await send("c");
      await send("c");
      await send("d");
      expect(connections.length).toEqual(2);
      expect(connections.flat().filter((id) => id === "c").length).toEqual(2);
      for (const ids of connections) {
        expect(ids.filter((id) => id === "c").length).toEqual(1);
      }
    },
  ));
