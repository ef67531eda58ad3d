import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as net from "node:net";
import { test } from "node:test";
import type { AnswerDecoder } from "./answer_decoder.ts";
import { type AttemptResult, ServerConnection } from "./server_connection.ts";

/** Takes every response that came whole for the request's answer. */
const ACCEPT_ALL: AnswerDecoder = {
  decode: (_id, { status, headers, body }) => ({
    kind: "answer",
    answer: { status, headers, body },
    inFlight: undefined,
  }),
};

/** Sends one request to a server that behaves as told. */
async function sendTo(
  behave: (socket: net.Socket) => void,
): Promise<AttemptResult> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => behave(socket));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const link = new ServerConnection({
    host: "127.0.0.1",
    port,
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
    answerLimitBytes: 10_000,
    decoder: ACCEPT_ALL,
  });
  const result = await link.send({
    id: "1" as contracts.RequestId,
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    maySend: () => true,
    onServerStamp: () => {},
  });
  link.retire();
  server.close();
  return result;
}

const UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

test("should take an answer that ends with its connection", async () => {
  const result = await sendTo((socket) => socket.end(UNFRAMED_HEAD + "whole"));
  expect(result.kind).toEqual("answer");
});

/** Guards against a cut-off answer that counts as whole. */
test("should not take an answer without length that was reset", async () => {
  const result = await sendTo((socket) => {
    socket.write(UNFRAMED_HEAD + "half");
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  expect(result.kind).toEqual("unknown");
});

test("should not take an answer that is shorter than its length", async () => {
  const head = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
  const result = await sendTo((socket) => socket.end(head + "half"));
  expect(result.kind).toEqual("unknown");
});
