/** Answers of backend servers that end before they are whole. */
import type * as contracts from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import type { AnswerDecoder } from "./answer_decoder.ts";
import {
  ANSWER_SHAPES,
  type AnswerCut,
  createCuts,
  findFaults,
  isReset,
  withCutServer,
} from "./cut_answer_test_support.ts";
import { hasKnownEnd } from "./native_answer_decoder.ts";
import { type AttemptResult, ServerConnection } from "./server_connection.ts";

const BODY = "hello, world";
const PARTS = { headers: "x-a: b\r\n", body: BODY };

/** Decodes every response, and tells whether its end is known. */
const ACCEPT_ALL: AnswerDecoder = {
  decode: (_id, raw) => ({
    kind: "answer",
    answer: {
      status: raw.status,
      headers: raw.headers,
      body: raw.body,
      endsWithConnection: !hasKnownEnd(raw),
    },
    inFlight: undefined,
  }),
};

function receive(cut: AnswerCut, body?: Uint8Array): Promise<AttemptResult> {
  return withCutServer(cut, { body: "" }, async (port) => {
    const connection = new ServerConnection({
      host: "127.0.0.1",
      port,
      connectTimeoutMs: 1_000,
      idleTimeoutMs: 5_000,
      answerLimitBytes: 100_000,
      decoder: ACCEPT_ALL,
    });
    const send = (sent?: Uint8Array) =>
      connection.send({
        id: "1" as contracts.RequestId,
        method: sent === undefined ? "GET" : "POST",
        path: "/",
        headers: [],
        body: sent,
        maySend: () => true,
        onServerStamp: () => {},
      });
    if (cut.isReused) await send();
    const result = await send(body);
    connection.retire();
    return result;
  });
}

/** What is wrong with the result of a cut answer, if anything. */
function faultOf(cut: AnswerCut, result: AttemptResult): string | undefined {
  if (result.kind !== "answer") {
    const isExpected = !cut.isWhole || isReset(cut.end) ||
      result.kind === "unknown" && result.reason === "bad-answer";
    return isExpected ? undefined : `${result.kind}, though it is whole`;
  }
  const { body, endsWithConnection } = result.answer;
  const text = Buffer.from(body).toString();
  if (endsWithConnection) {
    return cut.isOpenEnded && BODY.startsWith(text)
      ? undefined
      : "an answer that ends with the connection";
  }
  return cut.isWhole && text === BODY ? undefined : `a whole "${text}"`;
}

for (const shape of ANSWER_SHAPES) {
  /** A caller would get an empty or short body, framed as whole. */
  test(`should not take part of an answer for a whole one (${shape})`, async () => {
    const cuts = createCuts(PARTS, { shapes: [shape], strideBytes: 3 });
    const faults = await findFaults(
      cuts,
      async (cut) => faultOf(cut, await receive(cut)),
    );
    expect(faults).toEqual([]);
  });
}

/** The answer may begin, and its connection end, while the request is sent. */
test("should not take part of an answer to an upload for a whole one", async () => {
  const body = Buffer.alloc(4_000_000, "x");
  const cuts = createCuts(PARTS, {
    shapes: ["declared length", "chunks", "end of the connection"],
    strideBytes: 24,
  });
  const faults = await findFaults(cuts, async (cut) => {
    const result = await receive(cut, body);
    // An answer may be lost with the rest of the body.
    const isLost = cut.isWhole && result.kind === "unknown";
    return isLost ? undefined : faultOf(cut, result);
  });
  expect(faults).toEqual([]);
});
