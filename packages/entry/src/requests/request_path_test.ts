import * as names from "@guavatide/contracts";
import { expect } from "earl";
import { test } from "node:test";
import {
  answerOk,
  answerRefusal,
  FakeBackend,
  startEntry,
} from "./fakes_test_support.ts";

test("should bring back the whole answer of a server", async () => {
  const backend = new FakeBackend();
  const entry = await startEntry([backend]);
  try {
    const answer = await fetch(`${entry.url}/s/booths/slots?day=1`, {
      method: "POST",
      body: "two hours",
    });
    expect(answer.status).toEqual(200);
    expect(answer.headers.get(names.OUTCOME_HEADER)).toEqual("answered");
    expect(await answer.text()).toEqual("hello");
    expect(backend.received[0]!.url).toEqual("/serve/slots?day=1");
    expect(backend.received[0]!.method).toEqual("POST");
  } finally {
    await entry.lifeCycle.stop();
  }
});

test("should send what one server refused to another", async () => {
  // A server sheds a booking. It proves that it did not run it, so the
  // booking may go to another server; the host notices nothing.
  const entry = await startEntry([
    new FakeBackend(answerRefusal("busy")),
    new FakeBackend(answerRefusal("draining")),
    new FakeBackend(answerOk),
  ]);
  try {
    for (let count = 0; count < 6; count++) {
      const answer = await fetch(`${entry.url}/s/booths/x`, { method: "POST" });
      expect(answer.status).toEqual(200);
    }
  } finally {
    await entry.lifeCycle.stop();
  }
});

interface BadAnswerCase {
  readonly name: string;
  readonly answer: ConstructorParameters<typeof FakeBackend>[0];
  readonly reason: string;
}

const BAD_ANSWERS: readonly BadAnswerCase[] = [
  {
    name: "bears another request's id",
    answer: (_incoming, response) => {
      response.setHeader(names.REQUEST_ID_HEADER, "other");
      response.end("crossed");
    },
    reason: "bad-answer",
  },
  {
    name: "breaks off within its body",
    answer: (incoming, response) => {
      response.setHeader("content-length", "100");
      response.setHeader(
        names.REQUEST_ID_HEADER,
        incoming.headers[names.REQUEST_ID_HEADER]!,
      );
      response.write("half");
      setTimeout(() => response.destroy(), 5);
    },
    reason: "connection-lost",
  },
  {
    name: "has no length and ends with the connection",
    answer: (incoming, response) => {
      const id = incoming.headers[names.REQUEST_ID_HEADER];
      response.socket!.end(
        `HTTP/1.1 200 OK\r\n${names.REQUEST_ID_HEADER}: ${id}\r\n` +
          "Connection: close\r\n\r\nhalf",
      );
    },
    reason: "bad-answer",
  },
  {
    name: "never comes",
    answer: () => {},
    reason: "timeout-after-send",
  },
];

for (const { name, answer, reason } of BAD_ANSWERS) {
  test(`should say unknown when an answer ${name}`, async () => {
    // The booking left us and nothing trustworthy came back. The producer
    // must not be told that it did not run, and it must not run twice.
    const backends = [new FakeBackend(answer), new FakeBackend(answer)];
    const entry = await startEntry(backends);
    try {
      const response = await fetch(`${entry.url}/s/booths/x`, {
        method: "POST",
        headers: { [names.TIMEOUT_HEADER]: "150" },
      });
      expect(response.headers.get(names.OUTCOME_HEADER)).toEqual("unknown");
      expect(response.headers.get(names.REASON_HEADER)).toEqual(reason);
      const runs = backends[0]!.received.length + backends[1]!.received.length;
      expect(runs).toEqual(1);
    } finally {
      await entry.lifeCycle.stop();
    }
  });
}

test("should say not-run when no connection can be made", async () => {
  // The server's port is closed, so no byte of the booking can have left.
  const backend = new FakeBackend();
  const entry = await startEntry([backend]);
  try {
    backend.server.close();
    const response = await fetch(`${entry.url}/s/booths/x`, { method: "POST" });
    expect(response.status).toEqual(503);
    expect(response.headers.get(names.OUTCOME_HEADER)).toEqual("not-run");
    expect(response.headers.get("retry-after")).not.toEqual(null);
  } finally {
    await entry.lifeCycle.stop();
  }
});
