import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { test } from "node:test";
import type { AnswerDecoder } from "./answer_decoder.ts";
import { type AttemptResult, ServerConnection } from "./server_connection.ts";

/** Decodes every response as the answer to the request. */
const ACCEPT_ALL: AnswerDecoder = {
  decode: (_id, { status, headers, body }) => ({
    kind: "answer",
    answer: { status, headers, body },
    inFlight: undefined,
  }),
};

/** Sends one request to a server with the given behaviour. */
async function sendTo(
  behave: (socket: net.Socket) => void,
): Promise<AttemptResult> {
  return (await sendAndRest(behave, 0)).result;
}

/** Also tells whether the connection is usable after `restMs` without use. */
async function sendAndRest(
  behave: (socket: net.Socket) => void,
  restMs: number,
): Promise<{ readonly result: AttemptResult; readonly isUsable: boolean }> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => behave(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const connection = new ServerConnection({
    host: "127.0.0.1",
    port,
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 300,
    maxAnnouncedIdleTimeoutMs: 5_000,
    answerLimitBytes: 10_000,
    decoder: ACCEPT_ALL,
  });
  const result = await connection.send({
    id: "1" as contracts.RequestId,
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    maySend: () => true,
    onServerStamp: () => {},
  });
  await timers.setTimeout(restMs);
  const { isUsable } = connection;
  connection.retire();
  server.close();
  return { result, isUsable };
}

const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

test("should accept a close-delimited response", async () => {
  const result = await sendTo((socket) => socket.end(UNFRAMED_HEAD + "whole"));
  expect(result.kind).toEqual("answer");
});

/** Guards against a truncated response that counts as whole. */
test("should not accept a close-delimited response that was reset", async () => {
  const result = await sendTo((socket) => {
    socket.write(UNFRAMED_HEAD + "half");
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  expect(result.kind).toEqual("unknown");
});

test("should not accept a response shorter than its length", async () => {
  const head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
  const result = await sendTo((socket) => socket.end(head + "half"));
  expect(result.kind).toEqual("unknown");
});

/** Guards against a new connection for nearly each request by key. */
test("should keep an idle connection for as long as its server announces", async () => {
  const restMs = 900;
  const reply = (header: string) => (socket: net.Socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${header}content-length: 0\r\n\r\n`);
  };
  const [silent, announcing, brief] = await Promise.all([
    sendAndRest(reply(""), restMs),
    sendAndRest(reply("keep-alive: timeout=6\r\n"), restMs),
    sendAndRest(reply("keep-alive: timeout=2\r\n"), restMs),
  ]);
  expect(silent.isUsable).toEqual(false);
  expect(announcing.isUsable).toEqual(true);
  expect(brief.isUsable).toEqual(false);
});
