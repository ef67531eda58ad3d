/** Answers whose status is none of HTTP. */
import * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import * as relayMessages from "../gateway/paths/relay_messages.ts";
import { HttpChannel } from "../platform/http_channel.ts";
import { RawServer } from "./cut_answer_test_support.ts";
import { ServerConnection } from "./server_connection.ts";

const STATUSES = ["000", "001", "099", "600", "999", "1000", "20", "-200", "x"];
/** What follows the status line, with and without an end of its own. */
const RESTS = [
  "content-length: 5\r\n\r\nhello",
  "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
  "content-length: 0\r\n\r\n",
  "connection: close\r\n\r\nhello",
];
const INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";
const TIMEOUT_MS = 2_000;

/** Starts of answers, the odd status first or after an interim answer. */
const CASES = STATUSES.flatMap((status) =>
  RESTS.flatMap((rest) =>
    ["", INTERIM].map((before) => `${before}HTTP/1.1 ${status} Odd\r\n${rest}`)
  )
);

/** Gets one answer with these bytes, and the connection's end where it tells one. */
async function withAnswer<Result>(
  text: string,
  run: (port: number) => Promise<Result>,
): Promise<Result> {
  const server = new RawServer((socket) => {
    socket.write(text, "latin1");
    if (text.includes("connection: close")) socket.end();
  });
  const port = await server.listen();
  try {
    return await run(port);
  } finally {
    server.close();
  }
}

/** Returns how a request ended that got these bytes. */
function sendRequest(text: string): Promise<string> {
  return withAnswer(text, async (port) => {
    const connection = new ServerConnection({
      host: "127.0.0.1",
      port,
      connectTimeoutMs: TIMEOUT_MS,
      idleTimeoutMs: TIMEOUT_MS,
      answerLimitBytes: 1_000,
      decoder: {
        decode: (_id, { status, headers, body }) => ({
          kind: "answer",
          answer: { status, headers, body },
          inFlight: undefined,
        }),
      },
    });
    const timer = setTimeout(
      () => connection.abandon("timeout-after-send", "no result"),
      TIMEOUT_MS,
    );
    const result = await connection.send({
      id: "q1" as contracts.RequestId,
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      maySend: () => true,
      onServerStamp: () => {},
    });
    clearTimeout(timer);
    const isUsable = connection.isUsable ? ", usable" : "";
    connection.retire();
    return result.kind === "unknown"
      ? `${result.reason}${isUsable}`
      : result.kind;
  });
}

/** Returns how a call ended that got these bytes. */
function call(text: string): Promise<string> {
  return withAnswer(text, async (port) => {
    const channel = new HttpChannel(`http://127.0.0.1:${port}`);
    const result = await channel.call(
      { method: "GET", path: "/" },
      { timeoutMs: TIMEOUT_MS },
    );
    await channel.close();
    return result.isOk() ? `status ${result.value.status}` : result.error.kind;
  });
}

/** Guards against an answer with a status that the caller can't understand. */
test("should take no status outside the range of HTTP for a server's answer", async () => {
  const ends = await Promise.all(CASES.map(sendRequest));
  const taken = CASES.filter((_, index) => ends[index] !== "bad-answer")
    .map((text) => `${JSON.stringify(text)}: ${ends[CASES.indexOf(text)]}`);
  expect(taken).toEqual([]);
});

/** Guards against the same in answers of the store, of servers to grants, and of peers. */
test("should take no status outside the range of HTTP for the answer to a call", async () => {
  const ends = await Promise.all(CASES.map(call));
  const taken = CASES.filter((_, index) => ends[index] !== "bad-answer")
    .map((text) => `${JSON.stringify(text)}: ${ends[CASES.indexOf(text)]}`);
  expect(taken).toEqual([]);
});

/** Guards against such an answer that a peer of another version passes on. */
test("should take no status outside the range of HTTP from a relaying peer", () => {
  const kinds = [0, 99, 100, 199, 600, 999, 1_000, -200].map((status) =>
    relayMessages.resultOf({
      kind: "answer",
      status,
      headers: [],
      endsWithConnection: false,
      relayed: 1,
    }, new Uint8Array())?.kind
  );
  expect(kinds).toEqual(kinds.map(() => "unknown"));
});
