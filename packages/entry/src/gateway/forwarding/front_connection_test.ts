/** Pipelined requests of one connection, with real sockets. */
import { expect } from "earl";
import { test } from "node:test";
import * as timers from "node:timers/promises";
import type { FrontListenerOptions } from "./front_listener.ts";
import type { FrontAnswer, FrontRequest } from "./front_request.ts";
import { FrontFixture } from "./front_test_support.ts";

/** A request on one connection. */
function get(id: string, headers = ""): string {
  return `GET /${id}/x HTTP/1.1\r\nHost: booths.example\r\nX-Id: ${id}\r\n` +
    `${headers}\r\n`;
}

function textAnswer(message: string, isUnlengthed = false): FrontAnswer {
  const answer = {
    status: 200,
    headers: [],
    body: Buffer.from(`<${message}>`),
    endsWithConnection: isUnlengthed,
  };
  return { kind: "passed-on", answer };
}

/** A listener whose requests wait until the test answers them. */
class PipelineFixture extends FrontFixture {
  readonly #resolves = new Map<string, (answer: FrontAnswer) => void>();

  constructor(options: Partial<FrontListenerOptions> = {}) {
    super(
      ({ id }: FrontRequest) =>
        new Promise((resolve) => this.#resolves.set(id, resolve)),
      options,
    );
  }

  get ids(): string[] {
    return this.requests.map(({ id }) => id);
  }

  answer(id: string, answer = textAnswer(id)): void {
    this.#resolves.get(id)!(answer);
  }

  /** Waits until this many requests were forwarded. */
  async forwarded(count: number): Promise<void> {
    const endMs = performance.now() + 2_000;
    while (this.requests.length < count && performance.now() < endMs) {
      await timers.setTimeout(2);
    }
    expect(this.requests.length).toEqual(count);
  }
}

/** Bodies in the order in which they came. */
function bodiesIn(received: string): string[] {
  return [...received.matchAll(/<(\w+)>/g)].map(([, body]) => body!);
}

/** Number of answers that announce the end of the connection. */
function countClosing(received: string): number {
  return received.match(/connection: close/gi)?.length ?? 0;
}

async function withFixture(
  run: (fixture: PipelineFixture) => Promise<void>,
  graceMs = 600,
): Promise<void> {
  const fixture = new PipelineFixture();
  await fixture.start(graceMs);
  try {
    await run(fixture);
  } finally {
    await fixture.lifeCycle.stop();
  }
}

/** A client takes the first answer for that to its first request. */
test("should answer in the order of requests", () =>
  withFixture(async (fixture) => {
    const received = fixture.exchange(
      get("a") + get("b") + get("c", "Connection: close\r\n"),
    );
    await fixture.forwarded(3);
    for (const id of ["c", "b", "a"]) fixture.answer(id);
    expect(bodiesIn(await received)).toEqual(["a", "b", "c"]);
    expect(countClosing(await received)).toEqual(1);
  }));

/** What was forwarded is lost if the first answer closes the connection. */
test("should close behind the last forwarded request when it stops", () =>
  withFixture(async (fixture) => {
    const socket = fixture.connect(get("a") + get("b") + get("c"));
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    await fixture.forwarded(3);
    const stopped = fixture.lifeCycle.stop();
    fixture.answer("a");
    await timers.setTimeout(20);
    socket.write(get("late"));
    await timers.setTimeout(20);
    fixture.answer("c");
    fixture.answer("b");
    await closed;
    expect(bodiesIn(received)).toEqual(["a", "b", "c"]);
    expect(countClosing(received)).toEqual(1);
    expect(fixture.ids).toEqual(["a", "b", "c"]);
    await stopped;
  }));

/** A body that ends with its connection can only be the last answer. */
test("should not lose answers behind one without a length", () =>
  withFixture(async (fixture) => {
    const first = fixture.exchange(
      get("a") + get("b", "Connection: close\r\n"),
    );
    await fixture.forwarded(2);
    fixture.answer("b");
    fixture.answer("a", textAnswer("a", true));
    expect((await first).startsWith("HTTP/1.1 502 ")).toEqual(true);
    expect(bodiesIn(await first)).toEqual(["b"]);
    // The path is known now: nothing is forwarded behind such a request.
    const second = fixture.exchange(get("a") + get("d"));
    await fixture.forwarded(3);
    await timers.setTimeout(20);
    expect(fixture.ids).toEqual(["a", "b", "a"]);
    fixture.answer("a", textAnswer("a", true));
    expect(bodiesIn(await second)).toEqual(["a"]);
    expect(fixture.ids).toEqual(["a", "b", "a"]);
  }));

for (
  const [name, last] of [
    [
      "too large body",
      "POST /b HTTP/1.1\r\nHost: b\r\nContent-Length: 9999999",
    ],
    ["malformed request", "no request"],
  ] as const
) {
  /** An answer that needs no server must not overtake those that do. */
  test(`should answer what came before a ${name}, then close`, () =>
    withFixture(async (fixture) => {
      const received = fixture.exchange(
        get("a") + get("b") + `${last}\r\n\r\n`,
      );
      await fixture.forwarded(2);
      await timers.setTimeout(20);
      fixture.answer("b");
      fixture.answer("a");
      expect(bodiesIn(await received)).toEqual(["a", "b"]);
    }));
}

/** Guards against a reset that destroys the answers before it. */
test("should not forward what follows a request that closes", () =>
  withFixture(async (fixture) => {
    const received = fixture.exchange(
      get("a") + get("b", "Connection: close\r\n") + get("c"),
    );
    await fixture.forwarded(2);
    fixture.answer("a");
    fixture.answer("b");
    expect(bodiesIn(await received)).toEqual(["a", "b"]);
    expect(fixture.ids).toEqual(["a", "b"]);
  }));

/** One connection must not occupy the servers of all others. */
test("should handle a bounded number of a connection's requests at once", () =>
  withFixture(async (fixture) => {
    const ids = Array.from({ length: 60 }, (_, index) => `q${index}`);
    const socket = fixture.connect("");
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    for (const id of ids) {
      socket.write(get(id));
      await timers.setTimeout(1);
    }
    const first = fixture.requests.length;
    expect(first >= 4 && first <= 16).toEqual(true);
    for (const id of ids) {
      while (!fixture.ids.includes(id)) await timers.setTimeout(1);
      fixture.answer(id);
    }
    while (bodiesIn(received).length < ids.length) await timers.setTimeout(2);
    expect(bodiesIn(received)).toEqual(ids);
    socket.destroy();
  }));

/** Guards against work for callers that have gone. */
test("should abort all requests of a connection that closes", () =>
  withFixture(async (fixture) => {
    const socket = fixture.connect(get("a") + get("b") + get("c"));
    await fixture.forwarded(3);
    const aborts = fixture.requests.map(({ signal }) =>
      new Promise((resolve) => signal.addEventListener("abort", resolve))
    );
    socket.destroy();
    await Promise.all(aborts);
  }));

for (
  const [framing, header] of [
    ["declared", "Content-Length: 9999999"],
    ["chunked", "Transfer-Encoding: chunked"],
  ] as const
) {
  /** A reset destroys an answer that the client has not read yet. */
  test(`should deliver a refusal to a client that is sending (${framing})`, () =>
    withFixture(async (fixture) => {
      const socket = fixture.connect(
        `POST /b HTTP/1.1\r\nHost: b\r\n${header}\r\n\r\n`,
      );
      let received = "";
      let error: Error | undefined;
      socket.on("error", (seen) => error = seen);
      const size = 20_000;
      const chunk = framing === "chunked"
        ? `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`
        : "x".repeat(size);
      for (let sent = 0; sent < 3_000_000; sent += size) {
        if (!socket.write(chunk)) await timers.setTimeout(1);
      }
      // A client that reads only once it has sent everything.
      socket.on("data", (part) => received += part);
      await new Promise((resolve) => socket.once("close", resolve));
      expect(received.startsWith("HTTP/1.1 413 ")).toEqual(true);
      expect(error).toEqual(undefined);
    }));
}
