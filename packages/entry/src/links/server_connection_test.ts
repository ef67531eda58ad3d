import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import { test } from "node:test";
import type { AnswerDecoder } from "./answer_decoder.ts";
import {
  type AttemptRequest,
  type AttemptResult,
  ServerConnection,
} from "./server_connection.ts";

const ANSWER_LIMIT_BYTES = 200_000;

/** Decodes every response as the answer to the request. */
const ACCEPT_ALL: AnswerDecoder = {
  decode: (_id, { status, headers, body }) => ({
    kind: "answer",
    answer: { status, headers, body },
    inFlight: undefined,
  }),
};

function connectTo(port: number): ServerConnection {
  return new ServerConnection({
    host: "127.0.0.1",
    port,
    connectTimeoutMs: 1_000,
    idleTimeoutMs: 300,
    maxAnnouncedIdleTimeoutMs: 5_000,
    answerLimitBytes: ANSWER_LIMIT_BYTES,
    decoder: ACCEPT_ALL,
  });
}

function createRequest(): AttemptRequest {
  return {
    id: "1" as contracts.RequestId,
    method: "GET",
    path: "/",
    headers: [],
    body: undefined,
    maySend: () => true,
    onServerStamp: () => {},
  };
}

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
  const connection = connectTo(port);
  const result = await connection.send(createRequest());
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

const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/** A bound on bytes beside the body must not end answers in tiny chunks. */
test("should accept a long answer in chunks of one byte", async () => {
  const result = await sendTo((socket) => {
    socket.write(CHUNKED_HEAD);
    const chunks = "1\r\na\r\n".repeat(ANSWER_LIMIT_BYTES);
    socket.write(`${chunks}0\r\n\r\n`);
  });
  expect(result.kind === "answer" && result.answer.body?.length)
    .toEqual(ANSWER_LIMIT_BYTES);
});

/** An answer that comes bit by bit for long must not be broken off. */
test("should accept a long answer in chunks that come slowly", async () => {
  const count = 100;
  const result = await sendTo(async (socket) => {
    socket.write(CHUNKED_HEAD);
    for (let index = 0; index < count; index++) {
      socket.write("10\r\n0123456789abcdef\r\n");
      await timers.setTimeout(10);
    }
    socket.write("0\r\n\r\n");
  });
  expect(result.kind === "answer" && result.answer.body?.length)
    .toEqual(16 * count);
});

/** Hints before an answer, and fields after it, are part of it. */
test("should accept an answer with early hints, extensions and trailers", async () => {
  const hint = "HTTP/1.1 103 Early Hints\r\nlink: </a>; rel=preload\r\n\r\n";
  const result = await sendTo((socket) => {
    socket.write(hint.repeat(20) + CHUNKED_HEAD);
    socket.write("2;name=value\r\n{}\r\n0\r\nx-sum: 1\r\n\r\n");
  });
  expect(result.kind).toEqual("answer");
});

/** One connection carries many answers, which each have bounds of their own. */
test("should accept any number of answers on one connection", async () => {
  const head = `HTTP/1.1 200 OK\r\nx-long: ${"a".repeat(10_000)}\r\n`;
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => socket.write(`${head}content-length: 0\r\n\r\n`));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const connection = connectTo(port);
  for (let count = 0; count < 20; count++) {
    const { kind } = await connection.send(createRequest());
    expect(kind).toEqual("answer");
  }
  connection.retire();
  server.close();
});
