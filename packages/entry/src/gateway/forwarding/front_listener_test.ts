import { expect } from "earl";
import { test } from "node:test";
import { BrokenConnectionMonitor } from "../../utils/broken_connection.ts";
import { type FrontAnswer, notRunAnswer } from "./front_request.ts";
import { FrontFixture, GET } from "./front_test_support.ts";

test("should forward method, target, host, key and other headers", async () => {
  const fixture = new FrontFixture(() =>
    Promise.resolve({ kind: "own", status: 404, message: "none" })
  );
  await fixture.start();
  await fixture.exchange(`${GET}Connection: close\r\n\r\n`);
  const [request] = fixture.requests;
  expect(request!.id).toEqual("7");
  expect(request!.target).toEqual("/a/b?c=1");
  expect(request!.host).toEqual("booths.example");
  expect(request!.key).toEqual(42);
  expect(request!.deadlineMs).toEqual(800);
  expect(request!.headers).toEqual(["X-Key", "42", "X-Other", "kept"]);
  await fixture.lifeCycle.stop();
});

/** Guards against a truncated response that a caller takes for a whole one. */
test("should forward a close-delimited response without a length", async () => {
  const fixture = new FrontFixture(() =>
    Promise.resolve({
      kind: "passed-on",
      answer: {
        status: 200,
        headers: ["X-Signed", "yes"],
        body: Buffer.from("part"),
        endsWithConnection: true,
      },
    })
  );
  await fixture.start();
  const received = await fixture.exchange(`${GET}\r\n`);
  expect(received.startsWith("HTTP/1.1 200 OK\r\n")).toEqual(true);
  expect(received.endsWith("\r\n\r\npart")).toEqual(true);
  expect(/content-length|transfer-encoding/i.test(received)).toEqual(false);
  await fixture.lifeCycle.stop();
});

/** Guards against work at a server for a caller that has disconnected. */
test("should abort the request when the caller disconnects", async () => {
  const fixture = new FrontFixture(() => new Promise(() => {}));
  await fixture.start();
  const socket = fixture.connect(`${GET}\r\n`);
  while (fixture.requests.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const aborted = new Promise((resolve) =>
    fixture.requests[0]!.signal.addEventListener("abort", resolve)
  );
  socket.destroy();
  await aborted;
  await fixture.lifeCycle.stop();
});

test("should send retry-after in fractions of a second", async () => {
  const fixture = new FrontFixture(() =>
    Promise.resolve({
      kind: "own",
      status: 503,
      message: "Not run",
      retryAfterMs: 250,
    })
  );
  await fixture.start();
  const received = await fixture.exchange(`${GET}Connection: close\r\n\r\n`);
  expect(/retry-after: 0\.250\r\n/i.test(received)).toEqual(true);
  await fixture.lifeCycle.stop();
});

/** Guards against running requests cut off by a stop. */
test("should finish a running request when it is stopped", async () => {
  let answer: (answer: FrontAnswer) => void = () => {};
  const fixture = new FrontFixture(() =>
    new Promise((resolve) => {
      answer = resolve;
    })
  );
  await fixture.start(2_000);
  const received = fixture.exchange(`${GET}\r\n`);
  while (fixture.requests.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const stopped = fixture.lifeCycle.stop();
  answer({ kind: "own", status: 404, message: "late" });
  expect((await received).includes("late")).toEqual(true);
  expect(/connection: close/i.test(await received)).toEqual(true);
  await stopped;
});

/** Guards against a late request that is cut off when the process ends. */
test("should refuse requests late in the grace time of a stop", async () => {
  const fixture = new FrontFixture(() => new Promise(() => {}));
  const graceMs = 1_000;
  await fixture.start(graceMs);
  const early = fixture.connect("");
  const late = fixture.connect("");
  let refusal = "";
  late.on("data", (chunk) => refusal += chunk);
  await new Promise((resolve) => late.once("connect", resolve));
  const stopping = fixture.lifeCycle.stop();
  early.write(`${GET}\r\n`);
  await new Promise((resolve) => setTimeout(resolve, graceMs * 0.6));
  late.write(`${GET}\r\n`);
  await new Promise((resolve) => late.once("close", resolve));
  expect(refusal.startsWith("HTTP/1.1 503 ")).toEqual(true);
  expect(refusal.includes("Connection: close")).toEqual(true);
  // The early request's deadline is before the connections are closed.
  const deadlines = fixture.requests.map(({ deadlineMs }) => deadlineMs!);
  expect(deadlines.length).toEqual(1);
  expect(deadlines[0]! <= 800 && deadlines[0]! > 0).toEqual(true);
  early.destroy();
  await stopping;
});

/** Guards against reading large bodies of requests that will be refused. */
test("should refuse a request before its body is read", async () => {
  const sizes: (number | undefined)[] = [];
  const fixture = new FrontFixture(() => new Promise(() => {}), {
    admitBeforeBody: ({ bodyBytes }) => {
      sizes.push(bodyBytes);
      return notRunAnswer("Not run: full", 250);
    },
  });
  await fixture.start();
  const received = await fixture.exchange(`${GET}Content-Length: 900\r\n\r\n`);
  expect(received.startsWith("HTTP/1.1 503 ")).toEqual(true);
  expect(/retry-after: 0\.250\r\n/i.test(received)).toEqual(true);
  expect(sizes).toEqual([900]);
  expect(fixture.requests).toEqual([]);
  await fixture.lifeCycle.stop();
});

/** A client takes the end of the connection for that of the whole answer. */
test("should reset a connection whose answer without a length is broken off", async () => {
  const body = Buffer.alloc(32_000_000, "x");
  const fixture = new FrontFixture(() =>
    Promise.resolve({
      kind: "passed-on",
      answer: { status: 200, headers: [], body, endsWithConnection: true },
    })
  );
  await fixture.start(100);
  const socket = fixture.connect(`${GET}\r\n`);
  await new Promise((resolve) => socket.once("readable", resolve));
  const monitor = new BrokenConnectionMonitor(socket);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  await fixture.lifeCycle.stop();
  let receivedBytes = 0;
  socket.on("data", (chunk) => receivedBytes += chunk.length);
  await closed;
  expect(receivedBytes < body.length).toEqual(true);
  expect(monitor.isBroken).toEqual(true);
});
